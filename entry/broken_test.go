package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/clock"
	"github.com/banyancross/banyancross/entry"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/note"
	"github.com/banyancross/banyancross/routing"
	"github.com/banyancross/banyancross/totals"
)

// fixedDirectory is a Directory and a Sender with one upstream, whose answers have the body.
type fixedDirectory struct {
	emptyDirectory
	length int64
	body   func() io.Reader
}

func (fixedDirectory) Targets(string) []entry.Target {
	return []entry.Target{entry.NewTarget(routing.NewCandidate("kasir-1", 4, 0, false), "kasir", "x", "i")}
}

func (d fixedDirectory) Send(_ context.Context, _ entry.Target, meta hop.Meta, _ *http.Request) *hop.Answer {
	return &hop.Answer{
		Meta:     hop.AnswerMeta{ID: meta.ID, Outcome: call.Answered, FromGate: true, ReachedUpstream: true},
		Response: &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, ContentLength: d.length, Body: io.NopCloser(d.body())},
	}
}

// cutReader is the end of a body that breaks off.
type cutReader struct{}

func (cutReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

var _ = Describe("the answer to a caller", func() {
	receive := func(proto string, length int64, end io.Reader) (string, error) {
		n, err := note.Parse("n.toml", []byte("id = \"first\"\n[service.kasir]\n"))
		Expect(err).NotTo(HaveOccurred())
		state, err := (&note.State{}).Apply(n, note.ApplyOptions{Now: time.Now()})
		Expect(err).NotTo(HaveOccurred())
		d := fixedDirectory{emptyDirectory: emptyDirectory{state: state}, length: length, body: func() io.Reader {
			return io.MultiReader(strings.NewReader("paid"), end)
		}}
		server := httptest.NewServer(entry.New(clock.System{}, d, d, totals.NewCounter("h", "i")))
		DeferCleanup(server.Close)
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		_, _ = fmt.Fprintf(conn, "GET /kasir/stock %s\r\nHost: x\r\n\r\n", proto)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return "", err
		}
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		return string(body), err
	}

	DescribeTable("does not look complete if the upstream's breaks off", func(proto string, length int64) {
		_, err := receive(proto, length, cutReader{})
		Expect(err).To(Or(MatchError(io.ErrUnexpectedEOF), MatchError(syscall.ECONNRESET)))
	},
		Entry("of unknown length", "HTTP/1.1", int64(-1)),
		Entry("with a length", "HTTP/1.1", int64(9)),
		Entry("of unknown length, to HTTP/1.0", "HTTP/1.0", int64(-1)),
		Entry("with a length, to HTTP/1.0", "HTTP/1.0", int64(9)),
	)

	DescribeTable("is complete if the upstream's is", func(proto string, length int64) {
		Expect(receive(proto, length, strings.NewReader(""))).To(Equal("paid"))
	},
		Entry("of unknown length", "HTTP/1.1", int64(-1)),
		Entry("of unknown length, to HTTP/1.0", "HTTP/1.0", int64(-1)),
		Entry("with a length, to HTTP/1.0", "HTTP/1.0", int64(4)),
	)
})
