package egress

import "time"

const (
	// probeInterval is the interval between probes of an upstream in use. It stays
	// within the operators' limit of probes per second, and is a third of the time
	// in which the load of other work on a shared host changes.
	probeInterval = 50 * time.Millisecond
	// idleProbeInterval is the interval between checks whether the upstream is in
	// use or unconfirmed.
	idleProbeInterval = 100 * time.Millisecond
	// inUseWindow is how long after a call the upstream counts as in use.
	inUseWindow = 300 * time.Millisecond
	// probeSkipAge is the age up to which a slowdown report makes a probe
	// unnecessary.
	probeSkipAge = 40 * time.Millisecond
	// probeTimeout bounds the duration of a probe.
	probeTimeout = 500 * time.Millisecond
	// maxHealthBody is how much of a health check's body is read, in bytes.
	maxHealthBody = 4 << 10
	// outcomeWindow is the number of latest outcomes that decide whether an
	// upstream is failing.
	outcomeWindow = 16
	// minOutcomes is the least number of outcomes that decide it.
	minOutcomes = 4
	// outcomeMaxAge is the age from which an outcome is ignored.
	outcomeMaxAge = 3 * time.Second
	// sampleEvery is the number of declinable calls of which a failing upstream
	// admits one, so that its recovery is detected.
	sampleEvery = 8
)

// health holds the slowdown reports and the outcomes of an upstream.
type health struct {
	slowdown       float64
	reportedAt     time.Time
	lastInUse      time.Time
	recentOutcomes [outcomeWindow]struct {
		at     time.Time
		failed bool
	}
	next            int
	declinableCalls int
}

// recordSlowdown records the slowdown that the upstream reports.
func (h *health) recordSlowdown(now time.Time, slowdown float64) {
	h.slowdown, h.reportedAt = slowdown, now
}

// slowdownAt returns the reported slowdown, 1 without a report younger than
// slowdownMaxAge.
func (h *health) slowdownAt(now time.Time) float64 {
	if h.slowdown == 0 || now.Sub(h.reportedAt) > slowdownMaxAge {
		return 1
	}
	return h.slowdown
}

// recordOutcome records whether a call failed.
func (h *health) recordOutcome(now time.Time, failed bool) {
	h.recentOutcomes[h.next].at, h.recentOutcomes[h.next].failed = now, failed
	h.next = (h.next + 1) % outcomeWindow
}

// failing reports whether more than half of the recent calls failed.
func (h *health) failing(now time.Time) bool {
	total, failed := 0, 0
	for _, r := range h.recentOutcomes {
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

// admitSample counts a declinable call to a failing upstream and reports whether to
// admit it.
func (h *health) admitSample() bool {
	h.declinableCalls++
	return h.declinableCalls%sampleEvery == 0
}

// probeLoop probes the upstream while it is in use or unconfirmed.
func (g *Gate) probeLoop() error {
	interval := idleProbeInterval
	reportRequested := false
	for {
		select {
		case <-g.tomb.Dying():
			return nil
		case <-g.clock.After(interval):
		case <-g.warmup.probeDue:
			reportRequested = true
		}
		now := g.clock.Now()
		g.mu.Lock()
		if g.admission != nil && g.admission.Load(now).Running > 0 {
			g.health.lastInUse = now
		}
		inUse := now.Sub(g.health.lastInUse) < inUseWindow
		recentReport := now.Sub(g.health.reportedAt) < probeSkipAge
		present := g.upstream.instance != "" && !g.upstream.leaving && !g.upstream.unreachable && !g.stopping
		unconfirmed := !g.confirmed() || g.upstream.check != checkPassed && g.mayBeLate(now)
		warmupGap := g.warmup.probedAt.Add(minProbeGap).Sub(now)
		bounds := g.warmupBounds(g.upstream.service)
		reportDue := bounds.Limited() && (inUse || reportRequested) && g.warmup.limiter.ReportDue(now, bounds)
		g.mu.Unlock()
		interval = probeInterval
		if !inUse && !unconfirmed {
			interval = idleProbeInterval
		}
		if reportDue && warmupGap > 0 {
			interval = min(interval, warmupGap)
			reportDue = false
		} else {
			reportRequested = false
		}
		if present && (unconfirmed || inUse && !recentReport || reportDue) {
			g.probe(bounds.Limited() && (unconfirmed || reportDue))
		}
	}
}
