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
	// confirmations is how many heartbeats in a row stand for a health check
	// that did not confirm a new upstream.
	confirmations = 3
	// beatLife is how long a heartbeat stands for its sender: two at their
	// usual pause, and one that was lost.
	beatLife = 5 * time.Second
	// maxDeparted bounds the memory of upstreams that have left.
	maxDeparted = 256
)

// upstream is the backend server beside the node.
type upstream struct {
	instance string
	service  string
	slots    int
	started  time.Time
	sequence uint64
	// confirmed tells that the upstream itself said that it takes calls.
	confirmed bool
	beats     int
	beatAt    time.Time
	leaving   bool
	// unreachable tells that nothing listens at its address.
	unreachable bool
}

// departure names an incarnation that leaves or has left.
type departure struct {
	instance string
	started  int64
}

// Heartbeat takes what an upstream says of itself, and tells whether it is to
// be acknowledged.
func (g *Gate) Heartbeat(h platform.Heartbeat) bool {
	if h.Address() != g.address {
		_ = level.Warn(g.logger).Log("event", "heartbeat-refused", "reason", "address", "upstream", h.Instance(), "address", h.Address())
		return false
	}
	now := g.clock.Now()
	g.mu.Lock()
	known := g.upstream
	incarnation := departure{h.Instance(), h.Started().UnixNano()}
	_, gone := g.departed[incarnation]
	same := known.instance == h.Instance() && known.started.Equal(h.Started())
	switch {
	case gone && !h.Draining():
		// A heartbeat from before the upstream's leaving arrived late.
		g.mu.Unlock()
		return true
	case same && h.Sequence() <= known.sequence, !same && g.outdated(now, h):
		g.mu.Unlock()
		return true
	case same:
		g.upstream.beatAt = now
		g.upstream.sequence = h.Sequence()
		g.upstream.unreachable = false
		g.upstream.beats++
		if g.upstream.slots != h.Slots() {
			g.upstream.slots = h.Slots()
			g.admission.Resize(h.Slots())
		}
	default:
		g.adopt(now, h)
	}
	if h.Draining() {
		g.depart(incarnation)
	}
	if g.upstream.beats >= confirmations {
		g.upstream.confirmed = true
	}
	changed := !same || g.upstream.leaving != known.leaving || g.upstream.unreachable != known.unreachable ||
		g.upstream.confirmed != known.confirmed
	g.mu.Unlock()
	if changed {
		_ = level.Info(g.logger).Log("event", "upstream", "upstream", h.Instance(), "service", h.Service(),
			"sequence", h.Sequence(), "draining", h.Draining(), "cold", h.WarmupRemaining())
		g.notifyPhase()
	}
	return true
}

// outdated tells whether a heartbeat is from before the incarnation that is
// known. An upstream's clock may have been set back between two starts, so only
// one that still reports itself outranks another; g.mu is held.
func (g *Gate) outdated(now time.Time, h platform.Heartbeat) bool {
	known := g.upstream
	if known.instance == "" || h.Started().IsZero() || h.Started().After(known.started) {
		return false
	}
	return now.Sub(known.beatAt) < beatLife
}

// adopt takes a new incarnation; g.mu is held.
func (g *Gate) adopt(now time.Time, h platform.Heartbeat) {
	if g.pool != nil {
		g.pool.Close()
	}
	g.saturation = g.inheritedSaturation(h.Service())
	g.upstream = upstream{
		instance: h.Instance(), service: h.Service(), slots: h.Slots(), started: h.Started(), sequence: h.Sequence(), beats: 1,
		beatAt: now,
	}
	// A cold upstream is slower, and says so in its reports, but it runs as many
	// calls as a warm one.
	g.admission = admission.NewGate(h.Slots(), admission.WithMaxUtilization(1))
	g.pool = http1.NewPool(g.address, g.dial, g.clock, defaultIdleTimeout)
	g.health = health{}
	g.updateSlotShare()
}

