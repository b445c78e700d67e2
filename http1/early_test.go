package http1_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/http1"
)

// longBody is a request body that is too long to be buffered, in bytes.
const longBody = 160 << 10

// writeUpload writes a request with a long body, with its length or in chunks, and
// pauses once in the middle.
func writeUpload(w io.Writer, target string, chunked bool) {
	half := bytes.Repeat([]byte("x"), longBody/2)
	if !chunked {
		_, _ = fmt.Fprintf(w, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", target, longBody, half)
		time.Sleep(time.Millisecond)
		_, _ = w.Write(half)
		return
	}
	_, _ = fmt.Fprintf(w, "POST %s HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", target, len(half), half)
	time.Sleep(time.Millisecond)
	_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n0\r\n\r\n", len(half), half)
}

var _ = Describe("a server whose handler answers before it has read a long body", func() {
	DescribeTable("goes on with the next request", func(chunked bool) {
		// Guards against two readers of one connection, which crash the process.
		const callers, requests = 8, 60
		_, address := serve(func(_ context.Context, r *http1.Request, reply *http1.Reply) {
			if r.Rest == nil {
				_ = reply.Send(http.StatusOK, http.Header{}, []byte(r.Target))
				return
			}
			// Another goroutine goes on to read the body, as one that sends it does.
			go func() { _, _ = io.Copy(io.Discard, r.Rest) }()
			if strings.HasSuffix(r.Target, "3") {
				time.Sleep(2 * time.Millisecond)
			}
			_ = reply.Send(http.StatusOK, http.Header{}, []byte(r.Target))
		})
		var done sync.WaitGroup
		for range callers {
			conn, br := dial(address)
			done.Go(func() {
				defer GinkgoRecover()
				go func() {
					for i := range requests {
						writeUpload(conn, fmt.Sprintf("/%d", i), chunked)
						_, _ = io.WriteString(conn, "GET /next HTTP/1.1\r\nHost: x\r\n\r\n")
					}
				}()
				for i := range requests {
					status, body, closing := readResponse(br)
					Expect(status).To(Equal(http.StatusOK))
					Expect(body).To(Equal(fmt.Sprintf("/%d", i)))
					Expect(closing).To(BeFalse())
					_, body, _ = readResponse(br)
					Expect(body).To(Equal("/next"))
				}
			})
		}
		done.Wait()
	},
		Entry("with a length", false),
		Entry("in chunks", true),
	)

	It("sends its last response to a caller that first sends the whole body", func() {
		server, address := serve(func(_ context.Context, r *http1.Request, reply *http1.Reply) {
			_ = reply.Send(http.StatusOK, http.Header{}, []byte(r.Target))
		})
		server.Drain()
		conn, br := dial(address)
		writeUpload(slowly{conn}, "/1", true)
		status, _, closing := readResponse(br)
		Expect(status).To(Equal(http.StatusOK))
		Expect(closing).To(BeTrue())
	})

	It("cancels the request of a caller that disconnects in the middle of the body", func() {
		cancelled := make(chan error, 1)
		_, address := serve(func(ctx context.Context, r *http1.Request, _ *http1.Reply) {
			_, err := io.Copy(io.Discard, r.Rest)
			<-ctx.Done()
			cancelled <- err
		})
		conn, _ := dial(address)
		_, _ = fmt.Fprintf(bufio.NewWriterSize(conn, 1), "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", longBody, strings.Repeat("x", longBody/2))
		Expect(conn.Close()).To(Succeed())
		Eventually(cancelled).Should(Receive(HaveOccurred()))
	})
})

// slowly is a writer that pauses before each write, all together for longer than a
// closed connection is read.
type slowly struct{ w io.Writer }

// Write implements io.Writer.
func (s slowly) Write(p []byte) (int, error) {
	time.Sleep(300 * time.Millisecond)
	return s.w.Write(p)
}
