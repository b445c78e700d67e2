package routing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/routing"
)

func TestRouting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routing")
}

var start = time.UnixMilli(1_800_000_000_000)

const link = 8 * time.Millisecond

func candidates() []routing.Candidate {
	return []routing.Candidate{
		routing.NewCandidate("near-1", 16, 0, false),
		routing.NewCandidate("near-2", 16, 0, false),
		routing.NewCandidate("far-1", 16, link, true),
	}
}

// shares runs 400 calls, one a millisecond, each of which ends as result says,
// and returns how often each candidate was chosen in the last 200.
func shares(policy routing.Policy, result func(name string) routing.Result) map[string]int {
	type ending struct {
		at     time.Time
		name   string
		result routing.Result
	}
	var open []ending
	chosen := map[string]int{}
	for i := range 400 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		var still []ending
		for _, e := range open {
			if e.at.After(now) {
				still = append(still, e)
				continue
			}
			policy.Finished(e.at, e.name, e.result)
		}
		open = still
		name := candidates()[policy.Choose(now, candidates())].Name()
		policy.Started(now, name)
		r := result(name)
		open = append(open, ending{at: now.Add(r.Elapsed), name: name, result: r})
		if i >= 200 {
			chosen[name]++
		}
	}
	return chosen
}

func answered(elapsed time.Duration, running uint32) routing.Result {
	return routing.Result{
		Elapsed: elapsed, Outcome: call.Answered,
		Load: &call.Load{Running: running, Limit: 16, ServiceTime: elapsed},
	}
}

func estimating() routing.Policy { return routing.NewLeastLatency(rand.New(rand.NewPCG(1, 1))) }

var _ = Describe("the estimating policy", func() {
	It("stays in its failure domain while that is as fast", func() {
		chosen := shares(estimating(), func(name string) routing.Result {
			if name == "far-1" {
				return answered(20*time.Millisecond+link, 2)
			}
			return answered(20*time.Millisecond, 2)
		})
		Expect(chosen["far-1"]).To(BeNumerically("<", 20))
	})

	It("leaves it when it is slower even after the link's cost", func() {
		chosen := shares(estimating(), func(name string) routing.Result {
			if name == "far-1" {
				return answered(20*time.Millisecond+link, 2)
			}
			return answered(80*time.Millisecond, 15)
		})
		Expect(chosen["far-1"]).To(BeNumerically(">", 120))
	})

	It("is not attracted by a server that rejects everything quickly", func() {
		chosen := shares(estimating(), func(name string) routing.Result {
			if name == "near-1" {
				return routing.Result{Elapsed: time.Millisecond, Outcome: call.Answered, ServerError: true, Load: &call.Load{Limit: 16}}
			}
			return answered(20*time.Millisecond, 4)
		})
		Expect(chosen["near-1"]).To(BeNumerically("<", 10))
	})

	It("sees a stalled server before its first answer", func() {
		policy := estimating()
		chosen := shares(policy, func(name string) routing.Result {
			if name == "near-1" {
				return answered(time.Hour, 0)
			}
			return answered(20*time.Millisecond, 4)
		})
		Expect(chosen["near-1"]).To(BeNumerically("<", 10))
	})

	It("does not run to a server it knows nothing of", func() {
		policy := estimating()
		shares(policy, func(string) routing.Result { return answered(40*time.Millisecond, 4) })
		now := start.Add(400 * time.Millisecond)
		all := append(candidates()[:2], routing.NewCandidate("new-1", 16, 0, false))
		chosen := 0
		for range 60 {
			at := policy.Choose(now, all)
			policy.Started(now, all[at].Name())
			if all[at].Name() == "new-1" {
				chosen++
			}
		}
		Expect(chosen).To(BeNumerically("<", 40))
	})

	It("tries a failed server again after a while", func() {
		policy := estimating()
		shares(policy, func(name string) routing.Result {
			if name == "near-1" {
				return routing.Result{Elapsed: time.Millisecond, Outcome: call.Unknown, Reason: call.ReasonConnection}
			}
			return answered(20*time.Millisecond, 4)
		})
		later := start.Add(20 * time.Second)
		tried := 0
		for range 100 {
			if candidates()[policy.Choose(later, candidates())].Name() == "near-1" {
				tried++
			}
		}
		Expect(tried).To(BeNumerically(">", 0))
	})
})

var _ = Describe("the participation policy", func() {
	It("ends in round-robin order without reports, as lbnamed does", func() {
		chosen := shares(routing.NewParticipation(rand.New(rand.NewPCG(1, 1))), func(string) routing.Result {
			return routing.Result{Elapsed: time.Millisecond, Outcome: call.Answered}
		})
		for _, count := range chosen {
			Expect(count).To(BeNumerically("~", 67, 2))
		}
	})
})

func BenchmarkEstimating(b *testing.B) {
	policy := estimating()
	all := candidates()
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		name := all[policy.Choose(now, all)].Name()
		policy.Started(now, name)
		policy.Finished(now.Add(20*time.Millisecond), name, answered(20*time.Millisecond, 4))
	}
}
