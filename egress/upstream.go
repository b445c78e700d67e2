package egress

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/go-kit/log/level"

	"github.com/banyancross/banyancross/admission"
	"github.com/banyancross/banyancross/http1"
	"github.com/banyancross/banyancross/platform"
)

const (
	// dialTimeout bounds a connection to the upstream on the same host.
	dialTimeout = 300 * time.Millisecond
	// heartbeatTTL is how long after a heartbeat its sender counts as alive: more
	// than two regular heartbeat intervals, so that one heartbeat may be lost.
	heartbeatTTL = 5 * time.Second
	// maxDeparted bounds the number of remembered departed incarnations.
	maxDeparted = 256
)

// upstream is the state of the backend server on the node's host.
type upstream struct {
	instance      string
	service       string
	slots         int
	started       time.Time
	sequence      uint64
	check         checkResult
	heartbeats    int
	lastHeartbeat time.Time
	leaving       bool
	// unreachable is set when its address refuses connections or belongs to
	// another upstream.
	unreachable bool
}

// incarnation identifies one start of an upstream.
type incarnation struct {
	instance string
	started  int64
}

// Heartbeat updates the upstream from its heartbeat and reports whether to
// acknowledge it: whether it took effect, or a later one of its incarnation did.
// One that says draining takes effect whatever its sequence, since it is never taken
// back.
func (g *Gate) Heartbeat(h platform.Heartbeat) bool {
	if h.Address() != g.address {
		_ = level.Warn(g.logger).Log("event", "heartbeat-refused", "reason", "address", "upstream", h.Instance(), "address", h.Address())
		return false
	}
	now := g.clock.Now()
	g.mu.Lock()
	previous := g.upstream
	wasConfirmed := g.confirmed()
	id := incarnation{h.Instance(), h.Started().UnixNano()}
	_, left := g.departed[id]
	sameIncarnation := previous.instance == h.Instance() && previous.started.Equal(h.Started())
	logWarmup := func() {}
	var suspects []uint64
	switch {
	case left && !h.Draining():
		// The heartbeat was sent before the upstream left, and arrived late.
		g.mu.Unlock()
		return true
	case !sameIncarnation && g.outdated(now, h):
		// If the current incarnation is another writer's, this one is the upstream's.
		g.mu.Unlock()
		_ = level.Warn(g.logger).Log("event", "heartbeat-refused", "reason", "incarnation", "upstream", h.Instance(), "started", h.Started())
		return false
	case sameIncarnation && h.Sequence() <= previous.sequence:
		// The highest sequence is another writer's if none follows it.
		if now.Sub(previous.lastHeartbeat) >= heartbeatTTL {
			g.upstream.sequence = h.Sequence()
		}
		if !h.Draining() {
			g.mu.Unlock()
			return true
		}
	case sameIncarnation:
		logWarmup = g.recordHeartbeatWarmup(now, h)
		g.upstream.lastHeartbeat = now
		g.upstream.sequence = h.Sequence()
		g.upstream.unreachable = false
		g.upstream.heartbeats++
		if g.upstream.slots != h.Slots() {
			g.upstream.slots = h.Slots()
			g.admission.Resize(h.Slots())
			g.pool.SetMaxIdle(maxIdle(h.Slots()))
		}
	default:
		if !previous.leaving {
			// The earlier incarnation may have crashed too briefly for a refused connection.
			suspects = g.takeSuspectsSince(now, previous.lastHeartbeat)
		}
		g.replaceUpstream(now, h)
		logWarmup = g.recordHeartbeatWarmup(now, h)
	}
	if h.Draining() {
		g.recordDeparture(id)
	}
	changed := !sameIncarnation || g.upstream.leaving != previous.leaving || g.upstream.unreachable != previous.unreachable ||
		g.confirmed() != wasConfirmed
	g.mu.Unlock()
	g.blocklist.Crashed(now, suspects)
	logWarmup()
	if changed {
		_ = level.Info(g.logger).Log("event", "upstream", "upstream", h.Instance(), "service", h.Service(),
			"sequence", h.Sequence(), "draining", h.Draining(), "cold", h.WarmupRemaining(), "suspects", len(suspects))
		g.notifyPhase()
	}
	return true
}

// outdated reports whether a heartbeat is from an earlier incarnation than the
// current one. The clock may have been set back between two starts, so an earlier
// start time counts only while the current incarnation sends heartbeats; g.mu is
// held.
func (g *Gate) outdated(now time.Time, h platform.Heartbeat) bool {
	current := g.upstream
	if current.instance == "" || h.Started().After(current.started) {
		return false
	}
	return now.Sub(current.lastHeartbeat) < heartbeatTTL
}

// replaceUpstream switches the gate to a new incarnation; g.mu is held.
func (g *Gate) replaceUpstream(now time.Time, h platform.Heartbeat) {
	if g.pool != nil {
		g.pool.Close()
		g.openedEarlier += g.pool.Opened()
	}
	g.saturation = g.inheritedSaturation(h.Service())
	g.upstream = upstream{
		instance: h.Instance(), service: h.Service(), slots: h.Slots(), started: h.Started(), sequence: h.Sequence(), heartbeats: 1,
		lastHeartbeat: now,
	}
	// A cold upstream gets no lower limit: it reports its slowdown, and runs as
	// many calls at once as a warm one.
	g.admission = admission.NewGate(h.Slots(), admission.WithMaxUtilization(1))
	g.pool = http1.NewPool(g.address, g.dial, g.clock, defaultIdleTimeout, http1.WithObserver(g.surplusObserver(h.Instance())), http1.WithUsage(&g.usage))
	g.pool.SetMaxIdle(maxIdle(h.Slots()))
	g.health = health{}
	g.warmup.limiter.Reset(h.Started())
	g.updateSlotShare()
}

