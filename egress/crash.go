package egress

import (
	"slices"
	"time"
)

// crashWindow is the time within which all connections to a crashed upstream
// break.
const crashWindow = 300 * time.Millisecond

// brokenRun is a run that ended without its whole answer.
type brokenRun struct {
	fingerprint uint64
	at          time.Time
	// abandoned means that the gate closed the connection, as the caller had left or the
	// time was up.
	abandoned bool
}

// recordBrokenRun records a run whose connection broke; the first within
// crashWindow triggers a probe, which finds out whether the upstream crashed.
func (g *Gate) recordBrokenRun(fingerprint uint64) {
	now := g.clock.Now()
	g.mu.Lock()
	first := !slices.ContainsFunc(g.brokenRuns, func(run brokenRun) bool {
		return !run.abandoned && now.Sub(run.at) <= crashWindow
	})
	g.addBrokenRun(brokenRun{fingerprint: fingerprint, at: now})
	g.mu.Unlock()
	if first && g.tomb.Alive() {
		go g.probe(false)
	}
}

// recordAbandonedRun records a run that the gate has given up. The upstream may crash at that
// moment, so it counts as in use, which has it probed for a while.
func (g *Gate) recordAbandonedRun(fingerprint uint64) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.health.lastInUse = now
	g.addBrokenRun(brokenRun{fingerprint: fingerprint, at: now, abandoned: true})
}

// addBrokenRun adds a run and removes those that can be no suspects any more; g.mu is held.
func (g *Gate) addBrokenRun(added brokenRun) {
	g.brokenRuns = append(slices.DeleteFunc(g.brokenRuns, func(run brokenRun) bool {
		age := added.at.Sub(run.at)
		return age > heartbeatTTL || run.abandoned && age > crashWindow
	}), added)
}

// takeCrashSuspects removes the broken runs and returns the fingerprints of those
// within crashWindow; g.mu is held.
func (g *Gate) takeCrashSuspects(now time.Time) []uint64 {
	return g.takeSuspectsSince(now, now.Add(-crashWindow))
}

// takeSuspectsSince removes the broken runs and returns the fingerprints of those whose
// connections broke since a time, and of those abandoned within crashWindow; g.mu is held.
func (g *Gate) takeSuspectsSince(now, since time.Time) []uint64 {
	var fingerprints []uint64
	for _, run := range g.brokenRuns {
		if now.Sub(run.at) <= crashWindow || !run.abandoned && !run.at.Before(since) {
			fingerprints = append(fingerprints, run.fingerprint)
		}
	}
	g.brokenRuns = g.brokenRuns[:0]
	return fingerprints
}
