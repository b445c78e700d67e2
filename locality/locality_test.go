package locality_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/locality"
)

func TestLocality(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "locality")
}

var _ = Describe("the decider", func() {
	start := time.Unix(1_800_000_000, 0)
	call := locality.Call{Service: "s", Route: "r", Bytes: 1000, Objective: 300 * time.Millisecond, RunTime: 50 * time.Millisecond}
	domains := func(home, near, far float64) []locality.Domain {
		return []locality.Domain{
			{Name: "home", Way: locality.Within, Load: home, Limit: 20},
			{Name: "near", Way: locality.BetweenDomains, Delay: time.Millisecond, Load: near, Limit: 20},
			{Name: "far", Way: locality.BetweenRegions, Delay: 30 * time.Millisecond, Load: far, Limit: 20},
		}
	}
	var decider *locality.Decider
	BeforeEach(func() {
		decider = locality.NewDecider(rand.New(rand.NewPCG(1, 2)), locality.NewPrices(12<<10, 1, 2))
	})
	// choose decides calls for two seconds and counts those of the last one.
	choose := func(from time.Time, call locality.Call, domains []locality.Domain) map[string]int {
		counts := map[string]int{}
		for i := range 200 {
			chosen, _ := decider.Choose(from.Add(time.Duration(i)*10*time.Millisecond), call, domains)
			if i >= 100 {
				counts[domains[chosen].Name]++
			}
		}
		return counts
	}

	It("keeps all calls at home while there is room", func() {
		Expect(choose(start, call, domains(17, 0, 0))).To(Equal(map[string]int{"home": 100}))
	})

	It("sends calls to the nearest domain with room, and none further", func() {
		counts := choose(start, call, domains(30, 4, 0))
		Expect(counts["near"]).To(BeNumerically(">", 20))
		Expect(counts["far"]).To(BeZero())
	})

	It("sends calls to another region once the own one is full", func() {
		Expect(choose(start, call, domains(40, 40, 4))["far"]).To(BeNumerically(">", 20))
	})

	It("keeps calls at home if there is no room elsewhere", func() {
		Expect(choose(start, call, domains(40, 40, 40))).To(Equal(map[string]int{"home": 100}))
	})

	It("returns home when room is back, not at the first call below the threshold", func() {
		choose(start, call, domains(30, 4, 0))
		away := decider.LeavingShare()
		Expect(away).To(BeNumerically(">", 0.2))
		later := start.Add(2 * time.Second)
		decider.Choose(later, call, domains(19, 4, 0))
		Expect(decider.LeavingShare()).To(BeNumerically("~", away, 0.05), "within the hysteresis")
		Expect(choose(later, call, domains(10, 10, 0))).To(Equal(map[string]int{"home": 100}))
		Expect(decider.LeavingShare()).To(BeZero())
	})

	It("lets calls with few bytes leave before those with many", func() {
		long := call
		long.Route, long.Bytes = "long", 90_000
		Expect(choose(start, call, domains(23, 4, 0))["near"]).To(BeNumerically(">", 0))
		Expect(choose(start, long, domains(23, 4, 0))).To(Equal(map[string]int{"home": 100}))
	})

	It("keeps a nested call near its run for longer, unless that loses the objective", func() {
		nested := call
		nested.Nested = true
		Expect(choose(start, nested, domains(23, 4, 0))).To(Equal(map[string]int{"home": 100}))
		nested.Route, nested.Objective = "urgent", 55*time.Millisecond
		Expect(choose(start, nested, domains(23, 4, 0))["near"]).To(BeNumerically(">", 0))
	})

	It("leaves for the nearest domain if the own one has no upstream", func() {
		for range 100 {
			chosen, reason := decider.Choose(start, call, domains(0, 0, 0)[1:])
			Expect(chosen).To(Equal(0))
			Expect(reason).To(Equal(locality.ReasonNoUpstream))
		}
	})

	It("leaves a domain whose upstreams take no calls, and stays if none does anywhere", func() {
		all := domains(0, 0, 0)
		all[0].Limit = 0
		for range 100 {
			chosen, reason := decider.Choose(start, call, all)
			Expect(chosen).To(Equal(1))
			Expect(reason).To(Equal(locality.ReasonNoUpstream))
		}
		all[1].Limit = 0
		chosen, _ := decider.Choose(start, call, all)
		Expect(chosen).To(Equal(2))
		all[2].Limit = 0
		chosen, reason := decider.Choose(start, call, all)
		Expect(chosen).To(Equal(0))
		Expect(reason).To(Equal(locality.ReasonStays))
	})

	It("counts old news of room for less", func() {
		all := append(domains(30, 4, 0), locality.Domain{Name: "stale", Way: locality.BetweenDomains, Delay: time.Millisecond, Load: 4, Limit: 20, Age: 3 * time.Second})
		counts := choose(start, call, all)
		Expect(counts["near"]).To(BeNumerically(">", 4*counts["stale"]))
	})

	It("weighs without a change of state", func() {
		options := decider.Weigh(call, domains(40, 4, 0))
		for range 1000 {
			Expect(decider.Weigh(call, domains(40, 4, 0))).To(Equal(options))
		}
		Expect(decider.LeavingShare()).To(BeZero())
		Expect(options[2].DelayCost).To(BeNumerically("~", 0.1, 1e-9))
		Expect(options[2].TransferCost).To(BeNumerically("~", 2000.0/12288, 1e-9))
		Expect(options[0].Share + options[1].Share + options[2].Share).To(BeNumerically("~", 1, 1e-9))
		Expect(decider.Weigh(call, domains(10, 4, 0))[0].Share).To(Equal(1.0))
	})
})

var _ = Describe("the delay to another domain", func() {
	It("is a default for the kind of way before the first sample", func() {
		d := locality.NewDelays()
		Expect(d.Estimate("x", locality.BetweenDomains)).To(BeNumerically("<", d.Estimate("x", locality.BetweenRegions)))
		Expect(d.Estimate("x", locality.Within)).To(BeZero())
	})

	It("leaves out dials and pauses, and follows a way that became longer", func() {
		d := locality.NewDelays()
		d.Observe("x", 200*time.Millisecond)
		rng := rand.New(rand.NewPCG(1, 2))
		sample := func(delay time.Duration) {
			for range 500 {
				noise := time.Duration(rng.ExpFloat64() * float64(time.Millisecond))
				if rng.IntN(20) == 0 {
					noise = time.Second
				}
				d.Observe("x", delay+noise)
			}
		}
		sample(30 * time.Millisecond)
		Expect(d.Estimate("x", locality.BetweenRegions)).To(BeNumerically("~", 30*time.Millisecond, 4*time.Millisecond))
		sample(60 * time.Millisecond)
		Expect(d.Estimate("x", locality.BetweenRegions)).To(BeNumerically("~", 60*time.Millisecond, 8*time.Millisecond))
	})
})

var _ = Describe("the kind of a way", func() {
	DescribeTable("depends on the regions",
		func(domain, region, other, otherRegion string, want locality.Way) {
			Expect(locality.WayBetween(domain, region, other, otherRegion)).To(Equal(want))
		},
		Entry("one domain", "a", "r", "a", "r", locality.Within),
		Entry("one region", "a", "r", "b", "r", locality.BetweenDomains),
		Entry("two regions", "a", "r", "b", "q", locality.BetweenRegions),
		Entry("an unknown region", "a", "r", "b", "", locality.BetweenDomains),
	)
})