// depart records that an incarnation leaves; g.mu is held.
func (g *Gate) depart(d departure) {
	if len(g.departed) >= maxDeparted {
		g.departed = map[departure]struct{}{}
	}
	g.departed[d] = struct{}{}
	if g.upstream.instance == d.instance && g.upstream.started.UnixNano() == d.started {
		g.upstream.leaving = true
	}
}

// Leave takes an upstream's word that it ends. A zero start stands for the
// incarnation that is known.
func (g *Gate) Leave(instance string, started time.Time) {
	g.mu.Lock()
	if started.IsZero() && g.upstream.instance == instance {
		started = g.upstream.started
	}
	g.depart(departure{instance, started.UnixNano()})
	g.mu.Unlock()
	_ = level.Info(g.logger).Log("event", "upstream-leaves", "upstream", instance)
	g.notifyPhase()
}

// misdirected records that another upstream answers at the address.
func (g *Gate) misdirected(a target) {
	g.mu.Lock()
	known := g.lose(a)
	g.mu.Unlock()
	if known {
		_ = level.Warn(g.logger).Log("event", "upstream-replaced", "upstream", a.instance)
		g.notifyPhase()
	}
}

// unreached records that no connection to the upstream could be made.
func (g *Gate) unreached(a target, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		g.outcome(true)
		return
	}
	now := g.clock.Now()
	g.mu.Lock()
	known := g.lose(a)
	var suspects []uint64
	if known {
		suspects = g.takeCrashSuspects(now)
	}
	g.mu.Unlock()
	if known {
		g.holds.Crashed(now, suspects)
		_ = level.Warn(g.logger).Log("event", "upstream-unreachable", "upstream", a.instance, "err", err, "suspects", len(suspects))
		g.notifyPhase()
	}
}

// lose records that the upstream is not at its address any more, and tells
// whether it was until now; g.mu is held.
func (g *Gate) lose(a target) bool {
	known := g.upstream.instance == a.instance && !g.upstream.unreachable
	if known {
		g.upstream.unreachable = true
	}
	return known
}

// reported takes an upstream's report of itself from an answer.
func (g *Gate) reported(a target, answer platform.ResponseHeaders, header http.Header) {
	load, ok := answer.Load()
	idle := platform.IdleTimeout(header)
	now := g.clock.Now()
	g.mu.Lock()
	if g.upstream.instance == a.instance && ok {
		g.health.recordSlowdown(now, load.Slowdown)
	}
	g.mu.Unlock()
	g.updateLoad()
	if idle > idleMargin {
		a.pool.SetIdleTimeout(idle - idleMargin)
	}
}

// outcome takes whether the upstream failed a call.
func (g *Gate) outcome(failed bool) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.health.recordOutcome(now, failed)
}

// probe asks the upstream's health path, which reports the speed of its host and
// confirms a new upstream.
func (g *Gate) probe() {
	g.mu.Lock()
	pool, instance, service := g.pool, g.upstream.instance, g.upstream.service
	g.probes++
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
	response, err := pool.Do(ctx, &http1.OutgoingRequest{Method: http.MethodGet, Target: s.HealthPath, Host: g.address, Header: http.Header{}})
	if err != nil {
		g.unreached(target{instance: instance}, err)
		return
	}
	defer response.Release()
	_, _, _ = response.Body.Buffer(maxHealthBody)
	answer := platform.ReadResponseHeaders(response.Status, response.Header)
	g.reported(target{instance: instance, pool: pool}, answer, response.Header)
	if response.Status == http.StatusOK && answer.Instance() == instance {
		g.confirm(instance)
	}
}

// confirm records that the upstream itself said that it takes calls.
func (g *Gate) confirm(instance string) {
	g.mu.Lock()
	changed := g.upstream.instance == instance && !g.upstream.confirmed
	if changed {
		g.upstream.confirmed = true
	}
	g.mu.Unlock()
	if changed {
		_ = level.Info(g.logger).Log("event", "upstream-confirmed", "upstream", instance)
		g.notifyPhase()
	}
}
