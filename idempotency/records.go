package idempotency

import (
	"container/list"
	"sync"
	"time"

	"github.com/banyancross/banyancross/call"
)

const (
	// DefaultRetention is how long a key is stored, counted from its timestamp.
	DefaultRetention = 15 * time.Minute
	// DefaultCapacity is the largest number of keys stored at a time.
	DefaultCapacity = 100_000
	// DefaultAnswerBytes limits the bodies of all stored responses together.
	DefaultAnswerBytes = 16 << 20
	// MaxAnswerBytes is the size of the largest response body that is stored.
	MaxAnswerBytes = 64 << 10
)

// Answer is a complete response that is stored for resends.
type Answer struct {
	Status  int
	Header  []HeaderField
	Body    []byte
	Trailer []HeaderField
}

// HeaderField is one field of a header or trailer.
type HeaderField struct {
	Name  string
	Value string
}

// Request identifies one send of a keyed request.
type Request struct {
	// Key is the idempotency key.
	Key Key
	// Fingerprint distinguishes requests that share a key by mistake.
	Fingerprint uint64
	// Received is when the entry node received the send, by its clock.
	Received time.Time
}

// Records holds the Record of each key that one gate incarnation claimed; it is
// safe for concurrent use.
type Records struct {
	mu               sync.Mutex
	upstream         string
	incarnation      string
	lease            Lease
	lastClaimed      time.Time
	shardMaps        []ShardMap
	retention        time.Duration
	capacity         int
	answerBytesLimit int
	answerBytes      int
	minTimestamp     time.Time
	records          map[string]*Record
	order            *list.List // of *Record, by insertion
	stopped          bool
}

// Option configures Records.
type Option func(*Records)

// WithRetention sets how long a key is stored, counted from its timestamp.
func WithRetention(retention time.Duration) Option {
	return func(r *Records) { r.retention = retention }
}

// WithCapacity limits the number of stored keys and the bytes of stored
// response bodies.
func WithCapacity(keys, answerBytes int) Option {
	return func(r *Records) {
		r.capacity = keys
		r.answerBytesLimit = answerBytes
	}
}

// NewRecords returns the empty Records of an upstream's gate incarnation.
func NewRecords(upstream, incarnation string, options ...Option) *Records {
	r := &Records{
		upstream:         upstream,
		incarnation:      incarnation,
		retention:        DefaultRetention,
		capacity:         DefaultCapacity,
		answerBytesLimit: DefaultAnswerBytes,
		records:          map[string]*Record{},
		order:            list.New(),
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// SetLease replaces the lease after the platform has confirmed it, together
// with the shard maps that were in force when its extension began.
func (r *Records) SetLease(lease Lease, shardMaps []ShardMap) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease = lease
	r.shardMaps = shardMaps
}

// Lease returns the lease last set.
func (r *Records) Lease() Lease {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease
}

// Stop makes Claim refuse keys that have no record and returns the latest
// timestamp of the keys claimed so far.
func (r *Records) Stop() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	return r.lastClaimed
}

// Len returns the number of stored keys.
func (r *Records) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records)
}

// Claim returns the record of the request's key. If claimed is true, this send must
// run and the record be completed; otherwise another send is running or has ended.
// A refusal means that this send must not run.
func (r *Records) Claim(now time.Time, request Request) (record *Record, claimed bool, refusal *call.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	text := request.Key.text
	if existing, ok := r.records[text]; ok {
		return r.claimExisting(existing, request)
	}
	if refusal := r.checkKey(now, request.Key); refusal != nil {
		return nil, false, refusal
	}
	if len(r.records) >= r.capacity {
		// Without a record, a later send of the key could run, so not-run
		// cannot be guaranteed.
		return nil, false, call.Refuse(call.Unknown, call.ReasonKeyTableFull)
	}
	record = &Record{
		records: r, key: request.Key, fingerprint: request.Fingerprint,
		received: request.Received, done: make(chan struct{}),
	}
	r.records[text] = record
	record.element = r.order.PushBack(record)
	r.lastClaimed = maxTime(r.lastClaimed, request.Key.timestamp)
	return record, true, nil
}

// claimExisting handles a send whose key has a record.
func (r *Records) claimExisting(existing *Record, request Request) (*Record, bool, *call.Refusal) {
	if existing.fingerprint != request.Fingerprint {
		return nil, false, call.Refuse(call.NotRun, call.ReasonKeyReused)
	}
	if existing.state != stateNotRun {
		return existing, false, nil
	}
	// The not-run guarantee covers each send that its entry node may have
	// received before the record was completed.
	if !request.Received.After(existing.completedAt.Add(MaxClockSkew)) {
		return nil, false, call.Refuse(call.NotRun, existing.reason)
	}
	if r.stopped {
		return nil, false, call.Refuse(call.NotRun, call.ReasonLeaving)
	}
	existing.state = stateRunning
	existing.received = request.Received
	existing.done = make(chan struct{})
	return existing, true, nil
}

// checkKey refuses keys that this incarnation must not run. Their outcome is
// unknown, not not-run, because another incarnation may have run them.
func (r *Records) checkKey(now time.Time, key Key) *call.Refusal {
	if r.stopped {
		return call.Refuse(call.Unknown, call.ReasonLeaving)
	}
	if key.timestamp.Before(r.minTimestamp) {
		return call.Refuse(call.Unknown, call.ReasonKeyExpired)
	}
	if key.timestamp.After(now.Add(r.retention)) {
		// A key with a timestamp in the far future would be stored until then.
		return call.Refuse(call.Unknown, call.ReasonKeyMalformed)
	}
	if key.IsTicket() {
		if key.upstream != r.upstream || key.incarnation != r.incarnation {
			return call.Refuse(call.Unknown, call.ReasonKeyNotOwned)
		}
		return nil
	}
	if r.lease.Incarnation != r.incarnation || !r.lease.Covers(key.timestamp) {
		return call.Refuse(call.Unknown, call.ReasonKeyNotOwned)
	}
	if key.Owner(r.shardMaps) != r.upstream {
		return call.Refuse(call.Unknown, call.ReasonKeyNotOwned)
	}
	return nil
}

// expire advances minTimestamp and removes completed records with an older
// timestamp. minTimestamp never decreases, so a removed key stays refused when
// the clock is set back.
func (r *Records) expire(now time.Time) {
	r.minTimestamp = maxTime(r.minTimestamp, now.Add(-r.retention))
	for element := r.order.Front(); element != nil; element = r.order.Front() {
		record := element.Value.(*Record)
		if !record.key.timestamp.Before(r.minTimestamp) || record.state == stateRunning {
			return
		}
		r.order.Remove(element)
		delete(r.records, record.key.text)
		r.dropAnswer(record)
	}
}

func (r *Records) dropAnswer(record *Record) {
	if record.answer != nil {
		r.answerBytes -= len(record.answer.Body)
		record.answer = nil
	}
}
