package quarantine

import (
	"sort"
	"sync"
	"time"
)

const (
	// blockThreshold is the number of crashes that blocks a request: the
	// operators' bound on its retries.
	blockThreshold = 3
	// crashLifetime is how long a crash count is kept after its last change.
	crashLifetime = time.Minute
	// maxRecords bounds the records sent to other nodes at a time.
	maxRecords = 24
)

// Record is one node's crash count of a request as other nodes receive it.
type Record struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Crashes counts the upstreams that ended while they ran the request.
	Crashes uint32 `cbor:"2,keyasint,omitempty"`
	// Answered is set if an upstream has answered the request since.
	Answered bool `cbor:"3,keyasint,omitempty"`
}

// Blocklist counts, over all nodes, the upstreams that ended while they ran a
// request, and blocks it at blockThreshold. Unlike Quarantine it does not run
// suspects alone, so that an upstream that ended for another reason does not
// delay the requests that it ran; one answer clears a request. It is safe for
// concurrent use.
type Blocklist struct {
	mu     sync.Mutex
	counts map[uint64]*crashCount
}

// crashCount counts the crashes of one request at this node and at its peers.
type crashCount struct {
	ownCrashes  uint32
	peerCrashes map[string]uint32
	answered    bool
	updatedAt   time.Time
}

// NewBlocklist returns an empty Blocklist.
func NewBlocklist() *Blocklist { return &Blocklist{counts: map[uint64]*crashCount{}} }

// Crashed records that an upstream ended while it ran the requests.
func (b *Blocklist) Crashed(now time.Time, fingerprints []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, fingerprint := range fingerprints {
		c := b.crashCount(now, fingerprint)
		c.ownCrashes++
		c.answered = false
	}
	b.expire(now)
}

// crashCount returns the count of a request, which it creates or renews; b.mu
// must be held.
func (b *Blocklist) crashCount(now time.Time, fingerprint uint64) *crashCount {
	c := b.counts[fingerprint]
	if c == nil {
		c = &crashCount{peerCrashes: map[string]uint32{}}
		b.counts[fingerprint] = c
	}
	c.updatedAt = now
	return c
}

// expire deletes expired counts, and arbitrary ones above maxEntries; b.mu must
// be held.
func (b *Blocklist) expire(now time.Time) {
	for fingerprint, c := range b.counts {
		if now.Sub(c.updatedAt) > crashLifetime || len(b.counts) > maxEntries {
			delete(b.counts, fingerprint)
		}
	}
}

// Answered records that an upstream answered the request, which clears it.
func (b *Blocklist) Answered(now time.Time, fingerprint uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.counts[fingerprint]; c != nil {
		c.ownCrashes, c.peerCrashes, c.answered, c.updatedAt = 0, map[string]uint32{}, true, now
	}
}

// Blocked reports whether the request must not run.
func (b *Blocklist) Blocked(now time.Time, fingerprint uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts[fingerprint]
	if c == nil || now.Sub(c.updatedAt) > crashLifetime {
		return false
	}
	total := c.ownCrashes
	for _, crashes := range c.peerCrashes {
		total += crashes
	}
	return total >= blockThreshold
}

// Records returns this node's records for other nodes, the latest first.
func (b *Blocklist) Records(now time.Time) []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	records := make([]Record, 0, maxRecords)
	order := make([]uint64, 0, len(b.counts))
	for fingerprint, c := range b.counts {
		if c.ownCrashes > 0 || c.answered {
			order = append(order, fingerprint)
		}
	}
	sort.Slice(order, func(i, j int) bool { return b.counts[order[i]].updatedAt.After(b.counts[order[j]].updatedAt) })
	for _, fingerprint := range order[:min(len(order), maxRecords)] {
		c := b.counts[fingerprint]
		records = append(records, Record{Fingerprint: fingerprint, Crashes: c.ownCrashes, Answered: c.answered})
	}
	return records
}

// Merge stores the records of another node.
func (b *Blocklist) Merge(now time.Time, host string, records []Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, record := range records {
		known := b.counts[record.Fingerprint]
		if record.Answered {
			if known != nil {
				known.ownCrashes, known.peerCrashes = 0, map[string]uint32{}
			}
			continue
		}
		if known != nil && known.peerCrashes[host] == record.Crashes {
			continue
		}
		b.crashCount(now, record.Fingerprint).peerCrashes[host] = record.Crashes
	}
}
