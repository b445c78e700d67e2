package egress

import "time"

// crashWindow is the time within which the connections of an upstream that has
// ended break.
const crashWindow = 300 * time.Millisecond

// loss is a run whose connection broke.
type loss struct {
	fingerprint uint64
	at          time.Time
}

// suspect records a run whose connection broke, and asks whether the upstream
// has ended.
func (g *Gate) suspect(fingerprint uint64) {
	now := g.clock.Now()
	g.mu.Lock()
	first := len(g.lost) == 0 || now.Sub(g.lost[len(g.lost)-1].at) > crashWindow
	if first {
		g.lost = g.lost[:0]
	}
	g.lost = append(g.lost, loss{fingerprint: fingerprint, at: now})
	g.mu.Unlock()
	if first && g.tomb.Alive() {
		go g.probe()
	}
}

// crashed tells which runs broke when the upstream ended; g.mu is held.
func (g *Gate) crashed(now time.Time) []uint64 {
	var fingerprints []uint64
	for _, l := range g.lost {
		if now.Sub(l.at) <= crashWindow {
			fingerprints = append(fingerprints, l.fingerprint)
		}
	}
	g.lost = g.lost[:0]
	return fingerprints
}
