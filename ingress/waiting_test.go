package ingress

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/clock"
	"github.com/banyancross/banyancross/route"
)

var _ = Describe("a request that cannot be in time", func() {
	// tooLate asks for a route whose runs take 2 s.
	tooLate := func(objective time.Duration) bool {
		in := &Ingress{clock: clock.System{}, meanTimes: map[string]time.Duration{}, meanSizes: map[string]int64{}}
		in.recordSuccess("r", 2*time.Second, 0)
		now := in.clock.Now()
		s := &session{in: in, received: now, route: &route.Route{Name: "r", Objective: objective}}
		return s.tooLate(now)
	}

	It("is one whose run takes longer than the objective leaves", func() {
		Expect(tooLate(time.Second)).To(BeTrue())
		Expect(tooLate(3 * time.Second)).To(BeFalse())
	})

	It("is none on a route without an objective", func() {
		Expect(tooLate(0)).To(BeFalse())
	})
})
