package retry

import (
	"sync"
	"time"
)

const (
	// hedgeWeight is the weight of a new sample in the averages.
	hedgeWeight = 0.05
	// hedgeDeviations is how many mean deviations above the mean an attempt
	// may take before another is sent.
	hedgeDeviations = 5
	// minHedgeSamples is how many samples are needed before hedging.
	minHedgeSamples = 20
	// minHedgeDelay keeps very fast services from being hedged for nothing.
	minHedgeDelay = 2 * time.Millisecond
)

// HedgeEstimator tells after what time an idempotent call without an answer is sent to a
// second upstream, following "The Tail at Scale" (Dean and Barroso, 2013). The
// delay is estimated as TCP estimates its timeout (RFC 6298).
type HedgeEstimator struct {
	mu        sync.Mutex
	mean      float64
	deviation float64
	samples   int
}

// Observe takes the time that a call took to its answer's head.
func (h *HedgeEstimator) Observe(elapsed time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	sample := float64(elapsed)
	h.samples++
	if h.samples == 1 {
		h.mean = sample
		h.deviation = sample / 2
		return
	}
	difference := sample - h.mean
	h.mean += hedgeWeight * difference
	if difference < 0 {
		difference = -difference
	}
	h.deviation += hedgeWeight * (difference - h.deviation)
}

// Delay returns the time to wait; ok is false while too little is known.
func (h *HedgeEstimator) Delay() (delay time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.samples < minHedgeSamples {
		return 0, false
	}
	delay = time.Duration(h.mean + hedgeDeviations*h.deviation)
	return max(delay, minHedgeDelay), true
}
