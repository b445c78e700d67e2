package egress

import (
	"time"

	"github.com/banyancross/banyancross/call"
)

const (
	// callerLife is how long after a call its sender is told of the load.
	callerLife = time.Second
	// notifyGap is the least pause between two notices of the load: several
	// link delays, within which callers could not have acted on the first.
	notifyGap = 25 * time.Millisecond
	// freeSlots is how many slots must be free for a full upstream to count as
	// free again.
	freeSlots = 2
)

// notified is what callers were last told of the load.
type notified struct {
	slow, full bool
	at         time.Time
}

// calledBy records that a node sends calls here.
func (g *Gate) calledBy(host string) {
	if host == "" {
		return
	}
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.callers[host] = now
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
	hosts := make([]string, 0, len(g.callers))
	for host, at := range g.callers {
		if now.Sub(at) > callerLife {
			delete(g.callers, host)
			continue
		}
		hosts = append(hosts, host)
	}
	return hosts
}

// noteLoad returns the load, and tells the callers when it has changed so much
// that they should choose differently.
func (g *Gate) noteLoad() call.Load {
	now := g.clock.Now()
	g.mu.Lock()
	load := g.load(now)
	slow := load.Slowdown >= slowed
	full := load.Waiting > 0 || load.Running >= load.Limit
	if g.notified.full && load.Running+freeSlots > load.Limit {
		full = true
	}
	changed := (slow != g.notified.slow || full != g.notified.full) && now.Sub(g.notified.at) >= notifyGap
	if changed {
		g.notified = notified{slow: slow, full: full, at: now}
	}
	g.mu.Unlock()
	if changed {
		g.notifyLoad()
	}
	return load
}
