package quarantine

import (
	"maps"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyancross/banyancross/timeline"
)

const (
	// announceTime is how long nodes tell each other a crash, a block or an answer. Nodes
	// that miss it learn of it from the stored counts.
	announceTime = time.Minute
	// maxRecords bounds the records sent to other nodes at a time.
	maxRecords = 24
)

// Blocklist counts, over all nodes, the upstreams that ended while they ran a
// request, and blocks it at blockThreshold until it is answered, however long that
// takes. maxTrials runs, each stored beforehand, may bring that answer. Unlike Quarantine
// it does not run suspects alone, so that an upstream that ended for another reason does
// not delay the requests that it ran; one answer clears a request. It is safe for
// concurrent use.
//
// The counts at each source only grow, and so do those that were followed by an answer. So
// nodes can learn them in any order, any number of times, and from each other or the store.
type Blocklist struct {
	notify func()

	mu sync.Mutex
	// source is that of the crashes counted here from now on.
	source   uint32
	requests map[uint64]*crashState
	// position is that of the latest stored counts that were read.
	position timeline.Position
	// restored means that the store was restored from a copy after counts were stored.
	restored bool
}

// BlocklistOption configures a Blocklist.
type BlocklistOption func(*Blocklist)

// WithCrashNotify calls notify, which must not block, after crashes at this node.
func WithCrashNotify(notify func()) BlocklistOption {
	return func(b *Blocklist) { b.notify = notify }
}

// NewBlocklist returns an empty Blocklist.
func NewBlocklist(options ...BlocklistOption) *Blocklist {
	b := &Blocklist{source: rand.Uint32(), notify: func() {}, requests: map[uint64]*crashState{}}
	for _, option := range options {
		option(b)
	}
	return b
}

// Crashed records that an upstream ended while it ran the requests.
func (b *Blocklist) Crashed(now time.Time, fingerprints []uint64) {
	b.mu.Lock()
	for _, fingerprint := range fingerprints {
		c := b.request(fingerprint)
		if c.crashes() == 0 && now.Sub(c.changedAt) > 2*announceTime {
			// No node announces the other counts any more.
			maps.DeleteFunc(c.counts, func(source uint32, _ sourceCount) bool { return source != b.source })
		}
		c.countHere(now, b.source)
	}
	b.evict()
	b.mu.Unlock()
	if len(fingerprints) > 0 {
		b.notify()
	}
}

// request returns the state of a request, a new one if there is none; b.mu must be held.
func (b *Blocklist) request(fingerprint uint64) *crashState {
	c := b.requests[fingerprint]
	if c == nil {
		c = &crashState{counts: map[uint32]sourceCount{}}
		b.requests[fingerprint] = c
	}
	return c
}

// evict deletes requests if there are more than maxEntries, blocked ones last and others by
// their age. Other nodes may still know their counts here, so later crashes are counted at
// another source; b.mu must be held.
func (b *Blocklist) evict() {
	if len(b.requests) <= maxEntries {
		return
	}
	order := b.latest((*crashState).blocked)
	order = append(order, b.latest((*crashState).counted)...)
	order = append(order, b.latest(func(c *crashState) bool { return c.crashes() == 0 })...)
	for _, fingerprint := range order[maxEntries*7/8:] {
		delete(b.requests, fingerprint)
	}
	b.source = rand.Uint32()
}

// Answered records that an upstream answered the request, which clears it.
func (b *Blocklist) Answered(now time.Time, fingerprint uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.requests[fingerprint]; c != nil && c.crashes() > 0 {
		c.clear()
		c.answered = true
		c.changeHere(now)
	}
}

// Blocked reports whether the request must not run.
func (b *Blocklist) Blocked(fingerprint uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.requests[fingerprint]
	return c != nil && c.blocked()
}

// Refuses reports whether the request must not run now, not even for a trial.
func (b *Blocklist) Refuses(now time.Time, fingerprint uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.requests[fingerprint]
	return c != nil && c.blocked() && !c.trialDue(now)
}

// BlockedRequests returns how many requests must not run.
func (b *Blocklist) BlockedRequests() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.latest((*crashState).blocked))
}

// RecentRecords returns what has changed at this node and what was blocked within
// announceTime, and the blocks that are not stored yet, the latest first.
func (b *Blocklist) RecentRecords(now time.Time) []Record {
	return b.records(func(c *crashState) bool {
		return now.Sub(c.ownChangeAt) <= announceTime ||
			c.blocked() && (now.Sub(c.changedAt) <= announceTime || !maps.Equal(c.counts, c.saved))
	})
}

// Records returns the latest records for a node that has just started, the latest first.
func (b *Blocklist) Records() []Record {
	return b.records(func(c *crashState) bool { return c.crashes() > 0 })
}

// records returns the latest records of the requests that a condition selects.
func (b *Blocklist) records(selects func(*crashState) bool) []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	latest := b.latest(selects)
	records := make([]Record, 0, min(len(latest), maxRecords))
	for _, fingerprint := range latest[:min(len(latest), maxRecords)] {
		c := b.requests[fingerprint]
		record := c.record(fingerprint)
		own := c.counts[b.source]
		record.Crashes, record.Answered = own.crashes-own.answered, c.answered && c.crashes() == 0
		records = append(records, record)
	}
	return records
}

// latest returns the requests that a condition selects, the latest changed first; b.mu must
// be held.
func (b *Blocklist) latest(selects func(*crashState) bool) []uint64 {
	var order []uint64
	for fingerprint, c := range b.requests {
		if selects(c) {
			order = append(order, fingerprint)
		}
	}
	sort.Slice(order, func(i, j int) bool {
		first, second := b.requests[order[i]].changedAt, b.requests[order[j]].changedAt
		return first.After(second) || first.Equal(second) && order[i] < order[j]
	})
	return order
}

// Merge adds the records of another node, of one incarnation of it.
func (b *Blocklist) Merge(now time.Time, host string, incarnation int64, records []Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, record := range records {
		if len(record.Counts) == 0 {
			b.mergeEarlier(now, host, incarnation, record)
			continue
		}
		c := b.request(record.Fingerprint)
		for _, count := range record.Counts {
			c.raise(now, count.Source, sourceCount{crashes: count.Crashes, answered: count.Answered})
		}
	}
	b.evict()
}

// mergeEarlier adds the record of a node of an earlier version; b.mu must be held.
func (b *Blocklist) mergeEarlier(now time.Time, host string, incarnation int64, record Record) {
	if known := b.requests[record.Fingerprint]; record.Answered {
		if known != nil && known.crashes() > 0 {
			known.clear()
			known.change(now)
		}
		return
	}
	source := uint32(xxhash.Sum64String(host)) ^ uint32(incarnation)
	b.request(record.Fingerprint).raise(now, source, sourceCount{crashes: record.Crashes})
}
