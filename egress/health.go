package egress

import "time"

const (
	// probeInterval is the pause between probes of an upstream in use. It is well
	// within the operators' budget of probes per second, and a third of the
	// time in which neighbours' work changes.
	probeInterval = 50 * time.Millisecond
	// idleProbeInterval is the pause between looks at whether the upstream is in
	// use, or new.
	idleProbeInterval = 100 * time.Millisecond
	// inUseWindow is how long after a call the upstream counts as being in use.
	inUseWindow = 300 * time.Millisecond
	// probeSkipAge is the age of a report that spares a probe.
	probeSkipAge = 40 * time.Millisecond
	// probeTimeout bounds a probe.
	probeTimeout = 500 * time.Millisecond
	// maxHealthBody bounds what is read of a health check's body, in bytes.
	maxHealthBody = 4 << 10
	// outcomeWindow is how many recent answers tell whether an upstream fails.
	outcomeWindow = 16
	// minOutcomes is the least number of them that says anything.
	minOutcomes = 4
	// outcomeMaxAge is how long an answer counts.
	outcomeMaxAge = 3 * time.Second
	// sampleEvery is one in how many selective calls a failing upstream still
	// gets, so that its recovery is seen.
	sampleEvery = 8
)

// health is what the gate has seen of the upstream.
type health struct {
	slowdown   float64
	reportedAt time.Time
	lastInUse  time.Time
	recent     [outcomeWindow]struct {
		at     time.Time
		failed bool
	}
	next           int
	selectiveCalls int
}

// recordSlowdown takes the speed of the host.
func (h *health) recordSlowdown(now time.Time, slowdown float64) {
	h.slowdown, h.reportedAt = slowdown, now
}

// slowdownAt returns the slowdown, 1 when the report is old.
func (h *health) slowdownAt(now time.Time) float64 {
	if h.slowdown == 0 || now.Sub(h.reportedAt) > slowdownMaxAge {
		return 1
	}
	return h.slowdown
}

// recordOutcome takes whether a call failed.
func (h *health) recordOutcome(now time.Time, failed bool) {
	h.recent[h.next].at, h.recent[h.next].failed = now, failed
	h.next = (h.next + 1) % outcomeWindow
}

// failing tells whether most recent calls failed.
func (h *health) failing(now time.Time) bool {
	total, failed := 0, 0
	for _, r := range h.recent {
		if r.at.IsZero() || now.Sub(r.at) > outcomeMaxAge {
			continue
		}
		total++
		if r.failed {
			failed++
		}
	}
	return total >= minOutcomes && 2*failed > total
}

// admitSample tells whether the next call may test a failing upstream.
func (h *health) admitSample() bool {
	h.selectiveCalls++
	return h.selectiveCalls%sampleEvery == 0
}

// probeLoop probes the upstream for the speed of its host.
func (g *Gate) probeLoop() error {
	pause := idleProbeInterval
	for {
		select {
		case <-g.tomb.Dying():
			return nil
		case <-g.clock.After(pause):
		}
		now := g.clock.Now()
		g.mu.Lock()
		if g.admission != nil && g.admission.Load(now).Running > 0 {
			g.health.lastInUse = now
		}
		inUse := now.Sub(g.health.lastInUse) < inUseWindow
		recentReport := now.Sub(g.health.reportedAt) < probeSkipAge
		present := g.upstream.instance != "" && !g.upstream.leaving && !g.upstream.unreachable && !g.stopping
		unconfirmed := !g.upstream.confirmed
		g.mu.Unlock()
		pause = probeInterval
		if !inUse && !unconfirmed {
			pause = idleProbeInterval
		}
		if present && (unconfirmed || inUse && !recentReport) {
			g.probe()
		}
	}
}
