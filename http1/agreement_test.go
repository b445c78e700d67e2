package http1_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/http1"
)

// inspectedConn is a connection for net/http whose responses are inspected.
type inspectedConn struct {
	net.Conn
	inspector http1.Inspector
}

// Read implements net.Conn.
func (c *inspectedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if valid, malformed := c.inspector.Inspect(p[:n]); malformed != nil {
		return valid, malformed
	}
	return n, err
}

// receiveByNetHTTP returns the status and the body that net/http reads from a server that sends
// text and closes.
func receiveByNetHTTP(text string) (status int, body string, err error) {
	transport := &http.Transport{DisableCompression: true, DialContext: func(context.Context, string, string) (net.Conn, error) {
		return &inspectedConn{Conn: answeringPipe(text)}, nil
	}}
	defer transport.CloseIdleConnections()
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		info.Conn.(*inspectedConn).inspector.Begin()
	}})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://x/", http.NoBody)
	Expect(err).NotTo(HaveOccurred())
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// receiveByPool is receiveByNetHTTP with a Pool.
func receiveByPool(text string) (status int, body string, err error) {
	p := onceTo(text)
	defer p.Close()
	response, err := p.Do(context.Background(), &http1.OutgoingRequest{Method: http.MethodPost, Target: "/", Host: "x", Header: http.Header{}})
	if err != nil {
		return 0, "", err
	}
	defer response.Release()
	data, err := io.ReadAll(response.Body)
	return response.Status, string(data), err
}

// mutate changes, inserts or removes one byte of text, or cuts it off.
func mutate(rng *rand.Rand, text string) string {
	if text == "" {
		return text
	}
	const alphabet = "\r\n\t :;0123456789abHTP/.\x00\x01\x7f\xc3xC"
	at, c := rng.IntN(len(text)), alphabet[rng.IntN(len(alphabet))]
	switch rng.IntN(4) {
	case 0:
		return text[:at] + string([]byte{c}) + text[at+1:]
	case 1:
		return text[:at] + string([]byte{c}) + text[at:]
	case 2:
		return text[:at] + text[at+1:]
	}
	return text[:at+1]
}

var _ = Describe("net/http behind an inspector", func() {
	It("takes no response for complete that a pool does not, and reads the same from it", func() {
		const seed, responses = 55, 10_000
		sound := []string{
			"HTTP/1.1 200 OK\r\nField: v\r\nContent-Length: 4\r\n\r\nbody",
			"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n4;x=y\r\nbody\r\n2\r\nab\r\n0\r\nSum: v\r\n\r\n",
			"HTTP/1.0 200 OK\r\nConnection: close\r\n\r\nbody",
			"HTTP/1.1 204 No Content\r\nField: v\r\n\r\n",
			"HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		}
		rng := rand.New(rand.NewPCG(seed, 0))
		complete := 0
		for range responses {
			text := sound[rng.IntN(len(sound))]
			for range 1 + rng.IntN(3) {
				text = mutate(rng, text)
			}
			status, body, err := receiveByNetHTTP(text)
			if err != nil {
				continue
			}
			complete++
			expectedStatus, expectedBody, err := receiveByPool(text)
			Expect(err).NotTo(HaveOccurred(), fmt.Sprintf("%q", text))
			Expect(status).To(Equal(expectedStatus), fmt.Sprintf("%q", text))
			Expect(body).To(Equal(expectedBody), fmt.Sprintf("%q", text))
		}
		GinkgoWriter.Println("complete", complete)
		Expect(complete).To(BeNumerically(">", responses/20))
	})
})
