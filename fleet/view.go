package fleet

import (
	"slices"
	"sort"
	"sync"
	"time"
)

const (
	// SilenceTimeout is the least time without a message after which a node counts
	// as silent and calls avoid it: four regular beacon intervals.
	SilenceTimeout = 900 * time.Millisecond
	// maxMissedBeacons is the number of announced beacon intervals after which a
	// node counts as silent, if that is longer.
	maxMissedBeacons = 2
	// removeAfter is the time without a message after which a node is removed. It
	// exceeds the lifetime of the node's entry in the store.
	removeAfter = 2 * time.Minute
	// pingDuration is how long a suspected node is pinged. Later it is known to live
	// by its next regular beacon.
	pingDuration = 30 * time.Second
)

// MergeResult describes what a beacon changed in the view.
type MergeResult struct {
	// Known means that the sender was in the view before.
	Known bool
	// Restarted means that the beacon is from a later incarnation of the sender.
	Restarted bool
	// Changed means that the node is new or restarted, or that its upstream, phase
	// or Stopping flag changed.
	Changed bool
	// WasSilent means that the sender was silent before.
	WasSilent bool
	// Later is the known beacon of a later incarnation of the sender, nil if there
	// is none. The sender's clock was set back, so that its incarnation must be
	// raised.
	Later *Beacon
}

// Peer is the last received state of a node.
type Peer struct {
	// beacon is never changed, but replaced.
	beacon *Beacon
	// key identifies the node's upstream, and group the upstreams of its service in
	// its failure domain.
	key, group   string
	rank         rankKey
	lastReceived time.Time
	silent       bool
	// suspectedAt is when a call to the node last failed, zero if it has sent a
	// message since.
	suspectedAt time.Time
}

// update sets the beacon.
func (p *Peer) update(b *Beacon) {
	old := p.beacon
	p.beacon = b
	if old != nil && old.Host == b.Host && old.Upstream == b.Upstream && old.Service == b.Service && old.FailureDomain == b.FailureDomain {
		return
	}
	p.key, p.group, p.rank = UpstreamKey(b), b.Service+"/"+b.FailureDomain, newRankKey(b.Host)
}

// UpstreamKey returns the name that identifies the upstream of a node.
func UpstreamKey(b *Beacon) string { return b.Host + "/" + b.Upstream }

// Beacon returns the latest beacon, with the load of later notices; it must not be
// changed.
func (p *Peer) Beacon() *Beacon { return p.beacon }

// Key returns the name that identifies the node's upstream.
func (p *Peer) Key() string { return p.key }

// Group returns the name of the upstreams of the same service in the same failure
// domain.
func (p *Peer) Group() string { return p.group }

// LastReceived returns when the node last showed activity; pauses of this node are
// left out.
func (p *Peer) LastReceived() time.Time { return p.lastReceived }

// Silent reports whether the node exceeded its timeout, or is only known from the
// store.
func (p *Peer) Silent() bool { return p.silent }

// View holds the last received state of all nodes; it is safe for concurrent use.
type View struct {
	mu    sync.Mutex
	peers map[string]*Peer
	// sorted holds the peers sorted by host.
	sorted []*Peer
}

// NewView returns an empty View.
func NewView() *View { return &View{peers: map[string]*Peer{}} }

// add adds or replaces a node; v.mu must be held.
func (v *View) add(peer Peer, b *Beacon) {
	peer.update(b)
	old := v.peers[b.Host]
	if old != nil {
		*old = peer
		return
	}
	added := &peer
	v.peers[b.Host] = added
	at := sort.Search(len(v.sorted), func(i int) bool { return v.sorted[i].beacon.Host >= b.Host })
	v.sorted = slices.Insert(v.sorted, at, added)
}

// remove removes a node; v.mu must be held.
func (v *View) remove(host string) {
	delete(v.peers, host)
	v.sorted = slices.DeleteFunc(v.sorted, func(peer *Peer) bool { return peer.beacon.Host == host })
}

// AddFromStore adds a node, as silent, from its entry in the store, and reports
// whether it did. It replaces a known one only by a later incarnation, and a node
// that is not silent only if the call address differs.
func (v *View) AddFromStore(now time.Time, b Beacon) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	peer := v.peers[b.Host]
	if peer != nil && peer.beacon.Incarnation >= b.Incarnation {
		return false
	}
	if peer != nil && !peer.silent && peer.beacon.CallAddress == b.CallAddress {
		return false
	}
	v.add(Peer{lastReceived: now, silent: true}, &b)
	return true
}

// Merge applies a beacon to the view and returns what it changed. Beacons older
// than the last received message are dropped.
func (v *View) Merge(now time.Time, b Beacon) MergeResult {
	v.mu.Lock()
	defer v.mu.Unlock()
	peer := v.peers[b.Host]
	if peer == nil {
		v.add(Peer{lastReceived: now}, &b)
		return MergeResult{Changed: true}
	}
	old := peer.beacon
	if b.Incarnation < old.Incarnation {
		return MergeResult{Known: true, Later: old}
	}
	if b.Incarnation == old.Incarnation && b.Sequence <= old.Sequence {
		return MergeResult{Known: true}
	}
	result := MergeResult{Known: true, Restarted: b.Incarnation != old.Incarnation, WasSilent: peer.silent}
	result.Changed = result.Restarted || old.Upstream != b.Upstream || old.Phase != b.Phase || old.Stopping != b.Stopping
	peer.update(&b)
	peer.lastReceived, peer.silent, peer.suspectedAt = now, false, time.Time{}
	return result
}

