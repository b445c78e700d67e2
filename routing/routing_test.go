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

const rtt = 8 * time.Millisecond

func candidates() []routing.Candidate {
	return []routing.Candidate{
		routing.NewCandidate("local-1", 16, 0, false),
		routing.NewCandidate("local-2", 16, 0, false),
		routing.NewCandidate("remote-1", 16, rtt, true),
	}
}

// shares starts 400 calls, one per millisecond, that end with the given result,
// and returns how many of the last 200 each candidate received.
func shares(policy routing.Policy, result func(name string) routing.Result) map[string]int {
	type completion struct {
		at     time.Time
		name   string
		result routing.Result
	}
	var inFlight []completion
	chosen := map[string]int{}
	for i := range 400 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		var remaining []completion
		for _, e := range inFlight {
			if e.at.After(now) {
				remaining = append(remaining, e)
				continue
			}
			policy.Finished(e.at, e.name, e.result)
		}
		inFlight = remaining
		name := candidates()[policy.Choose(now, candidates())].Name()
		policy.Started(now, name)
		r := result(name)
		inFlight = append(inFlight, completion{at: now.Add(r.Elapsed), name: name, result: r})
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

func leastLatency() routing.Policy { return routing.NewLeastLatency(rand.New(rand.NewPCG(1, 1))) }

var _ = Describe("the least latency policy", func() {
	It("stays in its failure domain while that is equally fast", func() {
		chosen := shares(leastLatency(), func(name string) routing.Result {
			if name == "remote-1" {
				return answered(20*time.Millisecond+rtt, 2)
			}
			return answered(20*time.Millisecond, 2)
		})
		Expect(chosen["remote-1"]).To(BeNumerically("<", 20))
	})

	It("leaves its failure domain when that is slower by more than the round trip", func() {
		chosen := shares(leastLatency(), func(name string) routing.Result {
			if name == "remote-1" {
				return answered(20*time.Millisecond+rtt, 2)
			}
			return answered(80*time.Millisecond, 15)
		})
		Expect(chosen["remote-1"]).To(BeNumerically(">", 120))
	})

	It("is not attracted by a server that rejects everything quickly", func() {
		chosen := shares(leastLatency(), func(name string) routing.Result {
			if name == "local-1" {
				return routing.Result{Elapsed: time.Millisecond, Outcome: call.Answered, ServerError: true, Load: &call.Load{Limit: 16}}
			}
			return answered(20*time.Millisecond, 4)
		})
		Expect(chosen["local-1"]).To(BeNumerically("<", 10))
	})

	It("avoids a stalled server before its first answer", func() {
		policy := leastLatency()
		chosen := shares(policy, func(name string) routing.Result {
			if name == "local-1" {
				return answered(time.Hour, 0)
			}
			return answered(20*time.Millisecond, 4)
		})
		Expect(chosen["local-1"]).To(BeNumerically("<", 10))
	})

	It("does not send most calls to a server without observations", func() {
		policy := leastLatency()
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

	It("tries a failed server again after 20 seconds", func() {
		policy := leastLatency()
		shares(policy, func(name string) routing.Result {
			if name == "local-1" {
				return routing.Result{Elapsed: time.Millisecond, Outcome: call.Unknown, Reason: call.ReasonConnection}
			}
			return answered(20*time.Millisecond, 4)
		})
		later := start.Add(20 * time.Second)
		tried := 0
		for range 100 {
			if candidates()[policy.Choose(later, candidates())].Name() == "local-1" {
				tried++
			}
		}
		Expect(tried).To(BeNumerically(">", 0))
	})
})

var _ = Describe("the participation policy", func() {
	It("converges to round-robin order without reports, as lbnamed does", func() {
		chosen := shares(routing.NewParticipation(rand.New(rand.NewPCG(1, 1))), func(string) routing.Result {
			return routing.Result{Elapsed: time.Millisecond, Outcome: call.Answered}
		})
		for _, count := range chosen {
			Expect(count).To(BeNumerically("~", 67, 2))
		}
	})
})

func BenchmarkLeastLatency(b *testing.B) {
	policy := leastLatency()
	all := candidates()
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		name := all[policy.Choose(now, all)].Name()
		policy.Started(now, name)
		policy.Finished(now.Add(20*time.Millisecond), name, answered(20*time.Millisecond, 4))
	}
}
