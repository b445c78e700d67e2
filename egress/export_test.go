package egress

import "time"

// Knee is knee for tests.
type Knee struct{ k saturation }

// Observe is observe for tests.
func (k *Knee) Observe(route string, took time.Duration, share float64) {
	k.k.observe(route, took, share)
}

// Others sets what other upstreams found.
func (k *Knee) Others(ratio, weight float64) {
	k.k.others = SaturationEstimate{Slowdown: ratio, Samples: weight}
}

// Past sets what was found earlier.
func (k *Knee) Past(ratio, weight float64) {
	k.k.previous = SaturationEstimate{Slowdown: ratio, Samples: weight}
}

// Share is share for tests.
func (k *Knee) Share() float64 { return k.k.slotShare() }

// TimedRuns returns how many runs of a route were timed.
func (g *Gate) TimedRuns(route string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.runTimes[route]; m != nil {
		return int(m.count)
	}
	return 0
}
