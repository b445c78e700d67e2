package sidecar_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/standin"
)

// halfBody is half of a request body that is too long to be buffered.
var halfBody = strings.Repeat("x", 100<<10)

// upload sends half of a long body, waits for the response, and sends the rest with
// another request behind it. It returns the statuses of both responses.
//
// The specs guard against a body that is read by two goroutines, or cut off by the close of
// its connection.
func upload(h *host, target string) (first, second int) {
	GinkgoHelper()
	conn, err := net.Dial("tcp", h.conf.CallerAddress())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	br := bufio.NewReader(conn)
	status := func() int {
		response, err := http.ReadResponse(br, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Close).To(BeFalse())
		return response.StatusCode
	}
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nRequest-Id: u1\r\nTimeout-Ms: 20000\r\nContent-Length: %d\r\n\r\n%s",
		target, 2*len(halfBody), halfBody)
	first = status()
	_, _ = io.WriteString(conn, halfBody+"GET /nowhere HTTP/1.1\r\nHost: x\r\nRequest-Id: u2\r\n\r\n")
	return first, status()
}

var _ = Describe("a long body that is still coming when its request is answered", func() {
	It("does not disturb the next request after a rejection", func() {
		f := newTestFleet()
		f.publish(1)
		a := f.add()
		Eventually(a.sidecar.Ready).Should(BeTrue())
		first, second := upload(a, "/pay/1")
		Expect(first).To(Equal(http.StatusServiceUnavailable))
		Expect(second).To(Equal(http.StatusNotFound))
	})

	It("does not disturb the next request after the route's timeout", func() {
		_, a, _ := twoHosts()
		first, second := upload(a, "/short/1")
		Expect(first).To(Equal(http.StatusGatewayTimeout))
		Expect(second).To(Equal(http.StatusNotFound))
	})

	It("does not disturb the next request after a response that came early", func() {
		_, a, b := twoHosts()
		a.backend.InjectFaults(standin.FaultEarlyAnswer)
		b.backend.InjectFaults(standin.FaultEarlyAnswer)
		first, second := upload(a, "/pay/1")
		Expect(first).To(Equal(http.StatusOK))
		Expect(second).To(Equal(http.StatusNotFound))
	})
})
