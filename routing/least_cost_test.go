package routing_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/routing"
)

var _ = Describe("choosing by reports", func() {
	at := time.Unix(1_800_000_000, 0)
	near := routing.NewCandidate("near", 10, 0, false)
	far := routing.NewCandidate("far", 10, 0, true)
	other := routing.NewCandidate("other", 10, 0, false)

	policy := func() *routing.LeastCost { return routing.NewLeastCost(rand.New(rand.NewPCG(1, 2))) }
	chosen := func(p *routing.LeastCost, now time.Time, candidates ...routing.Candidate) map[string]int {
		seen := map[string]int{}
		for range 100 {
			seen[candidates[p.Choose(now, candidates)].Name()]++
		}
		return seen
	}

	It("prefers the own failure domain while it has room", func() {
		p := policy()
		Expect(chosen(p, at, far, near)).To(Equal(map[string]int{"near": 100}))
		p.UpdateLoad(at, "near", call.Load{Running: 9, Limit: 10, Slowdown: 1})
		Expect(chosen(p, at, far, near)["far"]).To(Equal(100))
	})

	It("fetches long answers from far away only as the last resort", func() {
		p := policy()
		p.UpdateLoad(at, "near", call.Load{Running: 9, Limit: 10, Slowdown: 1})
		long := int64(90 << 10)
		Expect(chosen(p, at, far.WithResponseSize(long), near.WithResponseSize(long))["near"]).To(Equal(100))
	})

	It("avoids a slow host as long as the report is fresh", func() {
		p := policy()
		p.UpdateLoad(at, "near", call.Load{Limit: 10, Slowdown: 5})
		Expect(p.Overloaded(at, "near")).To(BeTrue())
		Expect(chosen(p, at, near, other)["other"]).To(Equal(100))
		later := at.Add(200 * time.Millisecond)
		Expect(p.Overloaded(later, "near")).To(BeFalse())
		Expect(chosen(p, later, near, other)["near"]).To(BeNumerically(">", 20))
	})

	It("counts the calls that it sent since the report", func() {
		p := policy()
		for range 5 {
			p.Started(at, "near")
		}
		Expect(chosen(p, at, near, other)["other"]).To(Equal(100))
	})

	It("avoids an upstream that lost a call, and returns to it", func() {
		p := policy()
		p.Started(at, "near")
		p.Finished(at, "near", routing.Result{Outcome: call.Unknown, Reason: call.ReasonConnection})
		Expect(chosen(p, at, near, other)["other"]).To(Equal(100))
		Expect(chosen(p, at.Add(time.Minute), near, other)["near"]).To(BeNumerically(">", 20))
	})

	It("keeps away from an upstream that mostly fails", func() {
		p := policy()
		p.UpdateLoad(at, "near", call.Load{Limit: 10, Slowdown: 1, Failing: true})
		p.UpdateLoad(at, "far", call.Load{Running: 10, Waiting: 5, Limit: 10, Slowdown: 5})
		Expect(chosen(p, at, near, far)["far"]).To(Equal(100))
	})
})
