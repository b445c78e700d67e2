package fleet

import (
	"sort"
	"sync"
	"time"
)

const (
	// SilenceTimeout is how long a node that often sends beacons may go unheard
	// before calls avoid it: four beacons at their usual pace.
	SilenceTimeout = 900 * time.Millisecond
	// missedBeacons is how many beacons a node that sends them rarely may miss.
	missedBeacons = 2
	// forgetAfter is how long a silent node is remembered, longer than its
	// entry in the store lasts.
	forgetAfter = 2 * time.Minute
)

// UpdateResult tells what a beacon changed.
type UpdateResult struct {
	// Known tells that the sender was known before.
	Known bool
	// Restarted tells that the sender is a later incarnation.
	Restarted bool
	// Changed tells that the upstream, its phase, or the node's end changed.
	Changed bool
	// WasSilent tells that the sender was silent before.
	WasSilent bool
}

// Peer is a node as this one knows it.
type Peer struct {
	beacon Beacon
	heard  time.Time
	silent bool
}

// Beacon returns the latest beacon.
func (p Peer) Beacon() Beacon { return p.beacon }

// LastReceived returns when the latest beacon came.
func (p Peer) LastReceived() time.Time { return p.heard }

// Silent tells that the node was not heard of lately.
func (p Peer) Silent() bool { return p.silent }

// View is safe for concurrent use.
type View struct {
	mu    sync.Mutex
	peers map[string]*Peer
}

// NewView returns an empty View.
func NewView() *View { return &View{peers: map[string]*Peer{}} }

// AddFromStore adds a node that has not been heard of yet.
func (v *View) AddFromStore(now time.Time, b Beacon) {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.peers[b.Host]
	if known != nil && known.beacon.Incarnation >= b.Incarnation {
		return
	}
	if known != nil && !known.silent && known.beacon.CallAddress == b.CallAddress {
		return
	}
	v.peers[b.Host] = &Peer{beacon: b, heard: now, silent: true}
}

// Update takes a beacon and tells what it changed. Beacons that were overtaken
// are dropped.
func (v *View) Update(now time.Time, b Beacon) UpdateResult {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.peers[b.Host]
	if known == nil {
		v.peers[b.Host] = &Peer{beacon: b, heard: now}
		return UpdateResult{Changed: true}
	}
	old := known.beacon
	if b.Incarnation < old.Incarnation || (b.Incarnation == old.Incarnation && b.Sequence <= old.Sequence) {
		return UpdateResult{Known: true}
	}
	news := UpdateResult{Known: true, Restarted: b.Incarnation != old.Incarnation, WasSilent: known.silent}
	news.Changed = news.Restarted || old.Upstream != b.Upstream || old.Phase != b.Phase || old.Stopping != b.Stopping
	known.beacon, known.heard, known.silent = b, now, false
	return news
}

// ApplyNotice takes a notice from an address, and returns the beacon of its sender
// with the new load. Notices that were overtaken, or whose sender is not known,
// are dropped.
func (v *View) ApplyNotice(now time.Time, address string, n Notice) (Beacon, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, peer := range v.peers {
		if peer.beacon.GossipAddress != address || peer.silent || n.Sequence <= peer.beacon.Sequence {
			continue
		}
		peer.beacon.Sequence, peer.beacon.Load, peer.heard = n.Sequence, n.Load(), now
		return peer.beacon, true
	}
	return Beacon{}, false
}

// RecordActivity records another sign of life of a node.
func (v *View) RecordActivity(now time.Time, host string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if peer := v.peers[host]; peer != nil && !peer.silent {
		peer.heard = now
	}
}

// AdjustForPause adds the time in which this node could not listen.
func (v *View) AdjustForPause(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, peer := range v.peers {
		peer.heard = peer.heard.Add(d)
	}
}

// Expire marks nodes as silent, drops those that have long been so, and returns
// the nodes that have just fallen silent.
func (v *View) Expire(now time.Time) []Peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	var lost []Peer
	for host, peer := range v.peers {
		quiet := now.Sub(peer.heard)
		if quiet > forgetAfter {
			delete(v.peers, host)
			continue
		}
		if !peer.silent && quiet > max(SilenceTimeout, missedBeacons*peer.beacon.Interval) {
			peer.silent = true
			lost = append(lost, *peer)
		}
	}
	return lost
}

// Peers returns all nodes in the order of their names.
func (v *View) Peers() []Peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	peers := make([]Peer, 0, len(v.peers))
	for _, peer := range v.peers {
		peers = append(peers, *peer)
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].beacon.Host < peers[j].beacon.Host })
	return peers
}

// Serving returns the nodes whose upstream takes calls of a service. Silent
// nodes are returned only when there is no other.
func (v *View) Serving(service string) []Peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	var live, silent []Peer
	for _, peer := range v.peers {
		b := peer.beacon
		if b.Service != service || b.Phase != Ready || b.Stopping {
			continue
		}
		if peer.silent {
			silent = append(silent, *peer)
		} else {
			live = append(live, *peer)
		}
	}
	if len(live) == 0 {
		return silent
	}
	return live
}
