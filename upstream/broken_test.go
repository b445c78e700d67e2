package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/clock"
	"github.com/banyancross/banyancross/standin"
	"github.com/banyancross/banyancross/totals"
	"github.com/banyancross/banyancross/upstream"
)

// endless is a body that comes in small pieces and does not end before it is closed.
type endless struct {
	closed chan struct{}
	once   sync.Once
}

func (b *endless) Read(p []byte) (int, error) {
	select {
	case <-b.closed:
		return 0, io.ErrClosedPipe
	case <-time.After(50 * time.Microsecond):
	}
	return copy(p, strings.Repeat("x", 64)), nil
}

func (b *endless) Close() error {
	b.once.Do(func() { close(b.closed) })
	return nil
}

// endlessPost returns a request with an endless body.
func endlessPost() *http.Request {
	request := post()
	request.Body, request.ContentLength = &endless{closed: make(chan struct{})}, -1
	return request
}

// newEarlyServer answers each request with text before it has read the body, and then ends the
// connection. It returns its address.
func newEarlyServer(text string, end func(*net.TCPConn)) string {
	listener, err := standin.Listen(func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, text)
			end(conn.(*net.TCPConn))
		}
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	return listener.Addr().String()
}

var _ = Describe("an answer without a length to a call whose body is still being sent", func() {
	DescribeTable("is not complete after a reset", func(head string) {
		const callers, calls = 4, 50
		gate := newGate(newEarlyServer(head+"\r\npart", func(conn *net.TCPConn) {
			time.Sleep(15*time.Millisecond + rand.N(15*time.Millisecond))
			_ = conn.SetLinger(0)
		}))
		var mu sync.Mutex
		complete := 0
		var done sync.WaitGroup
		for range callers {
			done.Go(func() {
				defer GinkgoRecover()
				for range calls {
					a := gate.Do(context.Background(), meta(""), endlessPost())
					if a.Response == nil {
						Expect(a.Meta.Outcome == call.NotRun && a.Meta.ReachedUpstream).To(BeFalse())
						continue
					}
					_, err := io.Copy(io.Discard, a.Response.Body)
					_ = a.Response.Body.Close()
					mu.Lock()
					if err == nil {
						complete++
					}
					mu.Unlock()
				}
			})
		}
		done.Wait()
		Expect(complete).To(BeZero(), "of %d", callers*calls)
	},
		Entry("of HTTP/1.1", "HTTP/1.1 200 OK\r\n"),
		Entry("of HTTP/1.1, with Connection: close", "HTTP/1.1 200 OK\r\nConnection: close\r\n"),
		Entry("of HTTP/1.0", "HTTP/1.0 200 OK\r\n"),
		Entry("of HTTP/1.0, with Connection: close", "HTTP/1.0 200 OK\r\nConnection: close\r\n"),
	)

	It("is complete after the server has closed the connection", func() {
		gate := newGate(newEarlyServer("HTTP/1.1 200 OK\r\n\r\npaid", func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(20 * time.Millisecond)
		}))
		for i := range 20 {
			Expect(read(gate.Do(context.Background(), meta(""), endlessPost()))).To(Equal("paid"), fmt.Sprint(i))
		}
	})
})

