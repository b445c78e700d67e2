package quarantine

import (
	"sync"
	"time"
)

const (
	// suspectSpan is how long a suspect must run alone.
	suspectSpan = time.Minute
	// quarantineSpan is how long a request is refused.
	quarantineSpan = 10 * time.Minute
	// maxEntries bounds each table.
	maxEntries = 4096
)

// Level tells how a request is treated.
type Level uint8

// The levels, in rising order.
const (
	Suspect Level = iota + 1
	Quarantined
)

// Entry tells another node about a request.
type Entry struct {
	Fingerprint uint64        `cbor:"1,keyasint"`
	Level       Level         `cbor:"2,keyasint"`
	Remaining   time.Duration `cbor:"3,keyasint"`
}

type sentence struct {
	level Level
	until time.Time
}

type run struct {
	count   int
	counted bool
}

// Quarantine is one node's record of crashes; it is safe for concurrent use.
type Quarantine struct {
	mu        sync.Mutex
	running   map[uint64]*run
	sentences map[uint64]sentence
	answered  map[uint64]struct{}
	former    map[uint64]struct{}
	spread    func([]Entry)
}

// Option configures a Quarantine.
type Option func(*Quarantine)

// WithBroadcast calls spread with each new entry.
func WithBroadcast(spread func([]Entry)) Option {
	return func(q *Quarantine) { q.spread = spread }
}

// New returns an empty Quarantine.
func New(options ...Option) *Quarantine {
	q := &Quarantine{
		running:   map[uint64]*run{},
		sentences: map[uint64]sentence{},
		answered:  map[uint64]struct{}{},
		former:    map[uint64]struct{}{},
		spread:    func([]Entry) {},
	}
	for _, option := range options {
		option(q)
	}
	return q
}

// Check tells whether the request must not run, and whether it must run
// alone.
func (q *Quarantine) Check(now time.Time, fingerprint uint64) (refused, alone bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	found, ok := q.sentences[fingerprint]
	if !ok {
		return false, false
	}
	if !now.Before(found.until) {
		delete(q.sentences, fingerprint)
		return false, false
	}
	return found.level == Quarantined, found.level == Suspect
}

// Begin records that the request runs.
func (q *Quarantine) Begin(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	found, ok := q.running[fingerprint]
	if !ok {
		found = &run{}
		q.running[fingerprint] = found
	}
	found.count++
}

// End records that the request runs no more; answered tells that the upstream
// gave its whole answer, which clears a suspect.
func (q *Quarantine) End(fingerprint uint64, answered bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if found, ok := q.running[fingerprint]; ok {
		found.count--
		if found.count <= 0 {
			delete(q.running, fingerprint)
		}
	}
	if !answered {
		return
	}
	q.remember(fingerprint)
	if q.sentences[fingerprint].level == Suspect {
		delete(q.sentences, fingerprint)
	}
}

// remember keeps the last requests that were answered, in two generations.
func (q *Quarantine) remember(fingerprint uint64) {
	q.answered[fingerprint] = struct{}{}
	if len(q.answered) >= maxEntries {
		q.former = q.answered
		q.answered = map[uint64]struct{}{}
	}
}

func (q *Quarantine) innocent(fingerprint uint64) bool {
	_, now := q.answered[fingerprint]
	_, before := q.former[fingerprint]
	return now || before
}

// Crashed records that the backend server crashed under what runs now. Several
// calls report the same crash; each request counts once for it.
func (q *Quarantine) Crashed(now time.Time) {
	q.mu.Lock()
	entries := q.sentence(now)
	q.mu.Unlock()
	if len(entries) > 0 {
		q.spread(entries)
	}
}

func (q *Quarantine) sentence(now time.Time) []Entry {
	var entries []Entry
	alone := len(q.running) == 1
	for fingerprint, found := range q.running {
		if found.counted || q.innocent(fingerprint) {
			continue
		}
		found.counted = true
		known := q.sentences[fingerprint]
		entry := Entry{Fingerprint: fingerprint, Level: Suspect, Remaining: suspectSpan}
		if alone && known.level == Suspect && now.Before(known.until) {
			entry.Level = Quarantined
			entry.Remaining = quarantineSpan
		}
		if q.impose(now, entry) {
			entries = append(entries, entry)
		}
	}
	return entries
}

// impose stores an entry unless a stricter one holds and tells whether it was
// news.
func (q *Quarantine) impose(now time.Time, entry Entry) bool {
	known, ok := q.sentences[entry.Fingerprint]
	if ok && now.Before(known.until) && known.level >= entry.Level {
		return false
	}
	if !ok && len(q.sentences) >= maxEntries {
		q.expire(now)
		if len(q.sentences) >= maxEntries {
			return false
		}
	}
	q.sentences[entry.Fingerprint] = sentence{level: entry.Level, until: now.Add(entry.Remaining)}
	return true
}

func (q *Quarantine) expire(now time.Time) {
	for fingerprint, found := range q.sentences {
		if !now.Before(found.until) {
			delete(q.sentences, fingerprint)
		}
	}
}

// Merge takes entries from another node and returns those that were news.
func (q *Quarantine) Merge(now time.Time, entries []Entry) []Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	var news []Entry
	for _, entry := range entries {
		if entry.Level == Suspect && q.innocent(entry.Fingerprint) {
			continue
		}
		if q.impose(now, entry) {
			news = append(news, entry)
		}
	}
	return news
}
