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
	// endedLifetime is how long an ended count is kept beyond crashLifetime, so that a
	// message about the crash that was late does not begin it again.
	endedLifetime = crashLifetime / 2
	// reportDelay is how much later than an answer another node's crash may seem to be
	// that preceded it: the time that messages take.
	reportDelay = time.Second
	// maxRecords and maxBlocks bound the records and blocks sent to other nodes at a time.
	maxRecords = 24
	maxBlocks  = 16
)

// Record is one node's crash count of a request as other nodes receive it.
type Record struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Crashes counts the upstreams that ended while they ran the request.
	Crashes uint32 `cbor:"2,keyasint,omitempty"`
	// Answered is set if an upstream has answered the request since.
	Answered bool `cbor:"3,keyasint,omitempty"`
	// Remaining is the number of milliseconds until the count, or the answer's effect,
	// ends, 0 if the sender does not tell.
	Remaining uint32 `cbor:"4,keyasint,omitempty"`
}

// Block is a request that a node knows to be blocked, from whichever nodes, as other
// nodes receive it.
type Block struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Remaining is the number of milliseconds until the block ends.
	Remaining uint32 `cbor:"2,keyasint"`
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
	ownCrashes uint32
	// peerCrashes has an entry for each start of a node, whose count begins at 0.
	peerCrashes map[source]uint32
	// relayed means that another node knows the request to be blocked.
	relayed  bool
	answered bool
	// clearedAt is the time of the latest answer, zero if there was none.
	clearedAt time.Time
	// updatedAt is the time of the latest crash or own answer.
	updatedAt time.Time
}

// source is one start of a node.
type source struct {
	host        string
	incarnation int64
}

// ended reports whether the count no longer applies.
func (c *crashCount) ended(now time.Time) bool { return now.Sub(c.updatedAt) > crashLifetime }

// blocks reports whether the count blocks its request.
func (c *crashCount) blocks(now time.Time) bool {
	if c.ended(now) {
		return false
	}
	total := c.ownCrashes
	for _, crashes := range c.peerCrashes {
		total += crashes
	}
	return c.relayed || total >= blockThreshold
}

// clear removes the crashes, since the request was answered.
func (c *crashCount) clear(answeredAt time.Time) {
	c.ownCrashes, c.peerCrashes, c.relayed, c.clearedAt = 0, map[source]uint32{}, false, answeredAt
}

// precedesAnswer reports whether a crash that another node reports was before the latest
// answer.
func (c *crashCount) precedesAnswer(crashedAt time.Time) bool {
	return c != nil && !c.clearedAt.IsZero() && !crashedAt.After(c.clearedAt.Add(reportDelay))
}

// remaining returns the milliseconds for which an event counts, at least 1.
func remaining(now, at time.Time) uint32 {
	left := crashLifetime - now.Sub(at)
	return uint32(min(max(left, time.Millisecond), crashLifetime).Milliseconds())
}

// NewBlocklist returns an empty Blocklist.
func NewBlocklist() *Blocklist { return &Blocklist{counts: map[uint64]*crashCount{}} }

// Crashed records that an upstream ended while it ran the requests.
func (b *Blocklist) Crashed(now time.Time, fingerprints []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, fingerprint := range fingerprints {
		c := b.crashCount(now, now, fingerprint)
		c.ownCrashes++
		c.answered, c.updatedAt = false, now
	}
	b.expire(now)
}

// crashCount returns the count of a request that crashed an upstream, a new one if there
// is none or it has ended; b.mu must be held.
func (b *Blocklist) crashCount(now, crashedAt time.Time, fingerprint uint64) *crashCount {
	c := b.counts[fingerprint]
	if c == nil || c.ended(now) {
		c = &crashCount{peerCrashes: map[source]uint32{}, updatedAt: crashedAt}
		b.counts[fingerprint] = c
	}
	return c
}

// expire deletes expired counts, and arbitrary ones above maxEntries; b.mu must
// be held.
func (b *Blocklist) expire(now time.Time) {
	for fingerprint, c := range b.counts {
		if now.Sub(c.updatedAt) > crashLifetime+endedLifetime || len(b.counts) > maxEntries {
			delete(b.counts, fingerprint)
		}
	}
}

