package ingress

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the time since a caller's first attempt", func() {
	start := time.UnixMilli(1_800_000_000_000)

	It("is what the timeout lacks of the usual one", func() {
		u := newUsualTimeouts()
		for range 10 {
			Expect(u.elapsed(start, "a", 3*time.Second)).To(BeZero())
		}
		Expect(u.elapsed(start, "a", 2700*time.Millisecond)).To(Equal(300 * time.Millisecond))
		Expect(u.elapsed(start, "b", 2700*time.Millisecond)).To(BeZero(), "another route")
	})

	It("is unknown while no timeout is usual, and without a timeout", func() {
		u := newUsualTimeouts()
		Expect(u.elapsed(start, "a", 3*time.Second)).To(BeZero())
		Expect(u.elapsed(start, "a", 2*time.Second)).To(BeZero())
		Expect(u.elapsed(start, "a", 0)).To(BeZero())
	})

	It("is zero for each of several usual timeouts, and counts from the next longer one", func() {
		u := newUsualTimeouts()
		for range 10 {
			u.elapsed(start, "a", 3*time.Second)
			u.elapsed(start, "a", time.Second)
		}
		Expect(u.elapsed(start, "a", time.Second)).To(BeZero())
		Expect(u.elapsed(start, "a", 900*time.Millisecond)).To(Equal(100 * time.Millisecond))
		Expect(u.elapsed(start, "a", 2*time.Second)).To(Equal(time.Second))
	})

	It("is known when most requests come back, each with a timeout of its own", func() {
		u := newUsualTimeouts()
		at := start
		for i := range 2000 {
			at = at.Add(10 * time.Millisecond)
			if i%4 == 0 {
				u.elapsed(at, "a", 3*time.Second)
			} else {
				u.elapsed(at, "a", 3*time.Second-time.Duration(i*7%400+80)*time.Millisecond)
			}
		}
		Expect(u.elapsed(at, "a", 3*time.Second)).To(BeZero())
		Expect(u.elapsed(at, "a", 2500*time.Millisecond)).To(Equal(500 * time.Millisecond))
		Expect(len(u.routes["a"].current.byTimeout)).To(BeNumerically("<=", maxTimeouts))
	})

	It("follows callers that change their timeout", func() {
		u := newUsualTimeouts()
		at := start
		for i := range 300 {
			at = at.Add(100 * time.Millisecond)
			timeout := 3 * time.Second
			if i >= 50 {
				timeout = 2 * time.Second
			}
			u.elapsed(at, "a", timeout)
		}
		Expect(u.elapsed(at, "a", 2*time.Second)).To(BeZero())
		Expect(u.elapsed(at, "a", 1900*time.Millisecond)).To(Equal(100 * time.Millisecond))
	})
})
