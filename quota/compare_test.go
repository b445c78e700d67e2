package quota_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// shares is the other way to keep a quota: each host has a share of each organisation's
// rate, burst and tolerance, equal ones or those that follow the demand that hosts tell each
// other with their beacons.
type shares struct {
	s        *simulation
	byDemand bool
	levels   map[string][]float64
	updated  map[string][]time.Time
	// asked counts the requests since the latest beacons, and told is what was told then.
	asked, told map[string][]float64
	latest      time.Time
}

func newShares(s *simulation, byDemand bool) *shares {
	h := &shares{s: s, byDemand: byDemand, levels: map[string][]float64{}, updated: map[string][]time.Time{}, asked: map[string][]float64{}, told: map[string][]float64{}, latest: s.now}
	for _, o := range s.orgs {
		h.levels[o.name], h.updated[o.name] = make([]float64, len(s.hosts)), make([]time.Time, len(s.hosts))
		h.asked[o.name], h.told[o.name] = make([]float64, len(s.hosts)), make([]float64, len(s.hosts))
		for i := range s.hosts {
			h.updated[o.name][i] = s.now
		}
	}
	return h
}

// share returns a host's part of an organisation's quota. Of the demand of hosts that are
// cut off, a host knows the latest that it heard.
func (h *shares) share(host int, o *simOrg) float64 {
	if !h.byDemand {
		return 1 / float64(len(h.s.hosts))
	}
	// Each host counts for a little, so that a first request finds a share.
	const floor = 0.01
	total := 0.0
	for _, demand := range h.told[o.name] {
		total += demand + floor
	}
	return (h.told[o.name][host] + floor) / total
}

func (h *shares) admit(host int, o *simOrg) bool {
	s := h.s
	if s.now.Sub(h.latest) >= simGossip {
		h.latest = s.now
		for name, asked := range h.asked {
			copy(h.told[name], asked)
			clear(asked)
		}
	}
	h.asked[o.name][host]++
	share := h.share(host, o)
	tolerance := s.bounds.Allowed(o.limit) - o.limit.Rate*s.bounds.Window.Seconds() - o.limit.Burst
	level := &h.levels[o.name][host]
	*level = min(*level+share*o.limit.Rate*s.now.Sub(h.updated[o.name][host]).Seconds(), max(1, share*(o.limit.Burst+tolerance)))
	h.updated[o.name][host] = s.now
	// A share below one request is spent in advance as often as it is earned.
	need := 1.0
	if *level < 1 {
		need = s.rng.Float64()
	}
	if *level < need {
		return false
	}
	*level--
	return true
}

var _ = Describe("the ways to keep a quota", func() {
	// play returns the refused share in calm, with callers on a few hosts that move, and
	// the greatest excess with three organisations at seven times their usual.
	play := func(what string, byDemand, byOwner bool) (calm, moving, excess float64) {
		start := func() *simulation {
			s := newSimulation(seed)
			if !byOwner {
				s.admit = newShares(s, byDemand).admit
			}
			s.run(6*time.Second, nil)
			s.reset()
			return s
		}
		s := start()
		s.run(10*time.Second, nil)
		calm, messages := s.refusedShare(), s.messages
		s = start()
		s.run(15*time.Second, func() {
			if s.due(5 * time.Second) {
				for _, o := range s.orgs[10:] {
					o.homes = []int{s.rng.IntN(80), s.rng.IntN(80)}
				}
			}
		})
		moving = s.refusedShare()
		s = start()
		for _, i := range []int{0, 3, 30} {
			s.orgs[i].factor = 7
		}
		s.run(10*time.Second, nil)
		excess = s.worstExcess()
		GinkgoWriter.Printf("%s: refused %.4f in calm, %.4f with moving callers; excess %.1f; %.2f messages a request\n",
			what, calm, moving, excess, float64(messages)/8400)
		return calm, moving, excess
	}

	It("refuses less below the limit with an owner than with shares", func() {
		calm, moving, excess := play("owner", false, true)
		Expect(excess).To(BeZero())
		equalCalm, equalMoving, _ := play("equal shares", false, false)
		demandCalm, demandMoving, _ := play("shares by demand", true, false)
		Expect(calm).To(BeNumerically("<", min(equalCalm, demandCalm)))
		Expect(moving).To(BeNumerically("<", min(equalMoving, demandMoving)))
	})
})
