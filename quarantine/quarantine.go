package quarantine

import (
	"sync"
	"time"
)

const (
	// suspectDuration is how long a request stays a suspect.
	suspectDuration = time.Minute
	// quarantineDuration is how long a request stays quarantined.
	quarantineDuration = 10 * time.Minute
	// maxEntries bounds the entries of each table.
	maxEntries = 4096
)

// Level is the severity of a restriction.
type Level uint8

// A Suspect runs alone; a Quarantined request does not run.
const (
	Suspect Level = iota + 1
	Quarantined
)

// Entry is the restriction of one request as other nodes receive it.
type Entry struct {
	Fingerprint uint64        `cbor:"1,keyasint"`
	Level       Level         `cbor:"2,keyasint"`
	Remaining   time.Duration `cbor:"3,keyasint"`
}

type restriction struct {
	level Level
	until time.Time
}

// activeRequest counts the runs of one request in progress.
type activeRequest struct {
	count        int
	crashCounted bool
}

// Quarantine tracks the running requests of one node and restricts those that
// may have crashed its backend server; it is safe for concurrent use.
type Quarantine struct {
	mu            sync.Mutex
	running       map[uint64]*activeRequest
	restrictions  map[uint64]restriction
	recentAnswers map[uint64]struct{}
	olderAnswers  map[uint64]struct{}
	broadcast     func([]Entry)
}

// Option configures a Quarantine.
type Option func(*Quarantine)

// WithBroadcast calls broadcast with the new entries after a crash.
func WithBroadcast(broadcast func([]Entry)) Option {
	return func(q *Quarantine) { q.broadcast = broadcast }
}

// New returns an empty Quarantine.
func New(options ...Option) *Quarantine {
	q := &Quarantine{
		running:       map[uint64]*activeRequest{},
		restrictions:  map[uint64]restriction{},
		recentAnswers: map[uint64]struct{}{},
		olderAnswers:  map[uint64]struct{}{},
		broadcast:     func([]Entry) {},
	}
	for _, option := range options {
		option(q)
	}
	return q
}

// Check reports whether the request must not run, and whether it must run alone.
func (q *Quarantine) Check(now time.Time, fingerprint uint64) (refused, exclusive bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	found, ok := q.restrictions[fingerprint]
	if !ok {
		return false, false
	}
	if !now.Before(found.until) {
		delete(q.restrictions, fingerprint)
		return false, false
	}
	return found.level == Quarantined, found.level == Suspect
}

// Begin records that the request starts running.
func (q *Quarantine) Begin(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	active, ok := q.running[fingerprint]
	if !ok {
		active = &activeRequest{}
		q.running[fingerprint] = active
	}
	active.count++
}

// End records that the request stops running; answered means that the upstream
// sent a complete answer, which clears a suspect.
func (q *Quarantine) End(fingerprint uint64, answered bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if active, ok := q.running[fingerprint]; ok {
		active.count--
		if active.count <= 0 {
			delete(q.running, fingerprint)
		}
	}
	if !answered {
		return
	}
	q.recordAnswer(fingerprint)
	if q.restrictions[fingerprint].level == Suspect {
		delete(q.restrictions, fingerprint)
	}
}

// recordAnswer stores an answered request. The latest ones are kept, in two
// generations of up to maxEntries.
func (q *Quarantine) recordAnswer(fingerprint uint64) {
	q.recentAnswers[fingerprint] = struct{}{}
	if len(q.recentAnswers) >= maxEntries {
		q.olderAnswers = q.recentAnswers
		q.recentAnswers = map[uint64]struct{}{}
	}
}

func (q *Quarantine) answeredRecently(fingerprint uint64) bool {
	_, recent := q.recentAnswers[fingerprint]
	_, older := q.olderAnswers[fingerprint]
	return recent || older
}

// Crashed records that the backend server crashed while it ran the requests that
// have not ended. Several calls report the same crash; each request counts once.
func (q *Quarantine) Crashed(now time.Time) {
	q.mu.Lock()
	entries := q.restrictRunning(now)
	q.mu.Unlock()
	if len(entries) > 0 {
		q.broadcast(entries)
	}
}

func (q *Quarantine) restrictRunning(now time.Time) []Entry {
	var entries []Entry
	alone := len(q.running) == 1
	for fingerprint, active := range q.running {
		if active.crashCounted || q.answeredRecently(fingerprint) {
			continue
		}
		active.crashCounted = true
		known := q.restrictions[fingerprint]
		entry := Entry{Fingerprint: fingerprint, Level: Suspect, Remaining: suspectDuration}
		if alone && known.level == Suspect && now.Before(known.until) {
			entry.Level = Quarantined
			entry.Remaining = quarantineDuration
		}
		if q.restrict(now, entry) {
			entries = append(entries, entry)
		}
	}
	return entries
}

// restrict stores an entry unless one at least as strict is in force, and
// reports whether it did.
func (q *Quarantine) restrict(now time.Time, entry Entry) bool {
	known, ok := q.restrictions[entry.Fingerprint]
	if ok && now.Before(known.until) && known.level >= entry.Level {
		return false
	}
	if !ok && len(q.restrictions) >= maxEntries {
		q.expire(now)
		if len(q.restrictions) >= maxEntries {
			return false
		}
	}
	q.restrictions[entry.Fingerprint] = restriction{level: entry.Level, until: now.Add(entry.Remaining)}
	return true
}

func (q *Quarantine) expire(now time.Time) {
	for fingerprint, found := range q.restrictions {
		if !now.Before(found.until) {
			delete(q.restrictions, fingerprint)
		}
	}
}

// Merge stores entries from another node and returns those that were new.
func (q *Quarantine) Merge(now time.Time, entries []Entry) []Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	var added []Entry
	for _, entry := range entries {
		if entry.Level == Suspect && q.answeredRecently(entry.Fingerprint) {
			continue
		}
		if q.restrict(now, entry) {
			added = append(added, entry)
		}
	}
	return added
}
