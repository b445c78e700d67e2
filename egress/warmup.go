package egress

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/warmup"
)

const (
	// heartbeatDelay is how long a heartbeat that says warm may have been on its way,
	// a busy host included.
	heartbeatDelay = 500 * time.Millisecond
	// reportWait bounds the wait of a call for a report that is due: several times as
	// long as a probe takes.
	reportWait = 100 * time.Millisecond
	// minProbeGap is the least pause between two probes that are due for the warmup;
	// it stays within the operators' limit of probes per second.
	minProbeGap = 25 * time.Millisecond
)

// WithWarmupBounds sets by how much the rate of requests to a cold upstream may exceed
// what its service tolerates: the factor, and the number of requests in any second.
func WithWarmupBounds(bounds func() (overage, slack float64)) Option {
	return func(g *Gate) { g.warmup.bounds = bounds }
}

// warmupState limits what a cold upstream is sent.
type warmupState struct {
	bounds  func() (overage, slack float64)
	limiter *warmup.Limiter
	// waiting is the number of calls that have a slot and wait for room.
	waiting int
	// changed is closed at the next report that changes the room.
	changed chan struct{}
	// probeDue wakes the probe loop, and probedAt is its last probe.
	probeDue chan struct{}
	probedAt time.Time
	// saysWarm means that the upstream reports a warmup of 0 in health responses, so
	// that one without a report says nothing.
	saysWarm bool
}

func newWarmupState() warmupState {
	return warmupState{
		bounds: func() (float64, float64) { return 1, 0 }, changed: make(chan struct{}), probeDue: make(chan struct{}, 1),
	}
}

// warmupBounds returns the bounds of a service's upstreams.
func (g *Gate) warmupBounds(service string) warmup.Bounds {
	table := g.table()
	if table == nil {
		return warmup.Bounds{}
	}
	s, ok := table.Service(service)
	if !ok || s.WarmupRate <= 0 {
		return warmup.Bounds{}
	}
	overage, slack := g.warmup.bounds()
	return warmup.Bounds{Rate: s.WarmupRate, Overage: overage, Slack: slack}
}

