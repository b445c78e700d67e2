package egress

import (
	"time"

	"github.com/banyancross/banyancross/call"
)

const (
	// entryNodeTTL is how long after a call its sender is told of the load.
	entryNodeTTL = time.Second
	// minNoticeInterval is the least pause between two notices of the load: several
	// link delays, within which callers could not have acted on the first.
	minNoticeInterval = 25 * time.Millisecond
	// minFreeSlots is how many slots must be free for a full upstream to count as
	// free again.
	minFreeSlots = 2
)

// notifiedLoad is what callers were last told of the load.
type notifiedLoad struct {
	slow, full bool
	at         time.Time
}

// recordEntryNode records that a node sends calls here.
func (g *Gate) recordEntryNode(host string) {
	if host == "" {
		return
	}
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.entryNodes[host] = now
}

// Probes returns how many probes were sent.
func (g *Gate) Probes() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.probes
}

// EntryNodes returns the nodes that sent calls here lately.
func (g *Gate) EntryNodes() []string {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	hosts := make([]string, 0, len(g.entryNodes))
	for host, at := range g.entryNodes {
		if now.Sub(at) > entryNodeTTL {
			delete(g.entryNodes, host)
			continue
		}
		hosts = append(hosts, host)
	}
	return hosts
}

// updateLoad returns the load, and tells the callers when it has changed so much
// that they should choose differently.
func (g *Gate) updateLoad() call.Load {
	now := g.clock.Now()
	g.mu.Lock()
	load := g.load(now)
	slow := load.Slowdown >= slowedRatio
	full := load.Waiting > 0 || load.Running >= load.Limit
	if g.lastNotified.full && load.Running+minFreeSlots > load.Limit {
		full = true
	}
	changed := (slow != g.lastNotified.slow || full != g.lastNotified.full) && now.Sub(g.lastNotified.at) >= minNoticeInterval
	if changed {
		g.lastNotified = notifiedLoad{slow: slow, full: full, at: now}
	}
	g.mu.Unlock()
	if changed {
		g.notifyLoad()
	}
	return load
}
