package egress_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/route"
)

// responder starts an upstream that answers health checks, and each call with text,
// which closes the connection. It returns its address.
func responder(text string) string {
	GinkgoHelper()
	return listen(func(conn net.Conn) {
		br := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if r.URL.Path != "/healthz" {
				_, _ = io.WriteString(conn, text)
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nContent-Length: 0\r\n\r\n")
		}
	})
}

// listen serves connections until the end of the spec, closes each when serve returns,
// and returns the address.
func listen(serve func(net.Conn)) string {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

var _ = Describe("the log of a gate", func() {
	DescribeTable("says why a response could not be received", func(text, line string) {
		address, t := responder(text), table()
		var logs bytes.Buffer
		gate := egress.NewGate(address, func() *route.Table { return t }, egress.WithLogger(log.NewJSONLogger(log.NewSyncWriter(&logs))))
		Expect(gate.Heartbeat(heartbeat(address, "i-1", "ready", 1000, 1))).To(BeTrue())
		Eventually(phase(gate)).Should(Equal(fleet.Ready))
		do(gate, meta("a"))
		gate.Close()
		Expect(logs.String()).To(MatchRegexp(line))
	},
		Entry("no head", "nothing", `"err":"http1 exchange: no answer: .*malformed status line","event":"run",.*"request":"a"`),
		Entry("a truncated body", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Stamp: s\r\nContent-Length: 9\r\n\r\nA",
			`"err":"unexpected EOF","event":"response-broken",.*"request":"a"`),
	)
})
