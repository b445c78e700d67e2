package egress_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/egress"
)

var _ = Describe("the share of the slots in use", func() {
	// runs feeds run times of two routes with the spread of real work; crowd is
	// how much longer they take in a crowd.
	runs := func(k *egress.Knee, crowd float64) {
		rng := rand.New(rand.NewPCG(1, 2))
		for range 200 {
			for route, usual := range map[string]float64{"long": 0.12, "short": 0.02} {
				share, factor := 0.4, 1.0
				if rng.IntN(2) == 0 {
					share, factor = 0.95, crowd
				}
				k.Observe(route, time.Duration(usual*factor*(0.7+0.6*rng.Float64())*float64(time.Second)), share)
			}
		}
	}

	It("is all of them when a crowd costs nothing", func() {
		var k egress.Knee
		Expect(k.Share()).To(Equal(1.0))
		runs(&k, 1)
		Expect(k.Share()).To(Equal(1.0))
	})

	It("is less when runs in a crowd take so much longer that fewer do more", func() {
		var k egress.Knee
		runs(&k, 1.7)
		Expect(k.Share()).To(BeNumerically("<", 1))
	})

	It("is not deceived by a crowd of short runs and a few long ones alone", func() {
		var k egress.Knee
		for range 100 {
			k.Observe("long", 120*time.Millisecond, 0.4)
			k.Observe("short", 20*time.Millisecond, 0.95)
		}
		Expect(k.Share()).To(Equal(1.0))
	})

	It("is not deceived by a host that turned slow in the middle of some runs in a crowd", func() {
		var k egress.Knee
		rng := rand.New(rand.NewPCG(3, 4))
		for range 200 {
			usual := 0.7 + 0.6*rng.Float64()
			k.Observe("r", time.Duration(0.1*usual*float64(time.Second)), 0.4)
			if rng.IntN(4) == 0 {
				usual *= 5
			}
			k.Observe("r", time.Duration(0.1*usual*float64(time.Second)), 0.95)
			Expect(k.Share()).To(Equal(1.0))
		}
	})

	It("follows what is found now rather than what was found earlier", func() {
		var k egress.Knee
		k.Past(1.7, 500)
		Expect(k.Share()).To(BeNumerically("<", 1))
		runs(&k, 1)
		Expect(k.Share()).To(Equal(1.0))
	})

	It("follows what other upstreams of the service found", func() {
		var k egress.Knee
		k.Others(1.7, 100)
		Expect(k.Share()).To(BeNumerically("<", 1))
		k.Others(1.0, 100)
		Expect(k.Share()).To(Equal(1.0))
	})
})
