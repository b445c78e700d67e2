package routing_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/routing"
)

var _ = Describe("the known loads", func() {
	at := time.Unix(1_800_000_000, 0)
	candidates := []routing.Candidate{
		routing.NewCandidate("a", 10, 0, false).WithGroup("g"), routing.NewCandidate("b", 10, 0, false).WithGroup("g"),
	}
	var p *routing.LeastCost
	BeforeEach(func() { p = routing.NewLeastCost(rand.New(rand.NewPCG(1, 2))) })

	It("are those reported, while the reports are valid", func() {
		p.Choose(at, candidates[:1])
		p.UpdateLoad(at, "a", call.Load{Running: 8, Waiting: 4, Limit: 8, Slowdown: 1})
		loads := p.Loads(at.Add(100*time.Millisecond), candidates)
		Expect(loads[0]).To(Equal(routing.KnownLoad{Calls: 12, Limit: 8, Age: 100 * time.Millisecond}))
		Expect(loads[1]).To(Equal(routing.KnownLoad{Calls: 15, Limit: 10, Age: 100 * time.Millisecond}), "the mean of the group")
		loads = p.Loads(at.Add(time.Second), candidates)
		Expect(loads[0]).To(Equal(loads[1]))
		Expect(p.Loads(at.Add(time.Minute), candidates)[0].Calls).To(BeZero())
	})

	It("have no limit while an upstream fails, or its connection failed lately", func() {
		p.UpdateLoad(at, "a", call.Load{Running: 1, Limit: 8, Failing: true})
		p.Started(at, "b")
		p.Finished(at, "b", routing.Result{Outcome: call.NotRun, Reason: call.ReasonConnection})
		loads := p.Loads(at, candidates)
		Expect(loads[0].Limit).To(BeZero())
		Expect(loads[1].Limit).To(BeZero())
		Expect(p.Loads(at.Add(1100*time.Millisecond), candidates)[1].Limit).To(Equal(10.0))
	})
})