// maxIdle returns how many idle connections to an upstream are kept: as many as it has
// slots, and one for health checks. A caller that sends one ID again and again needs a new
// connection each time, and would take all that the upstream allows.
func maxIdle(slots int) int { return slots + 1 }

// recordDeparture records that an incarnation is leaving, and so are those of the same
// identity that started before; g.mu is held.
func (g *Gate) recordDeparture(id incarnation) {
	if len(g.departed) >= maxDeparted {
		g.departed = map[incarnation]struct{}{}
	}
	g.departed[id] = struct{}{}
	if g.upstream.instance == id.instance && g.upstream.started.UnixNano() <= id.started {
		g.upstream.leaving = true
	}
}

// Leave records that an upstream announced its end, and reports whether to acknowledge
// it: whether the gate now holds that incarnation for gone. A zero start time means its
// current incarnation.
func (g *Gate) Leave(instance string, started time.Time) bool {
	g.mu.Lock()
	current := g.upstream.instance == instance
	if started.IsZero() && current {
		started = g.upstream.started
	}
	// If the current incarnation of a later start is another writer's, this one is the
	// upstream's.
	recorded := !started.IsZero() && (!current || !started.Before(g.upstream.started))
	if !started.IsZero() {
		g.recordDeparture(incarnation{instance, started.UnixNano()})
	}
	g.mu.Unlock()
	if !recorded {
		return false
	}
	_ = level.Info(g.logger).Log("event", "upstream-leaves", "upstream", instance)
	g.notifyPhase()
	return true
}

// recordMisdirected marks an upstream unreachable because another one answers at
// its address.
func (g *Gate) recordMisdirected(t target) {
	g.mu.Lock()
	marked := g.markUnreachable(t)
	g.mu.Unlock()
	if marked {
		_ = level.Warn(g.logger).Log("event", "upstream-replaced", "upstream", t.instance)
		g.notifyPhase()
	}
}

// recordDialFailure records a call that could not be sent to the upstream. A
// refused connection means that the upstream has ended.
func (g *Gate) recordDialFailure(t target, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		g.recordOutcome(true)
		return
	}
	now := g.clock.Now()
	g.mu.Lock()
	marked := g.markUnreachable(t)
	var suspects []uint64
	if g.upstream.instance == t.instance {
		// A run may break after the upstream was found to have ended.
		suspects = g.takeCrashSuspects(now)
	}
	g.mu.Unlock()
	if marked || len(suspects) > 0 {
		g.blocklist.Crashed(now, suspects)
		_ = level.Warn(g.logger).Log("event", "upstream-unreachable", "upstream", t.instance, "err", err, "suspects", len(suspects))
	}
	if marked {
		g.notifyPhase()
	}
}

// markUnreachable marks the upstream unreachable and reports whether it was not
// marked before; g.mu is held.
func (g *Gate) markUnreachable(t target) bool {
	marked := g.upstream.instance == t.instance && !g.upstream.unreachable
	if marked {
		g.upstream.unreachable = true
	}
	return marked
}

// recordReport records the slowdown and the idle timeout that an answer's headers
// report.
func (g *Gate) recordReport(t target, answer platform.ResponseHeaders, header http.Header) {
	load, ok := answer.Load()
	idle := platform.IdleTimeout(header)
	now := g.clock.Now()
	g.mu.Lock()
	if g.upstream.instance == t.instance && ok {
		g.health.recordSlowdown(now, load.Slowdown)
	}
	g.mu.Unlock()
	g.updateLoad()
	if idle > idleMargin {
		t.pool.SetIdleTimeout(idle - idleMargin)
	}
}

// recordOutcome records whether a call failed at the upstream.
func (g *Gate) recordOutcome(failed bool) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.health.recordOutcome(now, failed)
}

// probe requests the upstream's health path, on a connection of its own if separate is
// set. The answer reports the slowdown of the host and confirms a new upstream.
func (g *Gate) probe(separate bool) {
	g.mu.Lock()
	pool, instance, service := g.pool, g.upstream.instance, g.upstream.service
	g.probes++
	asked := g.clock.Now()
	g.warmup.probedAt = asked
	g.mu.Unlock()
	table := g.table()
	if pool == nil || table == nil {
		return
	}
	s, ok := table.Service(service)
	if !ok || s.HealthPath == "" {
		return
	}
	//nolint:staticcheck // tomb asks for nil to give the context that ends with it.
	ctx, cancel := context.WithTimeout(g.tomb.Context(nil), probeTimeout)
	defer cancel()
	probePool := pool
	if separate {
		probePool = http1.NewPool(g.address, g.dial, g.clock, 0)
		defer probePool.Close()
	}
	response, err := probePool.Do(ctx, &http1.OutgoingRequest{
		Method: http.MethodGet, Target: s.HealthPath, Host: g.address, Header: http.Header{}, Accept: acceptID(""),
	})
	if err != nil {
		g.recordDialFailure(target{instance: instance}, err)
		g.recordCheck(pool, checkUndecided)
		return
	}
	defer response.Release()
	_, _, _ = response.Body.Buffer(maxHealthBody)
	answer := platform.ReadResponseHeaders(response.Status, response.Header)
	g.recordReport(target{instance: instance, pool: pool}, answer, response.Header)
	if answer.Instance() != instance {
		g.recordCheck(pool, checkUndecided)
		return
	}
	healthy := response.Status == http.StatusOK
	g.recordProbeWarmup(instance, asked, answer, healthy, separate)
	switch {
	case healthy:
		g.recordCheck(pool, checkPassed)
	case response.Status == http.StatusServiceUnavailable && !answer.NotRun():
		g.recordCheck(pool, checkFailed)
	default:
		g.recordCheck(pool, checkUndecided)
	}
}
