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
	"github.com/banyancross/banyancross/standin"
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
					Expect(a.Meta.Outcome).NotTo(Equal(call.NotRun))
					if a.Response == nil {
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
