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
	// suspicionSpan is how long a suspect may take to refute.
	suspicionSpan = 3 * time.Second
	// forgetSpan is how long a member that is down or left is remembered.
	forgetSpan = 24 * time.Hour
	// formerSpan is how long a replaced incarnation is remembered.
	formerSpan = time.Hour
	// settleSpan is how long after its start a node takes a record of its host
	// with a later start for one of a former incarnation with a fast clock.
	settleSpan = 30 * time.Second
)

// View is one node's view of the fleet; it is safe for concurrent use.
type View struct {
	mu         sync.Mutex
	self       Member
	born       time.Time
	records    map[string]*record
	former     map[string]FormerIncarnation // by incarnation
	rng        *rand.Rand
	digest     uint64
	next       int
	superseded bool
	snapshot   atomic.Pointer[Snapshot]
}

// Snapshot is the fleet at one moment, ordered by host; it is not changed.
type Snapshot struct {
	members []Member
	former  []FormerIncarnation
	rings   rings
}

// FormerIncarnation is an incarnation that has left, is down, or was replaced by another
// one of its host.
type FormerIncarnation struct {
	Host          string    `cbor:"1,keyasint"`
	Incarnation   string    `cbor:"2,keyasint"`
	FailureDomain string    `cbor:"3,keyasint"`
	Ended         time.Time `cbor:"4,keyasint"`
}

// FormerIncarnations returns the incarnations that went during the last hour.
func (s *Snapshot) FormerIncarnations() []FormerIncarnation { return s.former }

// Members returns all members, this node included.
func (s *Snapshot) Members() []Member { return s.members }

// Member returns the member of the host.
func (s *Snapshot) Member(host string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(s.members, host, func(m Member, host string) int {
		return cmp.Compare(m.Host, host)
	})
	if !ok {
		return Member{}, false
	}
	return s.members[i], true
}

// FailureDomains returns the names of all failure domains, in order.
func (s *Snapshot) FailureDomains() []string {
	var names []string
	for _, member := range s.members {
		names = append(names, member.FailureDomain)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// NewView returns the view of a node that knows only itself.
func NewView(now time.Time, self Member, rng *rand.Rand) *View {
	v := &View{self: self, born: now, rng: rng, records: map[string]*record{}, former: map[string]FormerIncarnation{}}
	v.records[self.Host] = &record{member: self}
	v.publish()
	return v
}

// Snapshot returns the fleet as it is now.
func (v *View) Snapshot() *Snapshot { return v.snapshot.Load() }

// Self returns this node's own record.
func (v *View) Self() Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.self
}

// Superseded tells whether a later incarnation of this host has taken over.
func (v *View) Superseded() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.superseded
}

// Digest returns a hash of the view; equal views have equal digests.
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
	v.raise()
	return v.self
}

// raise stores the own record under a new version.
func (v *View) raise() {
	v.self.Version++
	v.records[v.self.Host] = &record{member: v.self}
	v.publish()
}

// Merge takes records from another node and returns those that were news,
// which are to be passed on.
func (v *View) Merge(now time.Time, members []Member) []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	var news []Member
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
		news = append(news, member)
	}
	if refuted {
		v.raise()
		return append(news, v.self)
	}
	if len(news) > 0 {
		v.publish()
	}
	return news
}

// mergeSelf handles a record of this host and tells whether to refute it.
func (v *View) mergeSelf(now time.Time, member Member) bool {
	if !member.supersedes(v.self) {
		v.replaced(now, member, v.self.Incarnation)
		return false
	}
	if member.Incarnation == v.self.Incarnation {
		v.self.Version = max(v.self.Version, member.Version)
		return true
	}
	if now.Sub(v.born) > settleSpan {
		v.superseded = true
		return false
	}
	v.replaced(now, member, v.self.Incarnation)
	v.self.StartedUnixNano = member.StartedUnixNano + 1
	return true
}

func (v *View) store(now time.Time, member Member) {
	if known, ok := v.records[member.Host]; ok {
		v.replaced(now, known.member, member.Incarnation)
	}
	r := &record{member: member}
	switch member.Status {
	case Alive:
		delete(v.former, member.Incarnation)
	case Suspect:
		r.suspected = now
	case Down, Left:
		r.downSince = now
		v.replaced(now, member, "")
	}
	v.records[member.Host] = r
}

// replaced remembers an incarnation that gives way to another, or to none.
func (v *View) replaced(now time.Time, old Member, incarnation string) {
	if old.Incarnation == incarnation {
		return
	}
	v.former[old.Incarnation] = FormerIncarnation{
		Host: old.Host, Incarnation: old.Incarnation, FailureDomain: old.FailureDomain, Ended: now,
	}
}

// MergeFormerIncarnations takes former incarnations from another node.
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

// Suspect marks a member that did not answer and returns its record as news;
// ok is false when the record has changed meanwhile.
func (v *View) Suspect(now time.Time, member Member) (suspect Member, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	known, found := v.records[member.Host]
	if !found || known.member.Incarnation != member.Incarnation ||
		known.member.Version != member.Version || known.member.Status != Alive {
		return Member{}, false
	}
	known.member.Status = Suspect
	known.suspected = now
	v.publish()
	return known.member, true
}

// Expire declares suspects down whose time is over, forgets members long gone,
// and returns the news.
func (v *View) Expire(now time.Time) []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	var news []Member
	forgotten := false
	for host, r := range v.records {
		switch {
		case r.member.Status == Suspect && now.Sub(r.suspected) >= suspicionSpan:
			r.member.Status = Down
			r.downSince = now
			v.replaced(now, r.member, "")
			news = append(news, r.member)
		case r.member.Status >= Down && now.Sub(r.downSince) >= forgetSpan:
			delete(v.records, host)
			forgotten = true
		}
	}
	for incarnation, f := range v.former {
		if now.Sub(f.Ended) >= formerSpan {
			delete(v.former, incarnation)
			forgotten = true
		}
	}
	if len(news) > 0 || forgotten {
		v.publish()
	}
	return news
}

// publish rebuilds the snapshot and the digest.
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
