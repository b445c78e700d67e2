package warmup_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/warmup"
)

// replay is a service whose upstreams turn cold, with one limiter beside each. It moves in
// steps of a millisecond.
type replay struct {
	rng       *rand.Rand
	upstreams []*replayed
}

// replayed is an upstream and the node beside it.
type replayed struct {
	limiter    *warmup.Limiter
	coldFrom   time.Time
	coldUntil  time.Time
	probeAsked time.Time
	probeEnds  time.Time
	// sent and arrived hold the times of the requests since the upstream is cold.
	sent, arrived []time.Time
	total         int
}

func newReplay(upstreams int) *replay {
	r := &replay{rng: rand.New(rand.NewPCG(36, 2))}
	for range upstreams {
		r.upstreams = append(r.upstreams, &replayed{limiter: warmup.NewLimiter(start.Add(-time.Minute))})
	}
	return r
}

const (
	// probeTime is how long a probe takes, and probeGap the least pause between two.
	probeTime = 10 * time.Millisecond
	probeGap  = 25 * time.Millisecond
	// maxDelay is the longest delay of a request on its way to the upstream.
	maxDelay = 30 * time.Millisecond
)

// turnCold lets an upstream be cold for a time, without a word.
func (u *replayed) turnCold(now time.Time, left time.Duration) {
	u.coldFrom, u.coldUntil, u.sent, u.arrived = now, now.Add(left), nil, nil
}

// step offers calls to an upstream and runs its probes.
func (r *replay) step(u *replayed, now time.Time, calls int) {
	if !u.probeEnds.IsZero() && !now.Before(u.probeEnds) {
		u.probeEnds = time.Time{}
		u.limiter.Report(now, u.probeAsked, max(0, u.coldUntil.Sub(now)))
	}
	for range calls {
		if !u.limiter.Take(now, bounds) {
			continue
		}
		u.total++
		arrived := now.Add(time.Duration(r.rng.Int64N(int64(maxDelay))))
		if now.Before(u.coldFrom) || !arrived.Before(u.coldUntil) {
			continue
		}
		u.sent, u.arrived = append(u.sent, now), append(u.arrived, arrived)
		Expect(u.largestSecond()).To(BeNumerically("<=", bounds.Rate*bounds.Overage+bounds.Slack), "at %v", now.Sub(start))
	}
	if u.probeEnds.IsZero() && now.Sub(u.probeAsked) >= probeGap && calls > 0 && u.limiter.ReportDue(now, bounds) {
		u.probeAsked, u.probeEnds = now, now.Add(probeTime)
	}
}

// largestSecond returns the number of requests that were sent and arrived in a second
// that ends with the last arrival among the latest sends.
func (u *replayed) largestSecond() int {
	last := u.sent[len(u.sent)-1]
	for _, arrived := range u.arrived[max(0, len(u.arrived)-int(bounds.Rate*bounds.Overage+bounds.Slack)-1):] {
		if arrived.After(last) {
			last = arrived
		}
	}
	count := 0
	for i, sent := range u.sent {
		if !sent.Before(last.Add(-time.Second)) && !u.arrived[i].After(last) {
			count++
		}
	}
	return count
}

var _ = Describe("the replay of", func() {
	It("a failure domain that returns cold at once under a herd", func() {
		r := newReplay(7)
		for _, u := range r.upstreams {
			u.turnCold(at(0), 4*time.Second)
		}
		// 20 entry nodes, each with 50 calls a second.
		for ms := range 6000 {
			r.step(r.upstreams[r.rng.IntN(7)], at(ms), 1)
		}
		for _, u := range r.upstreams {
			Expect(u.total).To(BeNumerically(">=", 4*18), "its rate is used")
			Expect(u.limiter.Cold(at(6000))).To(BeFalse())
		}
	})

	It("an upstream at 60 calls a second that turns cold at any moment", func() {
		r := newReplay(1)
		u := r.upstreams[0]
		for ms := range 60_000 {
			if ms%7_301 == 2_900 {
				u.turnCold(at(ms), 2*time.Second)
			}
			calls := 0
			if r.rng.IntN(1000) < 60 {
				calls = 1
			}
			r.step(u, at(ms), calls)
		}
		Expect(u.total).To(BeNumerically(">", 2000))
	})

	It("an idle upstream that turns cold before a burst", func() {
		r := newReplay(1)
		u := r.upstreams[0]
		r.step(u, at(0), 1)
		r.step(u, at(20), 0)
		u.turnCold(at(5_000), 3*time.Second)
		for ms := 5_000; ms < 9_000; ms++ {
			r.step(u, at(ms), 2)
		}
		Expect(u.total).To(BeNumerically(">", 3*18))
	})

	It("a node that restarts in the middle of a herd", func() {
		r := newReplay(1)
		u := r.upstreams[0]
		u.turnCold(at(0), 20*time.Second)
		for ms := range 20_000 {
			if ms%2_777 == 1_500 {
				u.limiter, u.probeEnds = warmup.NewLimiter(at(ms)), time.Time{}
			}
			r.step(u, at(ms), 1)
		}
		Expect(u.total).To(BeNumerically(">", 7*18))
	})

	It("an upstream whose probes are all lost", func() {
		r := newReplay(1)
		u := r.upstreams[0]
		u.limiter.Report(at(0), at(0), 0)
		u.turnCold(at(1), time.Minute)
		for ms := range 3_000 {
			u.probeEnds = time.Time{}
			r.step(u, at(ms), 1)
		}
		Expect(u.total).To(BeNumerically(">", 2*18))
	})
})
