package upstream

import (
	"time"

	"github.com/banyancross/banyancross/admission"
	"github.com/banyancross/banyancross/idempotency"
	"github.com/banyancross/banyancross/membership"
)

// Announce takes an announcement of the backend server.
func (g *Gate) Announce(announcement Announcement) error {
	if err := announcement.validate(); err != nil {
		return err
	}
	now := g.clock.Now()
	g.mu.Lock()
	if g.admission != nil && g.announcement.Upstream != announcement.Upstream {
		g.mu.Unlock()
		return &Error{op: "announce", kind: KindChanged, message: g.announcement.Upstream}
	}
	restarted := g.admission == nil || g.announcement.Instance != announcement.Instance ||
		g.announcement.Address != announcement.Address
	g.announcement = announcement
	g.announced = now
	g.unreachable = false
	if restarted {
		g.begin(now)
	}
	g.mu.Unlock()
	g.Refresh()
	return nil
}

// begin starts a new admission for a backend server that was started. Records
// outlive it: they belong to the node, which knows what it has sent.
func (g *Gate) begin(now time.Time) {
	cold := time.Duration(g.announcement.ColdStartMS) * time.Millisecond
	var options []admission.Option
	if cold > 0 {
		options = append(options, admission.WithColdStart(now, cold))
	}
	if g.records == nil {
		g.records = idempotency.NewRecords(g.announcement.Upstream, g.incarnation)
	}
	g.admission = admission.NewGate(max(g.announcement.Slots, 1), options...)
	if g.runner != nil {
		g.runner.close()
	}
	g.runner = newRunner(g.announcement.Address, g.announcement.Connections)
}

// Refresh settles the upstream's state from its announcement and the release
// notes in force; it is called when either may have changed.
func (g *Gate) Refresh() {
	now := g.clock.Now()
	g.mu.Lock()
	state := g.settle(now)
	changed := state != g.state
	g.state = state
	if changed && (state == membership.Leaving || state == membership.Draining) {
		g.admission.Drain(now)
	}
	if changed && state == membership.Ready && g.admission.Draining() {
		g.begin(now)
	}
	g.mu.Unlock()
	if changed {
		g.notify()
	}
}

func (g *Gate) settle(now time.Time) membership.UpstreamState {
	if g.admission == nil || g.unreachable || now.Sub(g.announced) >= AnnouncementLifetime {
		return membership.Absent
	}
	if g.stopping || g.announcement.State == StateLeaving {
		return membership.Leaving
	}
	if g.announcement.State == StateDraining {
		return membership.Draining
	}
	state := g.configuration.State()
	if state == nil {
		return membership.Starting
	}
	entry, ok := state.Upstream(g.announcement.Upstream)
	if !ok || entry.Upstream.Service != g.announcement.Service {
		if g.state == membership.Ready || g.state == membership.Leaving {
			return membership.Leaving
		}
		return membership.Unlisted
	}
	slots := state.Slots(entry)
	if g.announcement.Slots > 0 {
		slots = min(slots, g.announcement.Slots)
	}
	g.admission.Resize(slots)
	return membership.Ready
}

// Leave refuses new calls; the channel is closed when none runs any more.
func (g *Gate) Leave() <-chan struct{} {
	g.mu.Lock()
	g.stopping = true
	gate := g.admission
	g.mu.Unlock()
	g.Refresh()
	if gate == nil {
		none := make(chan struct{})
		close(none)
		return none
	}
	return gate.Drain(g.clock.Now())
}

// SetReachable records whether a connection to the upstream could be opened. An
// announcement makes it reachable again.
func (g *Gate) SetReachable(reachable bool) {
	g.mu.Lock()
	changed := g.unreachable == reachable
	g.unreachable = !reachable
	g.mu.Unlock()
	if changed {
		g.Refresh()
	}
}
