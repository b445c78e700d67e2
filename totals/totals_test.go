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

// host is a node that may crash and restart with a new incarnation.
type host struct {
	name         string
	counter      *totals.Counter
	incarnations int
}

func (h *host) start() {
	h.incarnations++
	h.counter = totals.NewCounter(h.name, fmt.Sprintf("%s-%d", h.name, h.incarnations))
}

// counts are the numbers of calls by result.
type counts struct {
	calls, answered, notRun, unknown, ran uint64
}

// simulation runs calls on hosts that report to two relays, which write to one
// stored value. counts holds the actual numbers of calls.
type simulation struct {
	rng    *rand.Rand
	hosts  []*host
	relays [2]totals.Day
	stored totals.Day
	counts counts
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, seed))}
	for i := range 4 {
		h := &host{name: fmt.Sprintf("kasir-%d", i+1)}
		h.start()
		s.hosts = append(s.hosts, h)
		s.register(h)
	}
	return s
}

// register adds all incarnations of the host, present and former, to the relays,
// as membership does.
func (s *simulation) register(h *host) {
	for i := range s.relays {
		for index := range h.incarnations {
			s.relays[i].Merge(totals.Report{Host: h.name, Incarnation: fmt.Sprintf("%s-%d", h.name, index+1)})
		}
	}
}

func (s *simulation) call() {
	entry, gate := s.hosts[s.rng.IntN(len(s.hosts))].counter, s.hosts[s.rng.IntN(len(s.hosts))].counter
	entry.Received(day, "kasir")
	s.counts.calls++
	switch s.rng.IntN(4) {
	case 0:
		entry.Attempted(day, "kasir", totals.Attempt{})
		entry.Completed(day, "kasir", totals.Completion{Outcome: call.NotRun})
		s.counts.notRun++
	case 1:
		s.counts.ran++
		gate.Ran(day, "kasir")
		entry.Attempted(day, "kasir", totals.Attempt{Uncertain: true})
		entry.Completed(day, "kasir", totals.Completion{Outcome: call.Unknown})
		s.counts.unknown++
	default:
		s.counts.ran++
		gate.Ran(day, "kasir")
		entry.Attempted(day, "kasir", totals.Attempt{Ran: true})
		entry.Completed(day, "kasir", totals.Completion{Outcome: call.Answered})
		s.counts.answered++
	}
}

// report sends a host's counts to the relays; messages are lost or repeated.
func (s *simulation) report(h *host, now time.Time) {
	for _, report := range h.counter.Reports(now, day) {
		for i := range s.relays {
			for range s.rng.IntN(3) {
				s.relays[i].Merge(report.Report)
			}
		}
	}
}

// write merges a relay's value into the stored one; the response may be lost, in
// which case the relay writes again.
func (s *simulation) write(i int) {
	for range 1 + s.rng.IntN(2) {
		s.stored.MergeDay(s.relays[i])
	}
}

func (s *simulation) step() {
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	switch draw := s.rng.IntN(100); {
	case draw < 80:
		s.call()
	case draw < 90:
		s.report(h, dayEnd.Add(-time.Hour))
	case draw < 97:
		s.write(s.rng.IntN(2))
	case draw < 98:
		i := s.rng.IntN(2)
		s.relays[i] = totals.Day{} // a relay is replaced
		for _, h := range s.hosts {
			s.register(h)
		}
	case draw < 99:
		h.start() // crash
		s.register(h)
	default:
		h.counter.Finish() // planned stop
		for _, report := range h.counter.Reports(dayEnd.Add(-time.Hour), day) {
			s.relays[0].Merge(report.Report)
			s.relays[1].Merge(report.Report)
		}
		h.start()
		s.register(h)
	}
}

// summarize lets each host report after the end of the day and returns the
// summary.
func (s *simulation) summarize() *totals.Summary {
	for _, h := range s.hosts {
		for range 4 {
			s.report(h, dayEnd.Add(time.Minute))
		}
	}
	s.write(0)
	s.write(1)
	data, err := s.stored.Encode()
	Expect(err).NotTo(HaveOccurred())
	stored, err := totals.DecodeDay(data)
	Expect(err).NotTo(HaveOccurred())
	return totals.Summarize(totals.Scope{Day: day, Through: dayEnd, DayEnded: true}, []totals.Day{stored}, nil)
}

var _ = Describe("a day's totals", func() {
	It("are correct or not trusted under crashes, lost and repeated messages", func() {
		trustedDays := 0
		for seed := range uint64(200) {
			s := newSimulation(seed)
			for range 300 {
				s.step()
			}
			summary := s.summarize()
			if !summary.Trusted() {
				continue
			}
			trustedDays++
			Expect(summary.Rows).To(HaveLen(1))
			row := summary.Rows[0].Row
			found := counts{row.Calls, row.Answered, row.NotRun, row.Unknown, row.GateRuns}
			Expect(found).To(Equal(s.counts), "seed %d", seed)
		}
		Expect(trustedDays).To(BeNumerically(">", 0))
		Expect(trustedDays).To(BeNumerically("<", 200))
	})

	It("list an incarnation that crashed before its first report as missing", func() {
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

	It("end at midnight in the operators' time zone", func() {
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
