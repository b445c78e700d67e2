package admission

import "time"

const (
	// slowdownTolerance is the ratio of service time to baseline above which the
	// limit decreases.
	slowdownTolerance = 3.0
	// minServiceTimeIncrease is the least increase over the baseline that lowers
	// the limit: smaller ones come from the host's scheduler, not from the
	// upstream.
	minServiceTimeIncrease = 5 * time.Millisecond
	// decreaseFactor multiplies the limit at each decrease.
	decreaseFactor = 0.9
	// minLimitShare is the lower bound of the limit as a share of the slots.
	minLimitShare = 0.25
	// baselineWeight is the weight of a sample in the baseline.
	baselineWeight = 0.002
)

// limiter adapts the concurrency limit to the service time by additive increase
// and multiplicative decrease.
type limiter struct {
	// fixed keeps the limit at the number of slots.
	fixed       bool
	slots       float64
	limit       float64
	serviceTime time.Duration
	baseline    time.Duration
	decreasedAt time.Time
}

func newLimiter(slots int) limiter {
	return limiter{slots: float64(slots), limit: float64(slots)}
}

// observe updates the averages and the limit with the service time of an
// answered call.
func (l *limiter) observe(now time.Time, sample time.Duration, running int) {
	if l.serviceTime == 0 {
		l.serviceTime = sample
		l.baseline = sample
		return
	}
	l.serviceTime += time.Duration(serviceTimeWeight * float64(sample-l.serviceTime))
	l.baseline += time.Duration(baselineWeight * float64(sample-l.baseline))
	if l.serviceTime < l.baseline {
		l.baseline += time.Duration(serviceTimeWeight * float64(l.serviceTime-l.baseline))
	}
	if l.fixed || !l.slow() {
		l.limit = min(l.slots, l.limit+1/l.limit)
		return
	}
	// A decrease shows in the service times only after one service time, so the
	// next one waits that long.
	if now.Sub(l.decreasedAt) < l.serviceTime || float64(running) < l.limit/2 {
		return
	}
	l.limit = max(l.slots*minLimitShare, l.limit*decreaseFactor)
	l.decreasedAt = now
}

// slow reports whether the service time is well above its baseline.
func (l *limiter) slow() bool {
	return float64(l.serviceTime) > slowdownTolerance*float64(l.baseline) && l.serviceTime-l.baseline > minServiceTimeIncrease
}
