package routing_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/routing"
)

var _ = Describe("the least cost policy", func() {
	at := time.Unix(1_800_000_000, 0)
	local := routing.NewCandidate("local", 10, 0, false)
	remote := routing.NewCandidate("remote", 10, 0, true)
	other := routing.NewCandidate("other", 10, 0, false)

	policy := func() *routing.LeastCost { return routing.NewLeastCost(rand.New(rand.NewPCG(1, 2))) }
	chosen := func(p *routing.LeastCost, now time.Time, candidates ...routing.Candidate) map[string]int {
		counts := map[string]int{}
		for range 100 {
			counts[candidates[p.Choose(now, candidates)].Name()]++
		}
		return counts
	}

	It("prefers its own failure domain below high utilization", func() {
		p := policy()
		Expect(chosen(p, at, remote, local)).To(Equal(map[string]int{"local": 100}))
		p.UpdateLoad(at, "local", call.Load{Running: 9, Limit: 10, Slowdown: 1})
		Expect(chosen(p, at, remote, local)["remote"]).To(Equal(100))
	})

	It("prefers a loaded local upstream for large responses", func() {
		p := policy()
		p.UpdateLoad(at, "local", call.Load{Running: 9, Limit: 10, Slowdown: 1})
		long := int64(90 << 10)
		Expect(chosen(p, at, remote.WithTransferBytes(long), local.WithTransferBytes(long))["local"]).To(Equal(100))
	})

	It("weighs the bytes of a call against the load of its own failure domain", func() {
		p := routing.NewLeastCost(rand.New(rand.NewPCG(1, 2)), routing.WithTransferUnit(1000))
		Expect(p.TransferCost(500)).To(Equal(0.5))
		Expect(p.TransferCost(1<<30)).To(Equal(2.0), "a remote upstream still costs less than a failing one")
		p.UpdateLoad(at, "local", call.Load{Running: 10, Waiting: 1, Limit: 10, Slowdown: 1})
		Expect(chosen(p, at, remote, local)["remote"]).To(Equal(100))
		booking := int64(1500)
		Expect(chosen(p, at, remote.WithTransferBytes(booking), local.WithTransferBytes(booking))["local"]).To(Equal(100))
		p.UpdateLoad(at, "local", call.Load{Running: 10, Waiting: 14, Limit: 10, Slowdown: 1})
		Expect(chosen(p, at, remote.WithTransferBytes(booking), local.WithTransferBytes(booking))["remote"]).To(Equal(100))
	})

	It("prefers a warm upstream, also of another failure domain, until that is busy", func() {
		p := policy()
		p.UpdateLoad(at, "local", call.Load{Limit: 2, Slowdown: 1, Cold: true})
		Expect(chosen(p, at, local, other)["other"]).To(Equal(100))
		Expect(chosen(p, at, local, remote)["remote"]).To(Equal(100))
		p.UpdateLoad(at, "remote", call.Load{Running: 8, Limit: 10, Slowdown: 1})
		Expect(chosen(p, at, local, remote)["local"]).To(Equal(100))
	})

	It("avoids a slowed host for as long as the report is valid", func() {
		p := policy()
		p.UpdateLoad(at, "local", call.Load{Limit: 10, Slowdown: 5})
		Expect(p.Overloaded(at, "local")).To(BeTrue())
		Expect(chosen(p, at, local, other)["other"]).To(Equal(100))
		later := at.Add(200 * time.Millisecond)
		Expect(p.Overloaded(later, "local")).To(BeFalse())
		Expect(chosen(p, later, local, other)["local"]).To(BeNumerically(">", 20))
	})

	// Load that shifts between failure domains in a fleet so large that most upstreams
	// have not reported lately: without the mean of the group, a silent upstream in
	// the full domain counts as idle and is always chosen.
	It("expects of an upstream without a recent report the mean load of its group", func() {
		p := policy()
		var candidates []routing.Candidate
		for i := range 20 {
			domain := []string{"full", "idle"}[i%2]
			name := fmt.Sprintf("%s-%d", domain, i)
			candidates = append(candidates, routing.NewCandidate(name, 8, 0, domain == "idle").WithGroup(domain))
		}
		now := at
		sent := map[bool]int{}
		for range 400 {
			now = now.Add(200 * time.Millisecond)
			c := candidates[p.Choose(now, candidates)]
			load := call.Load{Running: 8, Waiting: 2, Limit: 8, Slowdown: 1}
			if c.Remote() {
				load = call.Load{Running: 2, Limit: 8, Slowdown: 1}
			}
			sent[c.Remote()]++
			p.Started(now, c.Name())
			p.Finished(now.Add(10*time.Millisecond), c.Name(), routing.Result{Outcome: call.Answered, Load: &load})
		}
		Expect(sent[true]).To(BeNumerically(">", 300))
	})

	It("forgets the mean load of a group that does not report", func() {
		p := policy()
		full := routing.NewCandidate("full-1", 8, 0, false).WithGroup("full")
		other := routing.NewCandidate("full-2", 8, 0, false).WithGroup("full")
		idle := routing.NewCandidate("idle-1", 8, 0, true).WithGroup("idle")
		p.Choose(at, []routing.Candidate{full})
		p.UpdateLoad(at, "full-1", call.Load{Running: 8, Limit: 8, Slowdown: 1})
		Expect(chosen(p, at, other, idle)["idle-1"]).To(Equal(100))
		Expect(chosen(p, at.Add(5*time.Second), other, idle)["full-2"]).To(Equal(100))
	})

	It("counts its own calls in flight", func() {
		p := policy()
		for range 5 {
			p.Started(at, "local")
		}
		Expect(chosen(p, at, local, other)["other"]).To(Equal(100))
	})

	It("avoids an upstream after a failed connection, and returns to it", func() {
		p := policy()
		p.Started(at, "local")
		p.Finished(at, "local", routing.Result{Outcome: call.Unknown, Reason: call.ReasonConnection})
		Expect(chosen(p, at, local, other)["other"]).To(Equal(100))
		Expect(chosen(p, at.Add(time.Minute), local, other)["local"]).To(BeNumerically(">", 20))
	})

	It("avoids an upstream that mostly fails", func() {
		p := policy()
		p.UpdateLoad(at, "local", call.Load{Limit: 10, Slowdown: 1, Failing: true})
		p.UpdateLoad(at, "remote", call.Load{Running: 10, Waiting: 5, Limit: 10, Slowdown: 5})
		Expect(chosen(p, at, local, remote)["remote"]).To(Equal(100))
	})
})
