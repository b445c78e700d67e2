package upstream

import (
	"time"

	"github.com/banyancross/banyancross/admission"
	"github.com/banyancross/banyancross/idempotency"
	"github.com/banyancross/banyancross/membership"
)

// Announce processes an announcement of the backend server.
func (g *Gate) Announce(announcement Announcement) error {
	if err := announcement.validate(); err != nil {
		return err
	}
	now := g.clock.Now()
	g.mu.Lock()
	if g.admission != nil && g.announcement.Upstream != announcement.Upstream {
		g.mu.Unlock()
		return &Error{op: "announce", kind: KindConflict, message: g.announcement.Upstream}
	}
	restarted := g.admission == nil || g.announcement.Instance != announcement.Instance ||
		g.announcement.Address != announcement.Address
	g.announcement = announcement
	g.announcedAt = now
	g.unreachable = false
	if restarted {
		g.reset(now)
	}
	g.mu.Unlock()
	g.Refresh()
	return nil
}

// reset replaces the admission gate and the client of a backend server that has
// started or is ready again. The idempotency records are kept, since they
// describe what this node has sent.
func (g *Gate) reset(now time.Time) {
	coldStart := time.Duration(g.announcement.ColdStartMS) * time.Millisecond
	var options []admission.Option
	if coldStart > 0 {
		options = append(options, admission.WithColdStart(now, coldStart))
	}
	if g.records == nil {
		g.records = idempotency.NewRecords(g.announcement.Upstream, g.incarnation)
	}
	g.admission = admission.NewGate(max(g.announcement.Slots, 1), options...)
	if g.client != nil {
		g.client.close()
	}
	g.client = newClient(g.announcement.Address, g.announcement.Connections)
}

// Refresh computes the upstream's state from its announcement and the release
// notes in force; it is called when either may have changed.
func (g *Gate) Refresh() {
	now := g.clock.Now()
	g.mu.Lock()
	state := g.computeState(now)
	changed := state != g.state
	g.state = state
	if changed && (state == membership.Leaving || state == membership.Draining) {
		g.admission.Drain(now)
	}
	if changed && state == membership.Ready && g.admission.Draining() {
		g.reset(now)
	}
	g.mu.Unlock()
	if changed {
		g.notify()
	}
}

// computeState returns the upstream's state; for a ready upstream it also updates
// the number of slots.
func (g *Gate) computeState(now time.Time) membership.UpstreamState {
	if g.admission == nil || g.unreachable || now.Sub(g.announcedAt) >= AnnouncementLifetime {
		return membership.Absent
	}
	if g.leaving || g.announcement.State == StateLeaving {
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
		// A ready upstream that the release notes no longer list must drain.
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

// Leave makes the gate refuse new calls; the channel is closed when the last
// running call has ended.
func (g *Gate) Leave() <-chan struct{} {
	g.mu.Lock()
	g.leaving = true
	gate := g.admission
	g.mu.Unlock()
	g.Refresh()
	if gate == nil {
		idle := make(chan struct{})
		close(idle)
		return idle
	}
	return gate.Drain(g.clock.Now())
}

// SetReachable records whether a connection to the upstream could be opened. An
// announcement also marks the upstream as reachable.
func (g *Gate) SetReachable(reachable bool) {
	g.mu.Lock()
	changed := g.unreachable == reachable
	g.unreachable = !reachable
	g.mu.Unlock()
	if changed {
		g.Refresh()
	}
}
