package egress

import "time"

const (
	// probePause is the pause between probes of an upstream in use. It is well
	// within the operators' budget of probes per second, and a third of the
	// time in which neighbours' work changes.
	probePause = 50 * time.Millisecond
	// idleProbePause is the pause between looks at whether the upstream is in
	// use, or new.
	idleProbePause = 100 * time.Millisecond
	// inUse is how long after a call the upstream counts as being in use.
	inUse = 300 * time.Millisecond
	// freshReport is the age of a report that spares a probe.
	freshReport = 40 * time.Millisecond
	// probeTimeout bounds a probe.
	probeTimeout = 500 * time.Millisecond
	// maxHealthBody bounds what is read of a health check's body, in bytes.
	maxHealthBody = 4 << 10
	// outcomes is how many recent answers tell whether an upstream fails.
	outcomes = 16
	// minOutcomes is the least number of them that says anything.
	minOutcomes = 4
	// outcomeLife is how long an answer counts.
	outcomeLife = 3 * time.Second
	// sampleShare is one in how many selective calls a failing upstream still
	// gets, so that its recovery is seen.
	sampleShare = 8
)

// health is what the gate has seen of the upstream.
type health struct {
	slowdown   float64
	reportedAt time.Time
	lastCall   time.Time
	recent     [outcomes]struct {
		at     time.Time
		failed bool
	}
	next    int
	refused int
}

// report takes the speed of the host.
func (h *health) report(now time.Time, slowdown float64) {
	h.slowdown, h.reportedAt = slowdown, now
}

// slowdownAt returns the slowdown, 1 when the report is old.
func (h *health) slowdownAt(now time.Time) float64 {
	if h.slowdown == 0 || now.Sub(h.reportedAt) > slowdownLife {
		return 1
	}
	return h.slowdown
}

// outcome takes whether a call failed.
func (h *health) outcome(now time.Time, failed bool) {
	h.recent[h.next].at, h.recent[h.next].failed = now, failed
	h.next = (h.next + 1) % outcomes
}

// failing tells whether most recent calls failed.
func (h *health) failing(now time.Time) bool {
	seen, failed := 0, 0
	for _, r := range h.recent {
		if r.at.IsZero() || now.Sub(r.at) > outcomeLife {
			continue
		}
		seen++
		if r.failed {
			failed++
		}
	}
	return seen >= minOutcomes && 2*failed > seen
}

// sample tells whether the next call may test a failing upstream.
func (h *health) sample() bool {
	h.refused++
	return h.refused%sampleShare == 0
}

// watchSpeed probes the upstream for the speed of its host.
func (g *Gate) watchSpeed() error {
	pause := idleProbePause
	for {
		select {
		case <-g.tomb.Dying():
			return nil
		case <-g.clock.After(pause):
		}
		now := g.clock.Now()
		g.mu.Lock()
		if g.admission != nil && g.admission.Load(now).Running > 0 {
			g.health.lastCall = now
		}
		used := now.Sub(g.health.lastCall) < inUse
		fresh := now.Sub(g.health.reportedAt) < freshReport
		present := g.upstream.instance != "" && !g.upstream.leaving && !g.upstream.unreachable && !g.stopping
		unconfirmed := !g.upstream.confirmed
		g.mu.Unlock()
		pause = probePause
		if !used && !unconfirmed {
			pause = idleProbePause
		}
		if present && (unconfirmed || used && !fresh) {
			g.probe()
		}
	}
}
