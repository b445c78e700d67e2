package admission_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/admission"
	"github.com/banyancross/banyancross/call"
)

// calls are the nested calls of a run.
var calls = map[string]float64{"studio": 1}

// beaconInterval is the time between two reports of a gate to all entry nodes.
const beaconInterval = 225 * time.Millisecond

// addEntries adds entry nodes that hear from each gate by beacons and with answers.
func (r *replay) addEntries(count int, end time.Duration) {
	for range count {
		r.entries = append(r.entries, admission.NewLevels(r.present))
	}
	if count == 0 {
		return
	}
	var beacon, sample func()
	sample = func() {
		r.sampled = append(r.sampled, r.entries[0].Level(r.now, "studio").Excess)
		if r.since() < end {
			r.after(100*time.Millisecond, sample)
		}
	}
	beacon = func() {
		for _, service := range []string{"catalogue", "studio"} {
			for _, g := range r.gates[service] {
				r.report(g, r.entries...)
			}
		}
		if r.since() < end {
			r.after(beaconInterval, beacon)
		}
	}
	sample()
	beacon()
}

// present returns the number of servers of a service.
func (r *replay) present(service string) int {
	count := 0
	for _, g := range r.gates[service] {
		if !g.gone {
			count++
		}
	}
	return count
}

func (r *replay) report(g *replayGate, entries ...*admission.Levels) {
	if g.gone {
		return
	}
	for _, levels := range entries {
		levels.Report(r.now, g.service, g.name, g.gate.Load(r.now))
	}
}

// answered reports a gate to one of the entry nodes.
func (r *replay) answered(g *replayGate) {
	if len(r.entries) > 0 {
		r.report(g, r.entries[r.rng.IntN(len(r.entries))])
	}
}

// withinLevel asks the request's entry node.
func (r *replay) withinLevel(k *kind, begun time.Time, entry int) bool {
	if len(r.entries) == 0 {
		return true
	}
	d := admission.Demand{
		Priority: k.priority, Organisation: k.organisation, Draw: r.rng.Float64(),
		Late: r.now.Sub(begun)+r.meanTimes[k.service] > k.objective,
	}
	if k.nested != "" {
		d.Nested = map[string]float64{k.nested: 2}
	}
	_, ok := r.entries[entry].Admit(r.now, d)
	return ok
}

// full returns the load of a full upstream.
func full(excess float32) call.Load {
	return call.Load{Running: 6, Waiting: 2, Limit: 6, ServiceTime: 100 * time.Millisecond, NestedExcess: excess}
}

// admittedShares offers requests by turns of each priority and returns the shares of them
// that are admitted.
func admittedShares(levels *admission.Levels, d admission.Demand, priorities ...int) map[int]float64 {
	const rounds = 200
	shares := map[int]float64{}
	at := now
	for i := range 2 * rounds {
		for _, priority := range priorities {
			at = at.Add(time.Millisecond)
			d.Priority, d.Draw = priority, float64(i%20)/20
			if _, ok := levels.Admit(at, d); ok && i >= rounds {
				shares[priority] += 1.0 / rounds
			}
		}
		for j := range 4 {
			levels.Report(at, "studio", fmt.Sprint(j), full(0.5))
		}
	}
	return shares
}