// refuseWarming returns ReasonWarming for a call that a cold upstream could not be sent
// within its wait limit, or else "". A nested call is queued before others.
func (g *Gate) refuseWarming(now time.Time, t target, meta hop.Meta) call.Reason {
	bounds := g.warmupBounds(meta.Service)
	if !bounds.Limited() {
		return ""
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.warmup.limiter.ReportDue(now, bounds) {
		g.requestProbe()
		if meta.MaxWait > 0 {
			return ""
		}
	}
	ahead := g.warmup.waiting
	// A call that may not wait comes before none in the queue: admission rejects it as
	// there is one. A rejection as warming would send it on to more upstreams.
	if meta.Depth == 0 && (meta.MaxWait > 0 || g.warmup.limiter.Cold(now)) {
		ahead += int(t.admission.Load(now).Waiting)
	}
	if g.warmup.limiter.NextRoom(now, bounds, ahead).After(now.Add(meta.MaxWait)) {
		return call.ReasonWarming
	}
	return ""
}

// losesNested reports whether a rejection as warming counts for the excess of nested calls:
// that of a nested call that would have waited. Another gate may take one that may not.
func losesNested(meta hop.Meta) bool { return meta.Depth > 0 && meta.MaxWait > 0 }

// awaitRoom takes the place of a call in what a cold upstream may be sent. It waits for
// one until the deadline, and returns ReasonWarming at once if there will be none. The
// place is zero if the upstream is not limited.
func (g *Gate) awaitRoom(ctx context.Context, meta hop.Meta, deadline time.Time) (place time.Time, reason call.Reason) {
	bounds := g.warmupBounds(meta.Service)
	if !bounds.Limited() {
		return time.Time{}, ""
	}
	arrived := g.clock.Now()
	ahead := -1
	for {
		g.mu.Lock()
		now := g.clock.Now()
		taken := g.warmup.limiter.Take(now, bounds)
		due := g.warmup.limiter.ReportDue(now, bounds)
		if due {
			g.requestProbe()
		}
		if taken {
			g.mu.Unlock()
			return now, ""
		}
		if ahead < 0 {
			ahead = g.warmup.waiting
		}
		next := g.warmup.limiter.NextRoom(now, bounds, ahead)
		ahead = 0
		if next.After(deadline) && due && now.Before(arrived.Add(reportWait)) {
			next = arrived.Add(reportWait)
			if deadline.Before(next) {
				next = deadline
			}
		}
		if next.After(deadline) || !now.Before(deadline) {
			g.mu.Unlock()
			return time.Time{}, call.ReasonWarming
		}
		g.warmup.waiting++
		changed := g.warmup.changed
		g.mu.Unlock()
		cancelled := false
		select {
		case <-changed:
		case <-g.clock.After(next.Sub(now)):
		case <-ctx.Done():
			cancelled = true
		}
		g.mu.Lock()
		g.warmup.waiting--
		g.mu.Unlock()
		if cancelled {
			return time.Time{}, call.ReasonCancelled
		}
	}
}

// returnRoom gives back the place of a call that the upstream did not receive.
func (g *Gate) returnRoom(place time.Time) {
	if place.IsZero() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.warmup.limiter.Return(place)
}

// roomIn returns when a call that comes later than those that wait can be sent.
func (g *Gate) roomIn(service string) time.Duration {
	bounds := g.warmupBounds(service)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	return max(0, g.warmup.limiter.NextRoom(now, bounds, g.warmup.waiting).Sub(now))
}

// requestProbe wakes the probe loop; g.mu is held.
func (g *Gate) requestProbe() {
	select {
	case g.warmup.probeDue <- struct{}{}:
	default:
	}
}

// recordWarmup records a report, received at now, that the upstream stays cold for left.
// It returns a function that logs the change, to be called without g.mu, which is held.
func (g *Gate) recordWarmup(now, asked time.Time, left time.Duration, source string) (logChange func()) {
	changed := g.warmup.limiter.Report(now, asked, left)
	close(g.warmup.changed)
	g.warmup.changed = make(chan struct{})
	instance, service := g.upstream.instance, g.upstream.service
	return func() {
		switch {
		case !changed || !g.warmupBounds(service).Limited():
		case left > 0:
			_ = level.Info(g.logger).Log("event", "upstream-cold", "upstream", instance, "left", left, "source", source)
		default:
			_ = level.Info(g.logger).Log("event", "upstream-warm", "upstream", instance, "source", source)
		}
	}
}

// recordHeartbeatWarmup records what a heartbeat says; g.mu is held. While the upstream
// is cold, one that says warm may have been sent before.
func (g *Gate) recordHeartbeatWarmup(now time.Time, h platform.Heartbeat) (logChange func()) {
	switch left := h.WarmupRemaining(); {
	case left > 0:
		return g.recordWarmup(now, now, left, "heartbeat")
	case g.warmup.limiter.Cold(now):
		return func() {}
	default:
		return g.recordWarmup(now, now.Add(-heartbeatDelay), 0, "heartbeat")
	}
}

// recordProbeWarmup records what the answer to a probe sent at asked says. An upstream
// that never reports a warmup of 0 is warm if it is healthy and reports none, unless it
// said before that it is cold until later. On a connection that is not separate, the
// answer may be a copy of an earlier one, so only one that says cold counts.
func (g *Gate) recordProbeWarmup(instance string, asked time.Time, answer platform.ResponseHeaders, healthy, separate bool) {
	left, told := answer.Warmup()
	if left == 0 && !separate {
		return
	}
	now := g.clock.Now()
	g.mu.Lock()
	logChange := func() {}
	if told && left == 0 {
		g.warmup.saysWarm = true
	}
	if g.upstream.instance == instance && (told || healthy && !g.warmup.saysWarm && !g.warmup.limiter.Cold(now)) {
		logChange = g.recordWarmup(now, asked, left, "health")
	}
	g.mu.Unlock()
	logChange()
}

// WarmupRoom returns how many requests may be sent to the upstream now, and whether it is
// limited at all.
func (g *Gate) WarmupRoom() (room int, limited bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	bounds := g.warmupBounds(g.upstream.service)
	if !bounds.Limited() {
		return 0, false
	}
	return g.warmup.limiter.Room(g.clock.Now(), bounds), true
}

// limitWarmupLoad reports in the load what a cold upstream may be sent: as many calls at
// once as its rate and their mean duration make, and none while there is no room; g.mu
// is held.
func (g *Gate) limitWarmupLoad(now time.Time, load *call.Load) {
	bounds := g.warmupBounds(g.upstream.service)
	if !bounds.Limited() {
		return
	}
	if g.warmup.limiter.Cold(now) {
		load.Cold = true
		atOnce := bounds.Rate * bounds.Overage * load.ServiceTime.Seconds()
		load.Limit = uint32(min(float64(load.Limit), max(1, atOnce)))
	}
	if g.warmup.limiter.Room(now, bounds) == 0 {
		load.Waiting = max(load.Waiting, 1)
	}
}
