package egress_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/egress"
)

var _ = Describe("the share of the slots that calls may use", func() {
	// observeRuns adds run times of two routes, spread like real work around their
	// baseline; slowdown is the factor at high utilization.
	observeRuns := func(s *egress.Saturation, slowdown float64) {
		rng := rand.New(rand.NewPCG(1, 2))
		for range 200 {
			for route, duration := range map[string]float64{"long": 0.12, "short": 0.02} {
				utilization, factor := 0.4, 1.0
				if rng.IntN(2) == 0 {
					utilization, factor = 0.95, slowdown
				}
				s.Observe(route, time.Duration(duration*factor*(0.7+0.6*rng.Float64())*float64(time.Second)), utilization)
			}
		}
	}

	It("is 1 without slowdown at high utilization", func() {
		var s egress.Saturation
		Expect(s.SlotShare()).To(Equal(1.0))
		observeRuns(&s, 1)
		Expect(s.SlotShare()).To(Equal(1.0))
	})

	It("is less than 1 when fewer slots give more throughput", func() {
		var s egress.Saturation
		observeRuns(&s, 1.7)
		Expect(s.SlotShare()).To(BeNumerically("<", 1))
	})

	It("does not compare short runs at high with long runs at low utilization", func() {
		var s egress.Saturation
		for range 100 {
			s.Observe("long", 120*time.Millisecond, 0.4)
			s.Observe("short", 20*time.Millisecond, 0.95)
		}
		Expect(s.SlotShare()).To(Equal(1.0))
	})

	It("ignores a host that slows down during some runs at high utilization", func() {
		var s egress.Saturation
		rng := rand.New(rand.NewPCG(3, 4))
		for range 200 {
			duration := 0.7 + 0.6*rng.Float64()
			s.Observe("r", time.Duration(0.1*duration*float64(time.Second)), 0.4)
			if rng.IntN(4) == 0 {
				duration *= 5
			}
			s.Observe("r", time.Duration(0.1*duration*float64(time.Second)), 0.95)
			Expect(s.SlotShare()).To(Equal(1.0))
		}
	})

	It("follows the current estimate rather than the previous one", func() {
		var s egress.Saturation
		s.SetPrevious(1.7, 500)
		Expect(s.SlotShare()).To(BeNumerically("<", 1))
		observeRuns(&s, 1)
		Expect(s.SlotShare()).To(Equal(1.0))
	})

	It("follows the estimates of the service's other upstreams", func() {
		var s egress.Saturation
		s.SetOthers(1.7, 100)
		Expect(s.SlotShare()).To(BeNumerically("<", 1))
		s.SetOthers(1.0, 100)
		Expect(s.SlotShare()).To(Equal(1.0))
	})
})