// Answers that are malformed or break off, with a status that a call may be answered with.
var brokenAnswers = []struct{ name, text string }{
	{"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\npart"},
	{"status 099", "HTTP/1.1 099 OK\r\nContent-Length: 4\r\n\r\npart"},
	{"status 101", "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart"},
	{"status 600", "HTTP/1.1 600 OK\r\nContent-Length: 4\r\n\r\npart"},
	{"status 999", "HTTP/1.1 999 OK\r\nContent-Length: 4\r\n\r\npart"},
	{"a blank in a name", "HTTP/1.1 200 OK\r\nNa me: v\r\nContent-Length: 4\r\n\r\npart"},
	{"a blank before a colon", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n"},
	{"a blank before a name", "HTTP/1.1 200 OK\r\nField: v\r\n Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n"},
	{"a tab before a name", "HTTP/1.1 200 OK\r\nField: v\r\n\tContent-Length: 4\r\n\r\npart of another"},
	{"a control byte in a name", "HTTP/1.1 200 OK\r\nNa\x01me: v\r\nContent-Length: 4\r\n\r\npart"},
	{"a carriage return in a value", "HTTP/1.1 200 OK\r\nName: a\rContent-Length: 1\r\nContent-Length: 4\r\n\r\npart"},
	{"chunks of HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n"},
	{"a blank in a name of an interim head", "HTTP/1.1 103 Early Hints\r\nNa me: v\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart"},
	{"a folded line in an interim head", "HTTP/1.1 103 Early Hints\r\nField: v\r\n folded\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart"},
	{"a blank in a name of the trailer section", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\nNa me: v\r\n\r\n"},
	{"a folded line in the trailer section", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\nField: v\r\n folded\r\n\r\n"},
	{"a second response as a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\nField: HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore"},
	{"a body that breaks off", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npart"},
	{"chunks that break off", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"},
}

var _ = Describe("a broken answer", func() {
	once := func(text string) (server *rawServer) {
		return newRawServer(func(conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, text)
			return false
		})
	}
	var entries []any
	for _, broken := range brokenAnswers {
		entries = append(entries, Entry(broken.name, broken.text))
	}

	DescribeTable("is no answer, and its call is sent once", append([]any{func(text string) {
		server := once(text)
		gate := newGate(server.listener.Addr().String())
		a := gate.Do(context.Background(), meta(""), post())
		if a.Response != nil {
			_, err := io.Copy(io.Discard, a.Response.Body)
			Expect(err).To(HaveOccurred())
			Expect(a.Response.Body.Close()).To(Succeed())
		} else {
			Expect(a.Meta.Outcome).To(Equal(call.Unknown))
		}
		Expect(server.requests.Load()).To(Equal(int64(1)))

		key := ticket()
		for range 2 {
			a = gate.Do(context.Background(), meta(key), post())
			Expect(a.Response).To(BeNil(), "of a keyed call")
			Expect(a.Meta.Outcome).To(Equal(call.Unknown))
		}
		Expect(server.requests.Load()).To(Equal(int64(2)))
	}}, entries...)...)

	DescribeTable("is no rejection", append([]any{func(text string) {
		rejection := strings.Replace(text, "200 OK", "503 Unavailable", 1)
		a := newGate(once(rejection).listener.Addr().String()).Do(context.Background(), meta(""), post())
		Expect(a.Response).To(BeNil())
		Expect(a.Meta.Outcome).To(Equal(call.Unknown))
		Expect(a.Meta.ReachedUpstream).To(BeTrue())
	}}, entries...)...)

	It("is not sent again by net/http on a connection that carried another call", func() {
		var mu sync.Mutex
		received := 0
		server := newRawServer(func(conn net.Conn, r *http.Request) bool {
			mu.Lock()
			received++
			first := received == 1
			mu.Unlock()
			if first {
				return answer(conn, r)
			}
			_, _ = io.WriteString(conn, brokenAnswers[0].text)
			return false
		})
		gate := newConfiguredGate(inForce(strings.Replace(releaseNote, "reject-statuses = [503]", "", 1)), server.listener.Addr().String())
		Expect(read(gate.Do(context.Background(), meta(""), post()))).To(Equal("paid"))
		m := meta("")
		m.Idempotent = true
		request, err := http.NewRequest(http.MethodGet, "/pay", http.NoBody)
		Expect(err).NotTo(HaveOccurred())
		Expect(gate.Do(context.Background(), m, request).Meta.Outcome).To(Equal(call.Unknown))
		mu.Lock()
		defer mu.Unlock()
		Expect(received).To(Equal(2))
	})

	It("to a probe shows no health", func() {
		for _, broken := range brokenAnswers[:5] {
			gate := upstream.NewGate(clock.System{}, inForce(releaseNote), totals.NewCounter("h", "i"), "i")
			Expect(gate.Announce(upstream.Announcement{
				Upstream: "kasir-1", Service: "kasir", Address: once(broken.text).listener.Addr().String(), Slots: 4,
				State: upstream.StateReady, HealthPath: "/healthz",
			})).To(Succeed())
			prober := upstream.NewProber(gate)
			Expect(prober.Probe(context.Background())).To(BeFalse(), broken.name)
			prober.Close()
		}
	})

	It("is told from a sound one with an interim head, chunks and trailers", func() {
		server := newRawServer(func(conn net.Conn, _ *http.Request) bool {
			_, err := io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\nHTTP/1.1 200 OK\r\nTrailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n"+
				"2;x=y\r\npa\r\n2\r\nid\r\n0\r\nSum: 4\r\n\r\n")
			return err == nil
		})
		gate := newConfiguredGate(inForce(strings.Replace(releaseNote, "reject-statuses = [503]", "", 1)), server.listener.Addr().String())
		for range 3 {
			a := gate.Do(context.Background(), meta(""), post())
			Expect(read(a)).To(Equal("paid"))
			Expect(a.Response.Trailer.Get("Sum")).To(Equal("4"))
		}
	})
})
