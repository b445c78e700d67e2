package http1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/clock"
	"github.com/banyancross/banyancross/http1"
	"github.com/banyancross/banyancross/standin"
)

// writeFirstConn lets a Write get the reset of the connection before a Read sees its end, and
// the Write return only afterwards.
type writeFirstConn struct {
	net.Conn
	writeFailed, readEnded chan struct{}
	onFailure, onEnd       sync.Once
}

func (c *writeFirstConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.onFailure.Do(func() { close(c.writeFailed) })
		<-c.readEnded
	}
	return n, err
}

func (c *writeFirstConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), 1)])
	if n == 1 && p[0] == '!' {
		// This is the last byte before the connection ends.
		<-c.writeFailed
	}
	if err != nil {
		c.onEnd.Do(func() { close(c.readEnded) })
	}
	return n, err
}

// Close waits for the Read in progress, as that of a socket does.
func (c *writeFirstConn) Close() error {
	c.onEnd.Do(func() { close(c.readEnded) })
	return c.Conn.Close()
}

// endless is a body that comes slowly and does not end.
type endless struct{}

func (endless) Read(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return copy(p, strings.Repeat("x", 1<<10)), nil
}

// answerEarly serves connections on which it reads the head of a request, answers with text
// and then ends the connection.
func answerEarly(text string, end func(*net.TCPConn)) (address string) {
	listener, err := standin.Listen(func(conn net.Conn) {
		br := bufio.NewReader(conn)
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, _ = io.WriteString(conn, text)
		end(conn.(*net.TCPConn))
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	return listener.Addr().String()
}

func reset(conn *net.TCPConn) {
	time.Sleep(20 * time.Millisecond)
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

var _ = Describe("an early response to a long request that ends with its connection", func() {
	const body = "part of the body!"
	exchangeBody := func(address string, out *http1.OutgoingRequest) (string, error) {
		p := http1.NewPool(address, func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
			return &writeFirstConn{Conn: conn, writeFailed: make(chan struct{}), readEnded: make(chan struct{})}, err
		}, clock.System{}, time.Minute)
		DeferCleanup(p.Close)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		response, err := p.Do(ctx, out)
		Expect(err).NotTo(HaveOccurred())
		defer response.Release()
		data, err := io.ReadAll(response.Body)
		Expect(ctx.Err()).NotTo(HaveOccurred())
		return string(data), err
	}
	chunked := func() *http1.OutgoingRequest {
		return &http1.OutgoingRequest{Method: http.MethodPost, Target: "/", Host: "x", Header: http.Header{}, Body: []byte("x"), Rest: endless{}}
	}
	withLength := func() *http1.OutgoingRequest {
		return &http1.OutgoingRequest{Method: http.MethodPost, Target: "/", Host: "x", Header: http.Header{}, Body: make([]byte, 64<<20)}
	}

	DescribeTable("is not complete if a write of the request gets the reset", func(head string, out func() *http1.OutgoingRequest) {
		data, err := exchangeBody(answerEarly(head+"\r\n"+body, reset), out())
		Expect(data).To(Equal(body))
		Expect(err).To(MatchError(ContainSubstring("reset")))
	},
		Entry("in chunks", "HTTP/1.1 200 OK\r\n", chunked),
		Entry("with a length", "HTTP/1.1 200 OK\r\n", withLength),
		Entry("with Connection: close", "HTTP/1.1 200 OK\r\nConnection: close\r\n", chunked),
		Entry("to HTTP/1.0", "HTTP/1.0 200 OK\r\n", chunked),
		Entry("to HTTP/1.0, with Connection: close", "HTTP/1.0 200 OK\r\nConnection: close\r\n", chunked),
	)

	DescribeTable("is complete if the server closes the connection before the request ends", func(out func() *http1.OutgoingRequest) {
		data, err := exchangeBody(answerEarly(fmt.Sprintf("HTTP/1.1 200 OK\r\n\r\n%s", body), func(conn *net.TCPConn) {
			// A reset that comes after the end of the stream belongs to the request.
			_ = conn.CloseWrite()
			time.Sleep(20 * time.Millisecond)
		}), out())
		Expect(err).NotTo(HaveOccurred())
		Expect(data).To(Equal(body))
	},
		Entry("in chunks", chunked),
		Entry("with a length", withLength),
	)
})

// malformedStatuses are status codes that no final response may have.
var malformedStatuses = []string{"000", "001", "099", "101", "600", "999", "-01", "+20", "20", "2000", "", "2 0", "abc"}

// malformedFields are lines that are no field of a head or a trailer section.
var malformedFields = []struct{ name, line string }{
	{"a blank in the name", "Na me: v"},
	{"a blank before the colon", "Transfer-Encoding : chunked"},
	{"a tab before the colon", "Content-Length\t: 1"},
	{"a blank before the name", " Transfer-Encoding: chunked"},
	{"a tab before the name", "\tContent-Length: 1"},
	{"a line folded into the one above", " folded"},
	{"blanks only", "  "},
	{"a control byte in the name", "Na\x01me: v"},
	{"a control byte before the name", "\x01Content-Length: 1"},
	{"a null byte in the name", "Content-Length\x00: 1"},
	{"a carriage return in the name", "Na\rme: v"},
	{"DEL in the name", "Name\x7f: v"},
	{"no name", ": v"},
	{"no colon", "Name"},
	{"a byte beyond ASCII in the name", "N\xc3\xa4me: v"},
	{"a null byte in the value", "Name: a\x00b"},
	{"a carriage return in the value", "Name: a\rContent-Length: 1"},
	{"a control byte in the value", "Name: a\x1bb"},
	{"a status line in the value", "Name: HTTP/1.1 200 OK"},
}

var _ = Describe("a response", func() {
	receive := func(text string) (string, error) {
		p := onceTo(text)
		DeferCleanup(p.Close)
		return exchange(p, &http1.OutgoingRequest{Method: http.MethodPost, Target: "/", Host: "x", Header: http.Header{}})
	}
	var statuses, heads, interims, trailers []any
	for _, status := range malformedStatuses {
		statuses = append(statuses, Entry(fmt.Sprintf("%q", status), status))
	}
	for _, field := range malformedFields {
		heads = append(heads, Entry(field.name, field.line))
		interims = append(interims, Entry(field.name, field.line))
		trailers = append(trailers, Entry(field.name, field.line))
	}

	DescribeTable("with a malformed status is no response", append([]any{func(status string) {
		_, err := receive("HTTP/1.1 " + status + " OK\r\nContent-Length: 4\r\n\r\nbody")
		Expect(http1.KindOf(err)).To(Equal(http1.KindNoAnswer))
		_, err = receive("HTTP/1.1 " + status + " OK\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
		Expect(http1.KindOf(err)).To(Equal(http1.KindNoAnswer), "as an interim one")
	}}, statuses...)...)

	DescribeTable("with a malformed line in its head is no response", append([]any{func(line string) {
		for _, text := range []string{
			"HTTP/1.1 200 OK\r\nField: v\r\n" + line + "\r\nContent-Length: 4\r\n\r\nbody",
			"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + line + "\r\n\r\nbody",
			"HTTP/1.1 200 OK\r\n" + line + "\r\n\r\nbody",
		} {
			_, err := receive(text)
			Expect(http1.KindOf(err)).To(Equal(http1.KindNoAnswer), "%q", text)
		}
	}}, heads...)...)

	DescribeTable("with a malformed line in an interim head is no response", append([]any{func(line string) {
		_, err := receive("HTTP/1.1 103 Early Hints\r\nField: v\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
		Expect(http1.KindOf(err)).To(Equal(http1.KindNoAnswer))
	}}, interims...)...)

	DescribeTable("with a malformed line in its trailer section is not complete", append([]any{func(line string) {
		_, err := receive("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nField: v\r\n" + line + "\r\n\r\n")
		Expect(err).To(HaveOccurred())
	}}, trailers...)...)

	It("may have any bytes that a value can have, and none after the colon", func() {
		body, err := receive("HTTP/1.1 103 Early Hints\r\nLink: <a>; rel=preload\r\n\r\n" +
			"HTTP/1.1 200 OK\r\nEmpty:\r\nTab:\ta\tb \r\nLatin: \xe4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nField: v\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("body"))
	})
})

var _ = Describe("an inspector", func() {
	// inspect passes text through an inspector in pieces, and returns what may be passed on.
	inspect := func(text string, size int) (passed string, err error) {
		var inspector http1.Inspector
		inspector.Begin()
		for start := 0; start < len(text); start += size {
			piece := text[start:min(start+size, len(text))]
			valid, pieceErr := inspector.Inspect([]byte(piece))
			passed += piece[:valid]
			if pieceErr != nil {
				return passed, pieceErr
			}
		}
		return passed, nil
	}
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n"

	It("passes on sound responses, whatever the pieces they come in", func() {
		for _, text := range []string{
			interim + "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nb\r\n \r\nA\r\n\r\n\r\nNa me:\r\n\r\n0\r\nField: v\r\n\r\n",
			"HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n1\nx\r\n0\n\n",
			"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nNa me:\r\n\r\n",
			"HTTP/1.0 200 OK\r\n\r\nNa me:\r\n\r\n",
			"HTTP/1.1 204 No Content\r\n\r\n",
		} {
			for size := range len(text) {
				passed, err := inspect(text, size+1)
				Expect(err).NotTo(HaveOccurred(), "%q", text)
				Expect(passed).To(Equal(text))
			}
		}
	})

	It("withholds the end of a malformed section, whatever the pieces it comes in", func() {
		for _, field := range malformedFields {
			for _, before := range []string{
				"HTTP/1.1 200 OK\r\nField: v\r\n",
				"HTTP/1.1 103 Early Hints\r\nField: v\r\n",
				interim + "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nField: v\r\n",
			} {
				section := before + field.line + "\r\n\r\n"
				text := section + "HTTP/1.1 200 OK\r\n\r\n"
				for size := range len(text) {
					passed, err := inspect(text, size+1)
					Expect(http1.KindOf(err)).To(Equal(http1.KindMalformed), "%q", text)
					Expect(passed).To(Equal(section[:len(section)-1]))
				}
			}
		}
	})

	It("fails at a section that does not end", func() {
		passed, err := inspect("HTTP/1.1 200 OK\r\n"+strings.Repeat("Field: v\r\n", 16<<10), 4096)
		Expect(err).To(HaveOccurred())
		Expect(len(passed)).To(BeNumerically("<", 80<<10))
	})
})