// ApplyNotice updates the load of the node with a gossip address and returns its
// beacon. It returns false for notices that are older than the last received
// message or whose sender is silent or unknown.
func (v *View) ApplyNotice(now time.Time, address string, n Notice) (*Beacon, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, peer := range v.peers {
		if peer.beacon.GossipAddress != address || peer.silent || n.Sequence <= peer.beacon.Sequence {
			continue
		}
		b := *peer.beacon
		// A notice does not say whether the upstream is cold.
		cold := b.Load.Cold
		b.Sequence, b.Load = n.Sequence, n.Load()
		b.Load.Cold = cold
		peer.update(&b)
		peer.lastReceived = now
		return &b, true
	}
	return nil, false
}

// RecordActivity restarts the silence timeout of a node that is not silent.
func (v *View) RecordActivity(now time.Time, host string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if peer := v.peers[host]; peer != nil && !peer.silent {
		peer.lastReceived = now
	}
}

// Suspect marks a node as silent after a call to it failed, unless it has shown
// activity since the call started, and reports whether it did.
func (v *View) Suspect(now, started time.Time, host string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	peer := v.peers[host]
	if peer == nil || peer.silent || peer.lastReceived.After(started) {
		return false
	}
	peer.silent, peer.suspectedAt = true, now
	return true
}

// Suspects returns the nodes that became suspected within pingDuration and have not
// sent a message since.
func (v *View) Suspects(now time.Time) []*Beacon {
	v.mu.Lock()
	defer v.mu.Unlock()
	var suspects []*Beacon
	for _, peer := range v.peers {
		if peer.silent && !peer.suspectedAt.IsZero() && now.Sub(peer.suspectedAt) < pingDuration {
			suspects = append(suspects, peer.beacon)
		}
	}
	return suspects
}

// AdjustForPause extends the silence timeouts by a pause of this node that has ended by
// now.
func (v *View) AdjustForPause(now time.Time, d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, peer := range v.peers {
		// A message that was received since the pause ended restarted the timeout.
		extended := peer.lastReceived.Add(d)
		if extended.After(now) {
			extended = now
		}
		if extended.After(peer.lastReceived) {
			peer.lastReceived = extended
		}
	}
}

// Expire marks nodes as silent after their timeout, removes those that sent
// nothing for removeAfter, and returns the newly silent ones.
func (v *View) Expire(now time.Time) []Peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	var newlySilent []Peer
	for host, peer := range v.peers {
		silence := now.Sub(peer.lastReceived)
		if silence > removeAfter {
			v.remove(host)
			continue
		}
		if !peer.silent && silence > max(SilenceTimeout, maxMissedBeacons*peer.beacon.Interval) {
			peer.silent = true
			newlySilent = append(newlySilent, *peer)
		}
	}
	return newlySilent
}

// Live returns the nodes other than the named one that are not silent, sorted by
// host.
func (v *View) Live(self string) []Peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	var live []Peer
	for _, peer := range v.sorted {
		if peer.beacon.Host != self && !peer.silent {
			live = append(live, *peer)
		}
	}
	return live
}

// HasLive reports whether there is a node other than the named one that is not
// silent.
func (v *View) HasLive(self string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, peer := range v.sorted {
		if !peer.silent && peer.beacon.Host != self {
			return true
		}
	}
	return false
}

// Len returns the number of nodes.
func (v *View) Len() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.sorted)
}

// Peer returns the named node and whether it is known.
func (v *View) Peer(host string) (Peer, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	peer := v.peers[host]
	if peer == nil {
		return Peer{}, false
	}
	return *peer, true
}

// Peers returns all nodes, sorted by host.
func (v *View) Peers() []Peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	peers := make([]Peer, len(v.sorted))
	for i, peer := range v.sorted {
		peers[i] = *peer
	}
	return peers
}

// ServingDomains returns the failure domains of the upstreams that Serving returns, each
// once.
func (v *View) ServingDomains(service string) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var domains []string
	for _, peer := range v.serving(service) {
		if !slices.Contains(domains, peer.beacon.FailureDomain) {
			domains = append(domains, peer.beacon.FailureDomain)
		}
	}
	return domains
}

// Serving returns the nodes whose upstream takes calls of a service. It returns
// silent nodes only if there are no others.
func (v *View) Serving(service string) []Peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	serving := v.serving(service)
	peers := make([]Peer, len(serving))
	for i, peer := range serving {
		peers[i] = *peer
	}
	return peers
}

// serving is Serving without copies; v.mu must be held.
func (v *View) serving(service string) []*Peer {
	var live, silent []*Peer
	for _, peer := range v.sorted {
		switch {
		case peer.beacon.Service != service || peer.beacon.Phase != Ready || peer.beacon.Stopping:
		case !peer.silent:
			live = append(live, peer)
		case len(live) == 0:
			silent = append(silent, peer)
		}
	}
	if len(live) == 0 {
		return silent
	}
	return live
}
