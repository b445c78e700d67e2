package egress

import "time"

// crashWindow is the time within which all connections to a crashed upstream
// break.
const crashWindow = 300 * time.Millisecond

// brokenRun is a run whose connection broke before its answer.
type brokenRun struct {
	fingerprint uint64
	at          time.Time
}

// recordBrokenRun records a run whose connection broke; the first within
// crashWindow triggers a probe, which finds out whether the upstream crashed.
func (g *Gate) recordBrokenRun(fingerprint uint64) {
	now := g.clock.Now()
	g.mu.Lock()
	first := len(g.brokenRuns) == 0 || now.Sub(g.brokenRuns[len(g.brokenRuns)-1].at) > crashWindow
	if first {
		g.brokenRuns = g.brokenRuns[:0]
	}
	g.brokenRuns = append(g.brokenRuns, brokenRun{fingerprint: fingerprint, at: now})
	g.mu.Unlock()
	if first && g.tomb.Alive() {
		go g.probe(false)
	}
}

// takeCrashSuspects removes the broken runs and returns the fingerprints of those
// within crashWindow; g.mu is held.
func (g *Gate) takeCrashSuspects(now time.Time) []uint64 {
	var fingerprints []uint64
	for _, run := range g.brokenRuns {
		if now.Sub(run.at) <= crashWindow {
			fingerprints = append(fingerprints, run.fingerprint)
		}
	}
	g.brokenRuns = g.brokenRuns[:0]
	return fingerprints
}
