package retry

import (
	"sync"
	"time"
)

const (
	// hedgeWeight is the weight of a sample in the mean and the deviation.
	hedgeWeight = 0.05
	// hedgeDeviations is the delay above the mean, in mean deviations.
	hedgeDeviations = 5
	// minHedgeSamples is the number of samples needed before hedging.
	minHedgeSamples = 20
	// minHedgeDelay avoids useless hedges for services with very low latency.
	minHedgeDelay = 2 * time.Millisecond
)

// HedgeEstimator estimates the delay after which an unanswered idempotent call is
// sent to a second upstream, following "The Tail at Scale" (Dean and Barroso,
// 2013). The estimator is that of TCP's retransmission timeout (RFC 6298).
type HedgeEstimator struct {
	mu        sync.Mutex
	mean      float64
	deviation float64
	samples   int
}

// Observe adds a sample: the time from a call's start to its response header.
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

// Delay returns the hedge delay; ok is false below minHedgeSamples samples.
func (h *HedgeEstimator) Delay() (delay time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.samples < minHedgeSamples {
		return 0, false
	}
	delay = time.Duration(h.mean + hedgeDeviations*h.deviation)
	return max(delay, minHedgeDelay), true
}
