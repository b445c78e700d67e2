package ingress

import (
	"fmt"
	"math/rand/v2"
	"testing"
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

	It("is kept for a bounded number of routes", func() {
		u := newUsualTimeouts()
		for i := range 2 * maxLearnedRoutes {
			u.elapsed(start, fmt.Sprint(i), 3*time.Second)
			Expect(len(u.routes)).To(BeNumerically("<=", maxLearnedRoutes))
		}
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

// elapsedBySearch returns what elapsed does, by a search of all counted timeouts after
// the timeout was counted.
func elapsedBySearch(c *timeoutCounts, timeout time.Duration) time.Duration {
	if c.usual(timeout) {
		return 0
	}
	next := time.Duration(0)
	for _, counted := range []map[time.Duration]int{c.current.byTimeout, c.previous.byTimeout} {
		for other := range counted {
			if other > timeout && (next == 0 || other < next) && c.usual(other) {
				next = other
			}
		}
	}
	return max(0, next-timeout)
}

var _ = Describe("the search for the next longer usual timeout", func() {
	It("finds what a search of all counted timeouts finds", func() {
		rng := rand.New(rand.NewPCG(1, 1))
		u := newUsualTimeouts()
		at := time.UnixMilli(1_800_000_000_000)
		found := 0
		for i := range 20_000 {
			at = at.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
			if rng.IntN(4000) == 0 {
				at = at.Add(timeoutWindow)
			}
			// The usual timeouts change, and others are rare or of one caller.
			timeout := time.Duration(1+(rng.IntN(6)+i/4000)%8) * 500 * time.Millisecond
			if rng.IntN(3) > 0 {
				timeout -= time.Duration(rng.IntN(400)) * time.Millisecond
			}
			elapsed := u.elapsed(at, "a", timeout)
			Expect(elapsed).To(Equal(elapsedBySearch(u.routes["a"], timeout)))
			if elapsed > 0 {
				found++
			}
		}
		Expect(found).To(BeNumerically(">", 1000))
	})
})

func BenchmarkElapsedOfCallersThatComeBack(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	u := newUsualTimeouts()
	at := time.UnixMilli(1_800_000_000_000)
	for i := 0; b.Loop(); i++ {
		at = at.Add(10 * time.Millisecond)
		timeout := 3 * time.Second
		if i%4 != 0 {
			timeout -= time.Duration(80+rng.IntN(400)) * time.Millisecond
		}
		u.elapsed(at, "a", timeout)
	}
}
