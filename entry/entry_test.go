package entry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/clock"
	"github.com/banyancross/banyancross/entry"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/note"
	"github.com/banyancross/banyancross/totals"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entry")
}

// emptyDirectory is a Directory and a Sender without upstreams.
type emptyDirectory struct {
	state *note.State
}

func (d emptyDirectory) State() *note.State              { return d.state }
func (emptyDirectory) Targets(string) []entry.Target     { return nil }
func (emptyDirectory) Owner(string) (entry.Target, bool) { return entry.Target{}, false }
func (emptyDirectory) Send(context.Context, entry.Target, hop.Meta, *http.Request) *hop.Answer {
	panic("no upstream to send to")
}

var _ = DescribeTable("the outcome of a call that was sent to no gate",
	func(configured bool, key, path, depth, outcome string) {
		state := (*note.State)(nil)
		if configured {
			n, err := note.Parse("n.toml", []byte("id = \"first\"\n[service.kasir]\n"))
			Expect(err).NotTo(HaveOccurred())
			state, err = (&note.State{}).Apply(n, note.ApplyOptions{Now: time.Now()})
			Expect(err).NotTo(HaveOccurred())
		}
		e := entry.New(clock.System{}, emptyDirectory{state: state}, emptyDirectory{}, totals.NewCounter("h", "i"))
		request := httptest.NewRequest(http.MethodPost, path, http.NoBody)
		if key != "" {
			request.Header.Set("Idempotency-Key", key)
		}
		if depth != "" {
			request.Header.Set("Banyancross-Depth", depth)
		}
		recorder := httptest.NewRecorder()
		e.ServeHTTP(recorder, request)
		Expect(recorder.Header().Get(entry.OutcomeHeader)).To(Equal(outcome))
	},
	Entry("no revision, no key", false, "", "/kasir/", "", "not-run"),
	Entry("no revision, a key", false, goodKey, "/kasir/", "", "unknown"),
	Entry("unknown service, a key", true, goodKey, "/lilin/", "", "unknown"),
	Entry("too deep, no key", true, "", "/kasir/", "20", "not-run"),
	Entry("too deep, a key", true, goodKey, "/kasir/", "20", "unknown"),
	Entry("malformed depth, a key", true, goodKey, "/kasir/", "x", "unknown"),
	Entry("malformed key", true, "abc", "/kasir/", "", "not-run"),
	Entry("no upstream, no key", true, "", "/kasir/", "", "not-run"),
	Entry("no owner, a key", true, goodKey, "/kasir/", "", "unknown"),
)

const goodKey = "01a3185c-5000-7000-8000-000000000000"
