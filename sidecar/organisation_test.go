package sidecar_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/sidecar"
)

// shopKey is a key that no log line and no upstream may see.
const shopKey = "d41d8cd98f00b204"

// publishOrganisation publishes a configuration with the organisation shop.
func (f *testFleet) publishOrganisation(version int, keys, regions string) {
	text := fmt.Sprintf(configuration, version)
	shop := fmt.Sprintf(`{"type_url":"tenants","metadata":{"name":"shop"},"spec":{"api_keys":[%s],"allowed_regions":[%s]}},`, keys, regions)
	f.store.Store("op/config", []byte(strings.Replace(text, `"resources":[`, `"resources":[`+shop, 1)))
}

// keptConnection is a caller's connection that stays open.
type keptConnection struct {
	conn   net.Conn
	reader *bufio.Reader
	calls  int
}

func connect(h *host) *keptConnection {
	GinkgoHelper()
	conn, err := net.Dial("tcp", h.conf.CallerAddress())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	return &keptConnection{conn: conn, reader: bufio.NewReader(conn)}
}

// status sends a request with the key and returns the status of its response.
func (c *keptConnection) status() int {
	GinkgoHelper()
	c.calls++
	_, err := fmt.Fprintf(c.conn, "GET /view/%d HTTP/1.1\r\nHost: x\r\nRequest-Id: k%d\r\nAuthorization: Bearer %s\r\nTenant: forged\r\n\r\n", c.calls, c.calls, shopKey)
	Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(c.reader, nil)
	Expect(err).NotTo(HaveOccurred())
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

var _ = Describe("the key of an organisation", func() {
	It("ends on a kept connection, and after a restart, at a node that the store does not answer", func() {
		logs := &syncBuffer{w: &bytes.Buffer{}}
		logger := sidecar.WithLogger(log.NewJSONLogger(logs))
		f := newTestFleet()
		f.publishOrganisation(1, `"`+shopKey+`"`, "")
		a := f.add(logger)
		unreachable := func() sidecar.Option {
			return sidecar.WithStore(&unreadableStore{unwatchableStore{Client: platform.NewClient(strings.TrimPrefix(f.server.URL, "http://"))}})
		}
		b := f.add(logger, unreachable())
		a.sendHeartbeat("ready")
		Eventually(b.revision).Should(Equal("1"))
		f.waitUntilAvailable(b, a)
		kept := connect(b)
		Expect(kept.status()).To(Equal(http.StatusOK))

		f.publishOrganisation(2, `"another"`, "")
		Eventually(kept.status, configurationTime).Should(Equal(http.StatusUnauthorized))
		Consistently(kept.status, "300ms").Should(Equal(http.StatusUnauthorized))
		runs := len(a.backend.Runs())

		b.sidecar.Kill()
		b.start(logger, unreachable())
		kept = connect(b)
		Eventually(kept.status).ShouldNot(Equal(http.StatusServiceUnavailable))
		Expect(kept.status()).To(Equal(http.StatusUnauthorized))

		Expect(a.backend.Runs()).To(HaveLen(runs))
		for _, run := range a.backend.Runs() {
			Expect(run.Header["Tenant"]).To(Equal([]string{"shop"}))
			Expect(fmt.Sprint(run)).NotTo(ContainSubstring(shopKey))
		}
		Expect(logs.text()).To(ContainSubstring(`"organisation":"shop"`))
		Expect(logs.text()).NotTo(ContainSubstring(shopKey))
	})
})

var _ = Describe("a configuration with an unknown region", func() {
	It("is refused whole if the settings have regions, and the version in force stays", func() {
		logs := &syncBuffer{w: &bytes.Buffer{}}
		f := newTestFleet()
		f.settings = "[regions]\nz1 = \"north\"\nz2 = \"south\"\n"
		f.publishOrganisation(1, `"k"`, `"south"`)
		a := f.add(sidecar.WithLogger(log.NewJSONLogger(logs)))
		Eventually(a.revision).Should(Equal("1"))
		f.publishOrganisation(2, `"k"`, `"south","west"`)
		Eventually(logs.text).Should(ContainSubstring(`the settings have no region \"west\"`))
		Expect(a.revision()).To(Equal("1"))
		f.publishOrganisation(3, `"k"`, `"north"`)
		Eventually(a.revision).Should(Equal("3"))
	})

	It("is accepted if the settings have none: no upstream is in it", func() {
		f := newTestFleet()
		f.publishOrganisation(1, `"`+shopKey+`"`, `"west"`)
		a := f.add()
		a.sendHeartbeat("ready")
		Eventually(a.revision).Should(Equal("1"))
		f.waitUntilAvailable(a, a)
		began := time.Now()
		Expect(connect(a).status()).To(Equal(http.StatusServiceUnavailable))
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		Expect(a.backend.Runs()).To(BeEmpty())
	})
})
