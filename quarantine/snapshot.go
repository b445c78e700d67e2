package quarantine

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/banyancross/banyancross/timeline"
)

const (
	// maxSavedBlocks and maxSavedCounts bound the blocked and the other requests of a
	// Snapshot.
	maxSavedBlocks = 512
	maxSavedCounts = 512
	// unsavedGrace and answerGrace are the times within which the node that counted a crash
	// stores it, and the node that got an answer removes the request. Later any other node
	// does.
	unsavedGrace = 10 * time.Second
	answerGrace  = time.Minute
)

// Snapshot holds what all nodes know of the requests that have crashed upstreams, so that
// it outlives each of them.
type Snapshot struct {
	// Requests are sorted by fingerprint.
	Requests []Record `cbor:"1,keyasint,omitempty"`
}

// counts returns the counts by fingerprint and source.
func (s Snapshot) counts() map[uint64]map[uint32]sourceCount {
	requests := make(map[uint64]map[uint32]sourceCount, len(s.Requests))
	for _, record := range s.Requests {
		counts := make(map[uint32]sourceCount, len(record.Counts))
		for _, count := range record.Counts {
			counts[count.Source] = sourceCount{crashes: count.Crashes, answered: count.Answered}
		}
		requests[record.Fingerprint] = counts
	}
	return requests
}

// Snapshot returns what this node knows of the requests that were not answered since their
// latest crash.
func (b *Blocklist) Snapshot() Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.snapshot(b.latest((*crashState).blocked))
}

// snapshot returns a Snapshot of the first of the blocked requests and the latest of the
// others; b.mu must be held.
func (b *Blocklist) snapshot(blocked []uint64) Snapshot {
	counted := b.latest((*crashState).counted)
	var s Snapshot
	for _, fingerprint := range slices.Concat(blocked[:min(len(blocked), maxSavedBlocks)], counted[:min(len(counted), maxSavedCounts)]) {
		s.Requests = append(s.Requests, b.requests[fingerprint].record(fingerprint))
	}
	slices.SortFunc(s.Requests, func(a, b Record) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return s
}

// Trial returns a Snapshot with a trial of a blocked request, or false if none is due. The
// request may run once when that Snapshot has been stored in place of the counts that were
// restored last, so that nodes never run trials at the same time.
func (b *Blocklist) Trial(now time.Time, fingerprint uint64) (Snapshot, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.requests[fingerprint]
	if c == nil || !c.blocked() || !c.trialDue(now) {
		return Snapshot{}, false
	}
	blocked := slices.DeleteFunc(b.latest((*crashState).blocked), func(other uint64) bool { return other == fingerprint })
	s := b.snapshot(slices.Insert(blocked, 0, fingerprint))
	for i, record := range s.Requests {
		if record.Fingerprint == fingerprint {
			// A source of its own cannot be mistaken for a crash that is counted meanwhile.
			s.Requests[i].Counts = append(record.Counts, SourceCount{Source: rand.Uint32(), Crashes: 1})
			s.Requests[i].sort()
		}
	}
	return s, true
}

// Saved records that a Snapshot of this node is stored in a timeline.
func (b *Blocklist) Saved(now time.Time, number uint64, s Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	saved := s.counts()
	for fingerprint, counts := range saved {
		b.request(fingerprint).raiseAll(now, counts)
	}
	if number < b.position.Timeline() {
		// The store was restored since, and may have lost them.
		return
	}
	b.restored = false
	for fingerprint, c := range b.requests {
		c.saved = saved[fingerprint]
	}
}

// Unstored records that no counts are stored at a position, or none that can be read. That
// clears no request.
func (b *Blocklist) Unstored(position timeline.Position) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.enter(position)
	b.forgetSaved()
}

// forgetSaved records that it is not known what is stored; b.mu must be held.
func (b *Blocklist) forgetSaved() {
	for _, c := range b.requests {
		c.saved = nil
	}
}

// enter records that the store was read at a position. If it was restored from a copy since
// the latest read, counts that were stored may be lost, which clears no request; b.mu must be
// held.
func (b *Blocklist) enter(position timeline.Position) {
	if position.Timeline() <= b.position.Timeline() {
		return
	}
	b.restored = b.restored || b.position.Timeline() != 0
	b.forgetSaved()
	b.position = timeline.NewPosition(position.Timeline(), 0)
}

// Restore adds the stored counts unless those of a later position were added. A request that
// is no longer stored is cleared of the crashes that were: another node has had an answer,
// or an operator has removed it.
func (b *Blocklist) Restore(now time.Time, position timeline.Position, s Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.enter(position)
	if !b.position.Before(position) {
		return
	}
	b.position = position
	stored := s.counts()
	for fingerprint, c := range b.requests {
		if stored[fingerprint] != nil {
			continue
		}
		for source, count := range c.saved {
			c.raise(now, source, sourceCount{answered: count.crashes})
		}
		c.saved = nil
	}
	for fingerprint, counts := range stored {
		c := b.request(fingerprint)
		c.raiseAll(now, counts)
		c.saved = counts
	}
	b.evict()
}

// Unsaved reports whether the store has a request that was answered here, or lacks what
// another node should have stored meanwhile, or what it may have lost.
func (b *Blocklist) Unsaved(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.requests {
		sinceChange := now.Sub(c.changedAt)
		answered := c.crashes() == 0 && c.saved != nil && (c.answered || sinceChange > answerGrace)
		lacking := c.crashes() > 0 && !maps.Equal(c.counts, c.saved) && (sinceChange > unsavedGrace || b.restored)
		if answered || lacking {
			return true
		}
	}
	return false
}
