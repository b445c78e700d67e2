package egress

import (
	"time"

	"github.com/banyancross/banyancross/call"
)

const (
	// entryNodeTTL is how long after a call its entry node is sent load notices.
	entryNodeTTL = time.Second
	// minNoticeInterval is the least interval between two load notices: several
	// network delays, as entry nodes can't react to the first notice any sooner.
	minNoticeInterval = 25 * time.Millisecond
	// minFreeSlots is the number of free slots from which a full upstream no longer
	// counts as full.
	minFreeSlots = 2
)

// notifiedLoad is the state that entry nodes were last notified of.
type notifiedLoad struct {
	slow, full bool
	at         time.Time
}

// recordEntryNode records that a node sent a call.
func (g *Gate) recordEntryNode(host string) {
	if host == "" {
		return
	}
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.entryNodes[host] = now
}

// Probes returns the number of probes sent so far.
func (g *Gate) Probes() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.probes
}

// EntryNodes returns the hosts of the nodes that sent a call within entryNodeTTL.
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

// updateLoad returns the load and notifies the entry nodes when the upstream
// became slow or full, or ceased to be.
func (g *Gate) updateLoad() call.Load {
	now := g.clock.Now()
	g.mu.Lock()
	load := g.load(now)
	slow := load.Slowdown >= slowedRatio
	full := load.Waiting > 0 || load.Running >= load.Limit
	if g.notifiedLoad.full && load.Running+minFreeSlots > load.Limit {
		full = true
	}
	changed := (slow != g.notifiedLoad.slow || full != g.notifiedLoad.full) && now.Sub(g.notifiedLoad.at) >= minNoticeInterval
	if changed {
		g.notifiedLoad = notifiedLoad{slow: slow, full: full, at: now}
	}
	g.mu.Unlock()
	if changed {
		g.notifyLoad()
	}
	return load
}
