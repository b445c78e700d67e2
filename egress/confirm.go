package egress

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/banyancross/banyancross/http1"
)

const (
	// confirmingHeartbeats is the number of heartbeats of an incarnation that
	// confirm it without a health check.
	confirmingHeartbeats = 3
	// maxHeartbeatDelay is how late a heartbeat may arrive. Those that arrive sooner after
	// the start of the process may have been sent before their sender announced to an
	// earlier process that it leaves.
	maxHeartbeatDelay = 15 * time.Second
)

// checkResult is what the health checks of an upstream have shown, in ascending order
// of weight.
type checkResult int

const (
	// checkPending means that no health check has ended.
	checkPending checkResult = iota
	// checkUndecided means that none told whether the upstream takes calls: it got no
	// response, or that of another upstream, or was rejected for lack of room.
	checkUndecided
	// checkFailed means that the upstream itself answered that it is leaving or unhealthy.
	checkFailed
	// checkPassed means that the upstream itself answered that it takes calls.
	checkPassed
)

// recordCheck records the result of a health check that was sent through pool.
func (g *Gate) recordCheck(pool *http1.Pool, result checkResult) {
	g.mu.Lock()
	if g.pool != pool {
		g.mu.Unlock()
		return
	}
	wasConfirmed := g.confirmed()
	g.upstream.check = max(g.upstream.check, result)
	confirmed, instance, check := g.confirmed(), g.upstream.instance, g.upstream.check
	g.mu.Unlock()
	if confirmed == wasConfirmed {
		return
	}
	event := "upstream-unconfirmed"
	if confirmed {
		event = "upstream-confirmed"
	}
	_ = level.Info(g.logger).Log("event", event, "upstream", instance, "passed", check == checkPassed)
	g.notifyPhase()
}

// confirmed reports whether a health check, or enough heartbeats, showed that the
// upstream takes calls; g.mu is held.
func (g *Gate) confirmed() bool {
	u := &g.upstream
	switch {
	case u.check == checkPassed:
		return true
	case u.heartbeats < confirmingHeartbeats:
		return false
	case u.check == checkUndecided || !g.mayBeLate(u.lastHeartbeat):
		return true
	}
	return u.check == checkPending && !g.checkable()
}

// mayBeLate reports whether a heartbeat that arrived at a time may have been sent before
// this process started.
func (g *Gate) mayBeLate(arrived time.Time) bool {
	return arrived.Sub(g.started) < maxHeartbeatDelay
}

// checkable reports whether a health check of the upstream will come; g.mu is held.
func (g *Gate) checkable() bool {
	table := g.table()
	if table == nil {
		return true
	}
	s, ok := table.Service(g.upstream.service)
	return ok && s.HealthPath != ""
}
