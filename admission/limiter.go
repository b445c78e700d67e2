package admission

import "time"

const (
	// tolerance is how much slower than its baseline an upstream may be
	// before the limit falls.
	tolerance = 3.0
	// minSlowing is the least slowing that lowers the limit: below it the
	// scheduler of the host is measured, and not the upstream.
	minSlowing = 5 * time.Millisecond
	// backOff is the factor by which the limit falls.
	backOff = 0.9
	// floorShare is the share of the slots below which the limit never falls.
	floorShare = 0.25
	// baselineWeight is the weight of a new sample in the slow average.
	baselineWeight = 0.002
)

// limiter adapts the number of calls that may run to the service time, in the
// manner of additive increase and multiplicative decrease.
type limiter struct {
	// fixed keeps the limit at the slots.
	fixed    bool
	slots    float64
	limit    float64
	service  time.Duration
	baseline time.Duration
	reduced  time.Time
}

func newLimiter(slots int) limiter {
	return limiter{slots: float64(slots), limit: float64(slots)}
}

// observe takes the service time of a call that was answered.
func (l *limiter) observe(now time.Time, sample time.Duration, running int) {
	if l.service == 0 {
		l.service = sample
		l.baseline = sample
		return
	}
	l.service += time.Duration(serviceWeight * float64(sample-l.service))
	l.baseline += time.Duration(baselineWeight * float64(sample-l.baseline))
	if l.service < l.baseline {
		l.baseline += time.Duration(serviceWeight * float64(l.service-l.baseline))
	}
	if l.fixed || !l.slow() {
		l.limit = min(l.slots, l.limit+1/l.limit)
		return
	}
	// One reduction per service time, since its effect shows only after that.
	if now.Sub(l.reduced) < l.service || float64(running) < l.limit/2 {
		return
	}
	l.limit = max(l.slots*floorShare, l.limit*backOff)
	l.reduced = now
}

// slow tells whether the upstream is much slower than it usually is.
func (l *limiter) slow() bool {
	return float64(l.service) > tolerance*float64(l.baseline) && l.service-l.baseline > minSlowing
}
