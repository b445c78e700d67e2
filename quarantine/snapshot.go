package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
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
	blocked := b.latest((*crashState).blocked)
	counted := b.latest((*crashState).counted)
	var s Snapshot
	for _, fingerprint := range slices.Concat(blocked[:min(len(blocked), maxSavedBlocks)], counted[:min(len(counted), maxSavedCounts)]) {
		s.Requests = append(s.Requests, b.requests[fingerprint].record(fingerprint))
	}
	slices.SortFunc(s.Requests, func(a, b Record) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return s
}

// Saved records that a Snapshot of this node is stored.
func (b *Blocklist) Saved(s Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	saved := s.counts()
	for fingerprint, c := range b.requests {
		c.saved = saved[fingerprint]
	}
}

// Restore adds the stored counts unless those of a later version were added. A request that
// is no longer stored is cleared of the crashes that were: another node has had an answer,
// or an operator has removed it.
func (b *Blocklist) Restore(now time.Time, version uint64, s Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if version <= b.version {
		return
	}
	b.version = version
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
		for source, count := range counts {
			c.raise(now, source, count)
		}
		c.saved = counts
	}
	b.evict()
}

// Unsaved reports whether the store has a request that was answered here, or lacks what
// another node should have stored meanwhile.
func (b *Blocklist) Unsaved(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.requests {
		sinceChange := now.Sub(c.changedAt)
		answered := c.crashes() == 0 && c.saved != nil && (c.answered || sinceChange > answerGrace)
		lacking := c.crashes() > 0 && !maps.Equal(c.counts, c.saved) && sinceChange > unsavedGrace
		if answered || lacking {
			return true
		}
	}
	return false
}
