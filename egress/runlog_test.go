package egress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/route"
	"github.com/banyancross/banyancross/standin"
	"github.com/banyancross/banyancross/telemetry"
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

// answerCalls starts an upstream that answers health checks, and each call with what
// answer returns for its ID, also on the same connection. It returns its address.
func answerCalls(answer func(id string) string) string {
	GinkgoHelper()
	return listen(func(conn net.Conn) {
		br := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			text := "HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nContent-Length: 0\r\n\r\n"
			if r.URL.Path != "/healthz" {
				text = answer(r.Header.Get("Request-Id"))
			}
			_, _ = io.WriteString(conn, text)
		}
	})
}

// listen serves connections until the end of the spec, closes each when serve returns,
// and returns the address.
func listen(serve func(net.Conn)) string {
	GinkgoHelper()
	listener, err := standin.Listen(serve)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	return listener.Addr().String()
}

// loggingGate returns a gate whose upstream at address is ready, and a function that returns
// what it has logged.
func loggingGate(address string) (*egress.Gate, func() string) {
	GinkgoHelper()
	return gateWithLog(address, func(w io.Writer) log.Logger { return log.NewJSONLogger(log.NewSyncWriter(w)) })
}

// gateWithLog is loggingGate with another logger.
func gateWithLog(address string, newLogger func(io.Writer) log.Logger) (*egress.Gate, func() string) {
	GinkgoHelper()
	t, logs := table(), gbytes.NewBuffer()
	gate := egress.NewGate(address, func() *route.Table { return t }, egress.WithLogger(newLogger(logs)))
	Expect(gate.Heartbeat(heartbeat(address, "i-1", "ready", 1000, 1))).To(BeTrue())
	Eventually(phase(gate)).Should(Equal(fleet.Ready))
	return gate, func() string { return string(logs.Contents()) }
}

var _ = Describe("the log of a gate", func() {
	DescribeTable("says why a response could not be received", func(text, line string) {
		address := responder(text)
		gate, logged := loggingGate(address)
		do(gate, meta("a"))
		gate.Close()
		Expect(logged()).To(MatchRegexp(line))
	},
		Entry("no head", "nothing", `"err":"http1 exchange: no answer: .*malformed status line","event":"run",.*"request":"a"`),
		Entry("a truncated body", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Stamp: s\r\nContent-Length: 9\r\n\r\nA",
			`"err":"unexpected EOF","event":"response-broken",.*"request":"a"`),
		Entry("a rejection that also says that the request ran",
			"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: a\r\nResponse-Stamp: s\r\nContent-Length: 0\r\n\r\n",
			`"event":"run",.*"outcome":"unknown","reason":"garbled","request":"a",.*"stamped":true,"status":503`),
	)

	DescribeTable("names the discarded responses and the connection of each run", func(second []string, lines ...string) {
		// The upstream answers health checks on any connection, and the calls in order.
		var mu sync.Mutex
		calls := []string{rejectionOf("a")}
		calls = append(calls, second...)
		address := answerCalls(func(string) (text string) {
			mu.Lock()
			defer mu.Unlock()
			text, calls = calls[0], calls[1:]
			return text
		})
		gate, logged := loggingGate(address)
		for _, id := range []string{"a", "b", "c"} {
			m := meta(id)
			m.Idempotent = false
			do(gate, m)
		}
		Eventually(gate.Discarded).Should(Equal(uint64(1)))
		Expect(gate.ConnectionsOpened()).To(BeNumerically(">=", 1))
		// The gate logs what was unread on an idle connection while calls go on.
		for _, line := range lines {
			Eventually(logged).Should(MatchRegexp(line))
		}
		gate.Close()
	},
		Entry("one that is discarded while another call waits", []string{rejectionOf("a") + responseTo("b"), responseTo("c")},
			`"connection":\d+,"event":"response-discarded","exchange":\d+,"level":"info","omitted":0,"rejected":true,"request":"b","response-to":"a",`+
				`"stamped":false,"status":503,"unread":false,"upstream":"i-1"`,
			`"connection":[1-9]\d*,.*"event":"run","exchange":[1-9]\d*,.*"reason":"rejected","request":"a",.*"status":503`,
			`"connection":[1-9]\d*,.*"event":"run","exchange":[1-9]\d*,.*"outcome":"answered",.*"request":"b",.*"status":200`),
		Entry("one that is unread on an idle connection", []string{responseTo("b") + responseTo("a"), responseTo("c")},
			`"connection":\d+,"event":"response-discarded","exchange":\d+,"level":"info","omitted":0,"rejected":false,"request":"","response-to":"a",`+
				`"stamped":true,"status":200,"unread":true,"upstream":"i-1"`),
	)

	It("names both rejections of a request, however many runs have an answer", func() {
		address := listen(func(conn net.Conn) {
			br := bufio.NewReader(conn)
			for {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				id := r.Header.Get("Request-Id")
				switch id {
				case "":
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nContent-Length: 0\r\n\r\n")
				case "rejected":
					_, _ = io.WriteString(conn, rejectionOf(id))
				default:
					_, _ = io.WriteString(conn, responseTo(id))
				}
			}
		})
		gate, logged := loggingGate(address)
		unsafe := func(id string) {
			m := meta(id)
			m.Idempotent = false
			do(gate, m)
		}
		for i := range 200 {
			unsafe(fmt.Sprint("a", i))
		}
		unsafe("rejected")
		unsafe("rejected")
		gate.Close()
		Expect(strings.Count(logged(), `"request":"rejected"`)).To(Equal(2))
	})

	It("names every rejection, within the start of its line, however many come in a second", func() {
		const calls, kept = 400, 200
		gate, logged := gateWithLog(answerCalls(rejectionOf), func(w io.Writer) log.Logger {
			return log.With(telemetry.NewLogger(w, "info"), "host", "sidecar-jawa-tengah-1")
		})
		id := func(i int) string { return fmt.Sprintf("5f2170bce3454b17.70e8056600e8%04d", i) }
		for i := range calls {
			m := meta(id(i))
			m.Idempotent = false
			do(gate, m)
		}
		gate.Close()
		starts := ""
		for line := range strings.Lines(logged()) {
			starts += line[:min(kept, len(line))] + "\n"
		}
		for i := range calls {
			Expect(starts).To(MatchRegexp(`"event":"run","request":"` + id(i) + `","status":503,"outcome":"not-run","reason":"rejected","connection":\d+,"exchange":\d+,`))
		}
	})

	It("limits the lines about discarded responses, and counts all", func() {
		const surplus = 100
		address := answerCalls(func(id string) string { return rejectionOf("z") + responseTo(id) })
		gate, logged := loggingGate(address)
		began := time.Now()
		for i := range surplus {
			do(gate, meta(fmt.Sprint("a", i)))
		}
		took := time.Since(began)
		Expect(gate.Discarded()).To(Equal(uint64(surplus)))
		m := meta("b")
		m.Idempotent = false
		do(gate, m)
		gate.Close()
		Expect(strings.Count(logged(), `"event":"response-discarded"`)).To(BeNumerically("<=", 21+20*took.Seconds()+1))
		Expect(logged()).To(MatchRegexp(`"event":"run",.*"request":"b"`))
	})
})

// rejectionOf returns the response of an upstream that has not run a request.
func rejectionOf(id string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
}

// responseTo returns the response of an upstream that has run a request.
func responseTo(id string) string {
	return "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
}
