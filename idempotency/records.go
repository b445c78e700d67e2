package idempotency

import (
	"container/list"
	"sync"
	"time"

	"github.com/banyancross/banyancross/call"
)

const (
	// DefaultRetention is how long a key is remembered after it was minted.
	DefaultRetention = 15 * time.Minute
	// DefaultCapacity is the number of keys remembered at a time.
	DefaultCapacity = 100_000
	// DefaultAnswerBytes is the memory for all stored answers, in bytes.
	DefaultAnswerBytes = 16 << 20
	// MaxAnswerBytes is the largest answer that is stored, in bytes.
	MaxAnswerBytes = 64 << 10
)

// Answer is a finished answer kept for resends.
type Answer struct {
	Status  int
	Header  []HeaderField
	Body    []byte
	Trailer []HeaderField
}

// HeaderField is one header line.
type HeaderField struct {
	Name  string
	Value string
}

// Request identifies one send of a keyed request.
type Request struct {
	// Key is the idempotency key.
	Key Key
	// Fingerprint tells requests apart that share a key by mistake.
	Fingerprint uint64
	// Received is when the entry node took the send, by its clock.
	Received time.Time
}

// Records remembers the keys of one gate incarnation; it is safe for concurrent
// use.
type Records struct {
	mu          sync.Mutex
	upstream    string
	incarnation string
	tenure      Lease
	accepted    time.Time
	placements  []ShardMap
	retention   time.Duration
	capacity    int
	answerLimit int
	answerBytes int
	floor       time.Time
	records     map[string]*Record
	order       *list.List // of *Record, by insertion
	stopped     bool
}

// Option configures Records.
type Option func(*Records)

// WithRetention sets how long a key is remembered after it was minted.
func WithRetention(retention time.Duration) Option {
	return func(r *Records) { r.retention = retention }
}

// WithCapacity sets the number of keys and the bytes of answers remembered.
func WithCapacity(keys, answerBytes int) Option {
	return func(r *Records) {
		r.capacity = keys
		r.answerLimit = answerBytes
	}
}

// NewRecords returns the empty Records of an upstream's gate incarnation.
func NewRecords(upstream, incarnation string, options ...Option) *Records {
	r := &Records{
		upstream:    upstream,
		incarnation: incarnation,
		retention:   DefaultRetention,
		capacity:    DefaultCapacity,
		answerLimit: DefaultAnswerBytes,
		records:     map[string]*Record{},
		order:       list.New(),
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// SetLease replaces the tenure after the platform has confirmed it, together
// with the placements that were in force when its extension began.
func (r *Records) SetLease(tenure Lease, placements []ShardMap) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tenure = tenure
	r.placements = placements
}

// Lease returns the tenure last set.
func (r *Records) Lease() Lease {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tenure
}

// Stop makes the records refuse keys they have not seen and returns the latest
// key time accepted.
func (r *Records) Stop() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	return r.accepted
}

// Len returns the number of keys remembered.
func (r *Records) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records)
}

// Claim returns the record of the request's key. When mine is true the caller
// has to run the request and settle the record; otherwise another send does or
// did. A refusal means that this send must not run.
func (r *Records) Claim(now time.Time, request Request) (record *Record, mine bool, refusal *call.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	text := request.Key.text
	if known, ok := r.records[text]; ok {
		return r.again(known, request)
	}
	if refusal := r.check(now, request.Key); refusal != nil {
		return nil, false, refusal
	}
	if len(r.records) >= r.capacity {
		// Without a record a later send could run, so not-run is no promise.
		return nil, false, call.Refuse(call.Unknown, call.ReasonKeyTableFull)
	}
	record = &Record{
		records: r, key: request.Key, fingerprint: request.Fingerprint,
		received: request.Received, done: make(chan struct{}),
	}
	r.records[text] = record
	record.element = r.order.PushBack(record)
	r.accepted = later(r.accepted, request.Key.minted)
	return record, true, nil
}

// again decides about a send whose key is remembered.
func (r *Records) again(known *Record, request Request) (*Record, bool, *call.Refusal) {
	if known.fingerprint != request.Fingerprint {
		return nil, false, call.Refuse(call.NotRun, call.ReasonKeyReused)
	}
	if known.state != stateNotRun {
		return known, false, nil
	}
	// A send that entered before the refusal is covered by its promise.
	if !request.Received.After(known.settled.Add(MaxClockSkew)) {
		return nil, false, call.Refuse(call.NotRun, known.reason)
	}
	if r.stopped {
		return nil, false, call.Refuse(call.NotRun, call.ReasonLeaving)
	}
	known.state = stateRunning
	known.received = request.Received
	known.done = make(chan struct{})
	return known, true, nil
}

// check refuses keys that this incarnation must not run. None of them can be
// called not-run, because another incarnation may have run them.
func (r *Records) check(now time.Time, key Key) *call.Refusal {
	if r.stopped {
		return call.Refuse(call.Unknown, call.ReasonLeaving)
	}
	if key.minted.Before(r.floor) {
		return call.Refuse(call.Unknown, call.ReasonKeyExpired)
	}
	if key.minted.After(now.Add(r.retention)) {
		// A key from far in the future would be remembered for as long.
		return call.Refuse(call.Unknown, call.ReasonKeyMalformed)
	}
	if key.IsTicket() {
		if key.upstream != r.upstream || key.incarnation != r.incarnation {
			return call.Refuse(call.Unknown, call.ReasonKeyNotOwned)
		}
		return nil
	}
	if r.tenure.Incarnation != r.incarnation || !r.tenure.Covers(key.minted) {
		return call.Refuse(call.Unknown, call.ReasonKeyNotOwned)
	}
	if key.Owner(r.placements) != r.upstream {
		return call.Refuse(call.Unknown, call.ReasonKeyNotOwned)
	}
	return nil
}

// expire raises the floor and forgets settled keys below it. The floor never
// falls, so a clock that is set back brings no forgotten key back to life.
func (r *Records) expire(now time.Time) {
	r.floor = later(r.floor, now.Add(-r.retention))
	for element := r.order.Front(); element != nil; element = r.order.Front() {
		record := element.Value.(*Record)
		if !record.key.minted.Before(r.floor) || record.state == stateRunning {
			return
		}
		r.order.Remove(element)
		delete(r.records, record.key.text)
		r.drop(record)
	}
}

func (r *Records) drop(record *Record) {
	if record.answer != nil {
		r.answerBytes -= len(record.answer.Body)
		record.answer = nil
	}
}
