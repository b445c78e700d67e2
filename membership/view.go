package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// suspicionTimeout is how long a suspect may take to refute the suspicion.
	suspicionTimeout = 3 * time.Second
	// recordRetention is how long the record of a member that is down or left is
	// kept.
	recordRetention = 24 * time.Hour
	// formerRetention is how long a FormerIncarnation is kept.
	formerRetention = time.Hour
	// clockSkewWindow is how long after its start a node attributes a record of
	// its host with a later start time to a former incarnation with a fast clock;
	// after that, such a record is from a successor.
	clockSkewWindow = 30 * time.Second
)

// View is one node's view of the fleet; it is safe for concurrent use.
type View struct {
	mu         sync.Mutex
	self       Member
	startedAt  time.Time
	records    map[string]*record
	former     map[string]FormerIncarnation // by incarnation
	rng        *rand.Rand
	digest     uint64
	nextProbe  int
	superseded bool
	snapshot   atomic.Pointer[Snapshot]
}

// Snapshot is an immutable copy of the view, ordered by host.
type Snapshot struct {
	members []Member
	former  []FormerIncarnation
	rings   rings
}

// FormerIncarnation is an incarnation that has left, is down, or was replaced by
// another one of its host.
type FormerIncarnation struct {
	Host          string    `cbor:"1,keyasint"`
	Incarnation   string    `cbor:"2,keyasint"`
	FailureDomain string    `cbor:"3,keyasint"`
	Ended         time.Time `cbor:"4,keyasint"`
}

// FormerIncarnations returns the incarnations that ended within formerRetention.
func (s *Snapshot) FormerIncarnations() []FormerIncarnation { return s.former }

// Members returns all members, this node included.
func (s *Snapshot) Members() []Member { return s.members }

// Member returns the member with the given host.
func (s *Snapshot) Member(host string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(s.members, host, func(m Member, host string) int {
		return cmp.Compare(m.Host, host)
	})
	if !ok {
		return Member{}, false
	}
	return s.members[i], true
}

// FailureDomains returns the sorted names of all failure domains.
func (s *Snapshot) FailureDomains() []string {
	var names []string
	for _, member := range s.members {
		names = append(names, member.FailureDomain)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// NewView returns a view that contains only the node itself.
func NewView(now time.Time, self Member, rng *rand.Rand) *View {
	v := &View{self: self, startedAt: now, rng: rng, records: map[string]*record{}, former: map[string]FormerIncarnation{}}
	v.records[self.Host] = &record{member: self}
	v.publish()
	return v
}

// Snapshot returns the current snapshot.
func (v *View) Snapshot() *Snapshot { return v.snapshot.Load() }

// Self returns this node's own record.
func (v *View) Self() Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.self
}

// Superseded reports whether a later incarnation has replaced this one.
func (v *View) Superseded() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.superseded
}

// Digest returns a hash of all records; equal views have equal digests.
func (v *View) Digest() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.digest
}

// UpdateSelf changes this node's own record and returns its next version.
func (v *View) UpdateSelf(change func(*Member)) Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	change(&v.self)
	v.advanceVersion()
	return v.self
}

// advanceVersion stores this node's own record under the next version.
func (v *View) advanceVersion() {
	v.self.Version++
	v.records[v.self.Host] = &record{member: v.self}
	v.publish()
}

// Merge merges records from another node and returns those that changed the view,
// which must be forwarded to the neighbours.
func (v *View) Merge(now time.Time, members []Member) []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	var updates []Member
	refuted := false
	for _, member := range members {
		if member.Host == v.self.Host {
			refuted = v.mergeSelf(now, member) || refuted
			continue
		}
		known, ok := v.records[member.Host]
		if ok && !member.supersedes(known.member) {
			continue
		}
		v.store(now, member)
		updates = append(updates, member)
	}
	if refuted {
		v.advanceVersion()
		return append(updates, v.self)
	}
	if len(updates) > 0 {
		v.publish()
	}
	return updates
}

// mergeSelf handles a record of this host and reports whether to refute it.
func (v *View) mergeSelf(now time.Time, member Member) bool {
	if !member.supersedes(v.self) {
		v.addFormer(now, member, v.self.Incarnation)
		return false
	}
	if member.Incarnation == v.self.Incarnation {
		v.self.Version = max(v.self.Version, member.Version)
		return true
	}
	if now.Sub(v.startedAt) > clockSkewWindow {
		v.superseded = true
		return false
	}
	v.addFormer(now, member, v.self.Incarnation)
	v.self.StartedUnixNano = member.StartedUnixNano + 1
	return true
}

func (v *View) store(now time.Time, member Member) {
	if known, ok := v.records[member.Host]; ok {
		v.addFormer(now, known.member, member.Incarnation)
	}
	r := &record{member: member}
	switch member.Status {
	case Alive:
		delete(v.former, member.Incarnation)
	case Suspect:
		r.suspectedAt = now
	case Down, Left:
		r.downSince = now
		v.addFormer(now, member, "")
	}
	v.records[member.Host] = r
}

// addFormer records that the incarnation of old has ended, unless successor is that
// incarnation.
func (v *View) addFormer(now time.Time, old Member, successor string) {
	if old.Incarnation == successor {
		return
	}
	v.former[old.Incarnation] = FormerIncarnation{
		Host: old.Host, Incarnation: old.Incarnation, FailureDomain: old.FailureDomain, Ended: now,
	}
}

// MergeFormerIncarnations merges former incarnations from another node.
func (v *View) MergeFormerIncarnations(former []FormerIncarnation) {
	v.mu.Lock()
	defer v.mu.Unlock()
	changed := false
	for _, f := range former {
		if _, ok := v.former[f.Incarnation]; ok || f.Incarnation == v.self.Incarnation {
			continue
		}
		v.former[f.Incarnation] = f
		changed = true
	}
	if changed {
		v.publish()
	}
}

// Suspect marks a member that did not answer as suspect and returns its changed
// record; ok is false if the record has changed in the meantime.
func (v *View) Suspect(now time.Time, member Member) (suspect Member, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	known, found := v.records[member.Host]
	if !found || known.member.Incarnation != member.Incarnation ||
		known.member.Version != member.Version || known.member.Status != Alive {
		return Member{}, false
	}
	known.member.Status = Suspect
	known.suspectedAt = now
	v.publish()
	return known.member, true
}

// Expire declares suspects down after suspicionTimeout and returns their changed
// records. It also deletes records and former incarnations past their retention.
func (v *View) Expire(now time.Time) []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	var updates []Member
	removed := false
	for host, r := range v.records {
		switch {
		case r.member.Status == Suspect && now.Sub(r.suspectedAt) >= suspicionTimeout:
			r.member.Status = Down
			r.downSince = now
			v.addFormer(now, r.member, "")
			updates = append(updates, r.member)
		case r.member.Status >= Down && now.Sub(r.downSince) >= recordRetention:
			delete(v.records, host)
			removed = true
		}
	}
	for incarnation, f := range v.former {
		if now.Sub(f.Ended) >= formerRetention {
			delete(v.former, incarnation)
			removed = true
		}
	}
	if len(updates) > 0 || removed {
		v.publish()
	}
	return updates
}

// publish rebuilds the snapshot and the digest from the records.
func (v *View) publish() {
	members := make([]Member, 0, len(v.records))
	v.digest = 0
	for _, r := range v.records {
		members = append(members, r.member)
		v.digest ^= r.member.hash()
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	former := make([]FormerIncarnation, 0, len(v.former))
	for _, f := range v.former {
		former = append(former, f)
	}
	v.snapshot.Store(&Snapshot{members: members, former: former})
}
