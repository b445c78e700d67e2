package http1_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/clock"
	"github.com/banyancross/banyancross/http1"
)

// answeringPipe returns a connection whose server reads a request, writes text and closes.
func answeringPipe(text string) net.Conn {
	client, server := net.Pipe()
	go func() {
		_, _ = server.Read(make([]byte, 4096))
		_, _ = server.Write([]byte(text))
		_ = server.Close()
	}()
	return client
}

// onceTo returns a pool whose connections are answeringPipes.
func onceTo(text string) *http1.Pool {
	return http1.NewPool("x", func(context.Context, string) (net.Conn, error) {
		return answeringPipe(text), nil
	}, clock.System{}, time.Minute)
}

var _ = Describe("a pool whose server breaks off copies of rejections of all forms", func() {
	It("takes no response that ran for a rejection", func() {
		// Guards against a promise made of parts of responses, however they are framed.
		copies := []string{
			"HTTP/1.1 503 Service Unavailable\r\nId: a\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 12\r\nId: a\r\n\r\nis full, so.",
			"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nTransfer-Encoding: chunked\r\nId: a\r\n\r\n4;x=y\r\nfull\r\n0\r\nT: v\r\n\r\n",
			"HTTP/1.1 503 full: 3\r\nNot-Executed: 1\r\nX: a\r\n b\r\nId: a\r\nContent-Length: 2\r\n\r\nno",
			"HTTP/1.1 503 full: 3\nNot-Executed: 1\nId: a\nContent-Length: 9\n\nbusy: 1\r\n",
			"HTTP/1.1 421 Misdirected Request\r\nId: a\r\nContent-Length: 25\r\n\r\nno\r\n\r\nHTTP: x\r\n\r\nabcdefghi",
			"HTTP/1.0 503\r\nNot-Executed: 1\r\nId: a\r\n\r\n",
			"HTTP/1.1 102 Processing\r\nNot-Executed: 1\r\nId: a\r\n\r\nHTTP/1.1 503 X\r\nNot-Executed: 1\r\nId: a\r\nContent-Length: 0\r\n\r\n",
		}
		ran := []string{
			"HTTP/1.1 200 OK\r\nStamp: s\r\nId: b\r\nContent-Length: 1\r\n\r\nB",
			"HTTP/1.1 200\r\nStamp: s\r\nId: b\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.0 500 Internal Server Error\r\nId: b\r\nStamp: s\r\n\r\nbody",
			"HTTP/1.1 200 OK\r\nStamp: s\r\nTransfer-Encoding: chunked\r\nId: b\r\n\r\n1\r\nB\r\n0\r\nT: v\r\n\r\n",
			"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nStamp: s\r\nId: b\r\nContent-Length: 1\r\n\r\nB",
		}
		tried, accepted := 0, 0
		check := func(sent string) {
			tried++
			p := onceTo(sent)
			defer p.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			response, err := p.Do(ctx, &http1.OutgoingRequest{
				Method: http.MethodPost, Target: "/", Host: "x", Header: http.Header{},
				Accept: func(r *http1.Response) bool { return r.Header.Get("Id") == "b" },
			})
			if err != nil {
				return
			}
			accepted++
			Expect(response.Status).NotTo(Or(Equal(503), Equal(421)), fmt.Sprintf("%q", sent))
			Expect(response.Header).NotTo(HaveKey("Not-Executed"), fmt.Sprintf("%q", sent))
			response.Release()
		}
		for _, earlier := range copies {
			for _, next := range ran {
				for length := range len(earlier) + 1 {
					check(earlier[:length] + next)
					check(earlier[:length] + "\r\n" + next)
					check(earlier[:length] + next + next)
					check(next[:min(length, len(next))] + earlier + next)
					check(earlier[:length] + next + earlier[length:])
					check(earlier[:length] + earlier + next)
				}
			}
		}
		GinkgoWriter.Println("tried", tried, "accepted", accepted)
		Expect(accepted).To(BeNumerically(">", 100))
	})
})