var _ = Describe("the levels of services", func() {
	reported := func(loads ...call.Load) *admission.Levels {
		levels := admission.NewLevels(func(string) int { return 4 })
		for i, load := range loads {
			levels.Report(now, "studio", fmt.Sprint(i), load)
		}
		return levels
	}

	It("save the runs that a full service at the end of the chain would fail, for calls that need another", func() {
		r, without := ordersReplay(12, true), ordersReplay(0, true)
		r.describe()
		without.describe()
		GinkgoWriter.Printf("%.2f\n", r.sampled)
		Expect(r.wasted.Seconds() / r.work.Seconds()).To(BeNumerically("<", 0.5*without.wasted.Seconds()/without.work.Seconds()))
		// Orders need no room at studio, and catalogue has room for them.
		Expect(r.byKind["order-place"].share()).To(BeNumerically(">", 0.9*0.97))
		Expect(without.byKind["order-place"].share()).To(BeNumerically("<", 0.9*0.97))
		// Lookups are served as far as there is room, rejected ones hear of it at once.
		Expect(r.byKind["item-lookup"].served).To(BeNumerically(">", without.byKind["item-lookup"].served*95/100))
		Expect(r.worst()).To(BeNumerically(">", without.worst()))
	})

	It("end within a second of the overload", func() {
		r := ordersReplay(12, true)
		Expect(r.sampled[70:]).To(HaveEach(BeNumerically("<", 0.02)))
		Expect(r.within(7, 9).share()).To(BeNumerically(">", 0.9*0.97))
	})

	It("do not exist without overload", func() {
		r := ordersReplay(12, false)
		Expect(r.sampled).To(HaveEach(BeZero()))
		for _, t := range r.byKind {
			Expect(t.rejected).To(BeZero())
		}
	})

	It("do not oscillate while the overload lasts", func() {
		r := ordersReplay(12, true)
		// From a second after its begin, the level keeps to a band around its mean.
		mean := 0.0
		for _, value := range r.sampled[30:60] {
			mean += value / 30
		}
		outside := 0
		for _, value := range r.sampled[30:60] {
			if value < mean/2 || value > 1.5*mean {
				outside++
			}
		}
		Expect(mean).To(BeNumerically(">", 0.1))
		Expect(outside).To(BeNumerically("<=", 3))
	})

	It("reject the least urgent first, and a share within the priority at the border", func() {
		levels := reported()
		shares := admittedShares(levels, admission.Demand{Nested: calls}, 0, 1, 2)
		Expect(shares[0]).To(BeNumerically("~", 1, 0.01))
		Expect(shares[1]).To(BeNumerically("~", 0.5, 0.1))
		Expect(shares[2]).To(BeNumerically("~", 0, 0.01))
	})

	It("cut the organisation that asks for most, and others not at all", func() {
		levels := reported(full(0.5), full(0.5), full(0.5), full(0.5))
		admitted := map[string]int{}
		// Hot asks for 0.7 of all: half of all leaves 0.2 for it.
		for i := range 2000 {
			organisation := "hot"
			if i%10 < 3 {
				organisation = fmt.Sprint("o-", i%10)
			}
			if _, ok := levels.Admit(now, admission.Demand{Nested: calls, Organisation: organisation, Draw: float64(i/10%20) / 20}); ok && i >= 1000 {
				admitted[organisation]++
			}
		}
		for i := range 3 {
			Expect(admitted[fmt.Sprint("o-", i)]).To(Equal(100))
		}
		Expect(admitted["hot"]).To(BeNumerically("~", 200, 40))
	})

	It("reject by the nested calls of a run, but not by those that it does not make", func() {
		levels := reported(full(0.9), full(0.9), full(0.9), full(0.9))
		_, ok := levels.Admit(now, admission.Demand{Nested: map[string]float64{"studio": 2}, Draw: 0.5})
		Expect(ok).To(BeFalse())
		_, ok = levels.Admit(now, admission.Demand{Nested: map[string]float64{"studio": 0.05}, Draw: 0.5})
		Expect(ok).To(BeTrue())
		_, ok = levels.Admit(now, admission.Demand{Draw: 0.5})
		Expect(ok).To(BeTrue())
	})

	It("let what is late go after others of its priority", func() {
		levels := reported(full(0.5), full(0.5), full(0.5), full(0.5))
		for range 100 {
			levels.Admit(now, admission.Demand{Nested: calls, Draw: 0.9})
		}
		_, ok := levels.Admit(now, admission.Demand{Nested: calls, Late: true})
		Expect(ok).To(BeFalse())
		_, ok = levels.Admit(now, admission.Demand{Nested: calls, Draw: 0.3})
		Expect(ok).To(BeTrue())
	})

	It("reach entry nodes that do not call the full service by the answers of nodes that do", func() {
		caller := reported(full(0.6), full(0.6), full(0.6))
		excess := caller.NestedExcess(now)
		Expect(excess).To(HaveKeyWithValue("studio", BeNumerically("~", 0.6, 0.01)))

		entry := reported()
		entry.Relay(now, "catalogue-1", excess)
		Expect(entry.Level(now, "studio").Excess).To(BeNumerically("~", 0.6, 0.01))
		Expect(entry.NestedExcess(now)).To(BeEmpty(), "it is relayed once")
		Expect(entry.Level(now.Add(time.Second), "studio").Excess).To(BeZero())
	})

	DescribeTable("are zero", func(loads ...call.Load) {
		Expect(reported(loads...).Level(now, "studio").Excess).To(BeZero())
	},
		Entry("while a tenth of the slots is free", full(0.9), full(0.9), full(0.9), call.Load{Running: 3, Limit: 6, ServiceTime: time.Second}),
		Entry("while too few upstreams have reported", full(0.9), full(0.9)),
		Entry("without reports"),
	)

	It("bound what nodes tell", func() {
		nan := float32(math.NaN())
		levels := reported(full(nan), full(7), full(-1))
		Expect(levels.Level(now, "studio").Excess).To(BeNumerically("~", 0.9/3, 0.001))
		entry := reported()
		entry.Relay(now, "catalogue-1", map[string]float32{"studio": nan})
		Expect(entry.Level(now, "studio").Excess).To(BeZero())
	})

	It("forget old reports, and keep the excess when a notice follows a report", func() {
		levels := reported(full(0.8), full(0.8), full(0.8))
		levels.Report(now, "studio", "0", call.Load{Running: 6, Waiting: 1, Limit: 6})
		Expect(levels.Level(now, "studio").Excess).To(BeNumerically("~", 0.8, 0.01))
		Expect(levels.TakeChanges(now)).To(ConsistOf(HaveField("Reports", 3)))
		Expect(levels.TakeChanges(now)).To(BeEmpty())
		later := now.Add(time.Second)
		Expect(levels.Level(later, "studio").Excess).To(BeZero())
		Expect(levels.TakeChanges(later)).To(ConsistOf(HaveField("Excess", BeZero())))
	})
})

func BenchmarkLevelOfManyOrganisations(b *testing.B) {
	levels := admission.NewLevels(func(string) int { return 4 })
	names := make([]string, 10_000)
	for i := range names {
		names[i] = fmt.Sprint("organisation-", i)
	}
	b.ReportAllocs()
	for i := range b.N {
		at := now.Add(time.Duration(i) * 100 * time.Microsecond)
		if i%1000 == 0 {
			for j := range 4 {
				levels.Report(at, "studio", fmt.Sprint(j), full(0.5))
			}
		}
		levels.Admit(at, admission.Demand{Nested: calls, Organisation: names[i%len(names)], Draw: 0.5})
	}
}