// Answered records that an upstream answered the request, which clears it.
func (b *Blocklist) Answered(now time.Time, fingerprint uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.counts[fingerprint]; c != nil && !c.ended(now) {
		c.clear(now)
		c.answered, c.updatedAt = true, now
	}
}

// Blocked reports whether the request must not run.
func (b *Blocklist) Blocked(now time.Time, fingerprint uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts[fingerprint]
	return c != nil && c.blocks(now)
}

// Records returns this node's records for other nodes, the latest first.
func (b *Blocklist) Records(now time.Time) []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	latest := b.latest(maxRecords, func(c *crashCount) bool { return !c.ended(now) && (c.ownCrashes > 0 || c.answered) })
	records := make([]Record, 0, len(latest))
	for _, fingerprint := range latest {
		c := b.counts[fingerprint]
		at := c.updatedAt
		if c.answered {
			at = c.clearedAt
		}
		records = append(records, Record{Fingerprint: fingerprint, Crashes: c.ownCrashes, Answered: c.answered, Remaining: remaining(now, at)})
	}
	return records
}

// Blocks returns the requests that this node knows to be blocked, the latest first. Nodes
// that have lost their counts in a restart learn the blocks from the others.
func (b *Blocklist) Blocks(now time.Time) []Block {
	b.mu.Lock()
	defer b.mu.Unlock()
	latest := b.latest(maxBlocks, func(c *crashCount) bool { return c.blocks(now) })
	blocks := make([]Block, 0, len(latest))
	for _, fingerprint := range latest {
		blocks = append(blocks, Block{Fingerprint: fingerprint, Remaining: remaining(now, b.counts[fingerprint].updatedAt)})
	}
	return blocks
}

// latest returns the requests whose count was updated last among those that a condition
// selects, up to a limit; b.mu must be held.
func (b *Blocklist) latest(limit int, selects func(*crashCount) bool) []uint64 {
	order := make([]uint64, 0, len(b.counts))
	for fingerprint, c := range b.counts {
		if selects(c) {
			order = append(order, fingerprint)
		}
	}
	sort.Slice(order, func(i, j int) bool { return b.counts[order[i]].updatedAt.After(b.counts[order[j]].updatedAt) })
	return order[:min(len(order), limit)]
}

// Merge stores the records and blocks of another node, of one incarnation of it.
func (b *Blocklist) Merge(now time.Time, host string, incarnation int64, records []Record, blocks []Block) {
	b.mu.Lock()
	defer b.mu.Unlock()
	from := source{host: host, incarnation: incarnation}
	for _, record := range records {
		at := eventTime(now, record.Remaining)
		known := b.counts[record.Fingerprint]
		if record.Answered {
			if known != nil && !known.updatedAt.After(at.Add(reportDelay)) {
				known.clear(at)
			}
			continue
		}
		repeated := known != nil && !known.ended(now) && known.peerCrashes[from] == record.Crashes
		if repeated || known.outdates(now, at) || known.precedesAnswer(at) {
			continue
		}
		c := b.crashCount(now, at, record.Fingerprint)
		c.peerCrashes[from] = record.Crashes
		c.renew(at)
	}
	for _, block := range blocks {
		at := eventTime(now, block.Remaining)
		known := b.counts[block.Fingerprint]
		if known.outdates(now, at) || known.precedesAnswer(at) || known != nil && known.blocks(now) {
			continue
		}
		c := b.crashCount(now, at, block.Fingerprint)
		c.relayed = true
		c.renew(at)
	}
}

// outdates reports whether the count has ended and includes a crash that another node
// reports.
func (c *crashCount) outdates(now, crashedAt time.Time) bool {
	return c != nil && c.ended(now) && crashedAt.Sub(c.updatedAt) < endedLifetime
}

// renew sets the time of the latest crash.
func (c *crashCount) renew(crashedAt time.Time) {
	if crashedAt.After(c.updatedAt) {
		c.updatedAt = crashedAt
	}
}

// eventTime returns the time of an event that counts for a number of milliseconds more,
// now if the number is 0.
func eventTime(now time.Time, remaining uint32) time.Time {
	if remaining == 0 {
		return now
	}
	return now.Add(min(time.Duration(remaining)*time.Millisecond, crashLifetime) - crashLifetime)
}
