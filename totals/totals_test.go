package totals_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/totals"
)

func TestTotals(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "totals")
}

const day = "2026-12-04"

var dayEnd = time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)

// host is a node that may crash and come back.
type host struct {
	name    string
	counter *totals.Counter
	life    int
}

func (h *host) start() {
	h.life++
	h.counter = totals.NewCounter(h.name, fmt.Sprintf("%s-%d", h.name, h.life))
}

// truth is what really happened.
type truth struct {
	calls, answered, notRun, unknown, ran uint64
}

// world runs calls over hosts and keeps two relays that write to one value.
type world struct {
	rng    *rand.Rand
	hosts  []*host
	relays [2]totals.Day
	stored totals.Day
	truth  truth
}

func newWorld(seed uint64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, seed))}
	for i := range 4 {
		h := &host{name: fmt.Sprintf("kasir-%d", i+1)}
		h.start()
		w.hosts = append(w.hosts, h)
		w.expect(h)
	}
	return w
}

// expect notes at the relays which incarnations there are and were, as
// membership does.
func (w *world) expect(h *host) {
	for i := range w.relays {
		for life := range h.life {
			w.relays[i].Merge(totals.Report{Host: h.name, Incarnation: fmt.Sprintf("%s-%d", h.name, life+1)})
		}
	}
}

func (w *world) call() {
	entry, gate := w.hosts[w.rng.IntN(len(w.hosts))].counter, w.hosts[w.rng.IntN(len(w.hosts))].counter
	entry.Received(day, "kasir")
	w.truth.calls++
	switch w.rng.IntN(4) {
	case 0:
		entry.Attempted(day, "kasir", totals.Attempt{})
		entry.Completed(day, "kasir", totals.Completion{Outcome: call.NotRun})
		w.truth.notRun++
	case 1:
		w.truth.ran++
		gate.Ran(day, "kasir")
		entry.Attempted(day, "kasir", totals.Attempt{Uncertain: true})
		entry.Completed(day, "kasir", totals.Completion{Outcome: call.Unknown})
		w.truth.unknown++
	default:
		w.truth.ran++
		gate.Ran(day, "kasir")
		entry.Attempted(day, "kasir", totals.Attempt{Ran: true})
		entry.Completed(day, "kasir", totals.Completion{Outcome: call.Answered})
		w.truth.answered++
	}
}

// report gives a host's counts to the relays; messages are lost and repeated.
func (w *world) report(h *host, now time.Time) {
	for _, report := range h.counter.Reports(now, day) {
		for i := range w.relays {
			for range w.rng.IntN(3) {
				w.relays[i].Merge(report.Report)
			}
		}
	}
}

// write merges a relay's value into the stored one; the answer may be lost, in
// which case the relay writes again.
func (w *world) write(i int) {
	for range 1 + w.rng.IntN(2) {
		w.stored.MergeDay(w.relays[i])
	}
}

func (w *world) step() {
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	switch draw := w.rng.IntN(100); {
	case draw < 80:
		w.call()
	case draw < 90:
		w.report(h, dayEnd.Add(-time.Hour))
	case draw < 97:
		w.write(w.rng.IntN(2))
	case draw < 98:
		i := w.rng.IntN(2)
		w.relays[i] = totals.Day{} // a relay is replaced
		for _, h := range w.hosts {
			w.expect(h)
		}
	case draw < 99:
		h.start() // crash
		w.expect(h)
	default:
		h.counter.Finish() // planned stop
		for _, report := range h.counter.Reports(dayEnd.Add(-time.Hour), day) {
			w.relays[0].Merge(report.Report)
			w.relays[1].Merge(report.Report)
		}
		h.start()
		w.expect(h)
	}
}

// close lets everyone report after the end of the day and adds up.
func (w *world) close() *totals.Summary {
	for _, h := range w.hosts {
		for range 4 {
			w.report(h, dayEnd.Add(time.Minute))
		}
	}
	w.write(0)
	w.write(1)
	data, err := w.stored.Encode()
	Expect(err).NotTo(HaveOccurred())
	stored, err := totals.DecodeDay(data)
	Expect(err).NotTo(HaveOccurred())
	return totals.Summarize(totals.Scope{Day: day, Through: dayEnd, DayEnded: true}, []totals.Day{stored}, nil)
}

var _ = Describe("a day's totals", func() {
	It("are right or flagged under crashes, lost and repeated messages", func() {
		trusted := 0
		for seed := range uint64(200) {
			w := newWorld(seed)
			for range 300 {
				w.step()
			}
			summary := w.close()
			if !summary.Trusted() {
				continue
			}
			trusted++
			Expect(summary.Rows).To(HaveLen(1))
			row := summary.Rows[0].Row
			found := truth{row.Calls, row.Answered, row.NotRun, row.Unknown, row.GateRuns}
			Expect(found).To(Equal(w.truth), "seed %d", seed)
		}
		Expect(trusted).To(BeNumerically(">", 0))
		Expect(trusted).To(BeNumerically("<", 200))
	})

	It("name an incarnation that vanished before its first report", func() {
		value := totals.Day{}
		value.Merge(totals.Report{Host: "kasir-1", Incarnation: "a"})
		summary := totals.Summarize(totals.Scope{Day: day, Through: dayEnd, DayEnded: true}, []totals.Day{value}, nil)
		Expect(summary.Missing).To(ConsistOf("host kasir-1 (a) never reported"))
	})

	It("do not reconcile when an entry node's counts are missing", func() {
		gate := totals.NewCounter("kasir-1", "a")
		gate.Ran(day, "kasir")
		gate.Finish()
		value := totals.Day{}
		value.Merge(gate.Reports(dayEnd, day)[0].Report)
		summary := totals.Summarize(totals.Scope{Day: day, Through: dayEnd, DayEnded: true}, []totals.Day{value}, nil)
		Expect(summary.Rows[0].Unreconciled).To(Equal(uint64(1)))
		Expect(summary.Trusted()).To(BeFalse())
	})

	It("are not trusted while a failure domain cannot be read", func() {
		summary := totals.Summarize(totals.Scope{Day: day, Through: dayEnd, DayEnded: true}, nil, []string{"jawa-timur"})
		Expect(summary.Trusted()).To(BeFalse())
	})

	It("end with the operators' day", func() {
		jakarta, err := time.LoadLocation("Asia/Jakarta")
		Expect(err).NotTo(HaveOccurred())
		end, err := totals.EndOfDay(day, jakarta)
		Expect(err).NotTo(HaveOccurred())
		Expect(end.UTC()).To(Equal(time.Date(2026, 12, 4, 17, 0, 0, 0, time.UTC)))
		_, err = totals.EndOfDay("4/12/2026", jakarta)
		Expect(err).To(MatchError(ContainSubstring("malformed day")))
	})
})

func FuzzDecodeDay(f *testing.F) {
	value := totals.Day{FailureDomain: "x"}
	value.Merge(totals.Report{Host: "h", Incarnation: "i"})
	data, err := value.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		decoded, err := totals.DecodeDay(data)
		if err == nil {
			totals.Summarize(totals.Scope{Day: day}, []totals.Day{decoded}, nil)
		}
	})
}
