package standin

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxValueBytes is the maximum size of a value.
	maxValueBytes = 1 << 20
	// maxTransactionBytes bounds the body of a transaction, whose values are in
	// base64.
	maxTransactionBytes = 8 << 20
	// pageSize is the number of items on a page of a range read.
	pageSize = 500
	// maxWatchWait is the longest time that a watch waits for events.
	maxWatchWait = 30 * time.Second
)

// Platform is an in-memory stand-in for the platform's key-value service. It can
// be made to fail or delay all calls, block the calls of one address, drop the
// answers to transactions, compact its history, end all leases, and come back from a copy.
type Platform struct {
	mu sync.Mutex
	// timeline is the number in all answers, 0 for none.
	timeline uint64
	revision uint64
	values   map[string]value
	history  []event
	// compactedRevision is the latest revision that history no longer has; history
	// is complete after it.
	compactedRevision uint64
	leases            map[uint64]*lease
	// lastLease is the number of the latest lease.
	lastLease uint64
	// changed is closed and replaced to make pending watches look for new events.
	changed       chan struct{}
	down          bool
	delay         time.Duration
	answersToDrop int
	blocked       map[string]bool
	stopped       chan struct{}
	stopOnce      sync.Once

	reads   atomic.Uint64
	writes  atomic.Uint64
	watches atomic.Uint64
}

type value struct {
	data    []byte
	rev     uint64
	created uint64
	lease   uint64
}

// event is a change of a key. Range reads and failed transactions use it for the
// current value of a key.
type event struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created_at,omitempty"`
	Lease   uint64 `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

type lease struct {
	duration  time.Duration
	expiresAt time.Time
}

// NewPlatform returns an empty Platform.
func NewPlatform() *Platform {
	return &Platform{
		revision: 1, values: map[string]value{}, leases: map[uint64]*lease{}, blocked: map[string]bool{},
		changed: make(chan struct{}), stopped: make(chan struct{}),
	}
}

// SetDown makes the Platform close the connection of every call, or ends that.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.notifyWatches()
}

// SetDelay sets a delay for every call.
func (p *Platform) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// SetBlocked closes the connection of every call from one IP address, or ends that.
func (p *Platform) SetBlocked(address string, blocked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked[address] = blocked
	p.notifyWatches()
}

// DropAnswers makes the Platform apply the next n transactions and close the
// connection instead of answering them.
func (p *Platform) DropAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answersToDrop = n
}

// Compact drops the history. Watches from an earlier revision get status 410 and
// must start again.
func (p *Platform) Compact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history, p.compactedRevision = nil, p.revision
	p.notifyWatches()
}

// EndLeases ends all leases at once.
func (p *Platform) EndLeases() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for number := range p.leases {
		p.endLease(number)
	}
}

// Store writes a key without a precondition, as the operators do.
func (p *Platform) Store(key string, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.setKey(key, data, 0)
	p.notifyWatches()
}

// Remove deletes a key, as the operators do.
func (p *Platform) Remove(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.removeKey(key)
	p.notifyWatches()
}

// Value returns the value of a key, or nil if the key does not exist.
func (p *Platform) Value(key string) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.values[key].data
}

// Keys returns the keys with a prefix.
func (p *Platform) Keys(prefix string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var keys []string
	for key := range p.values {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// Calls returns the numbers of reads, writes and watches.
func (p *Platform) Calls() (reads, writes, watches uint64) {
	return p.reads.Load(), p.writes.Load(), p.watches.Load()
}

// Close ends all pending watches.
func (p *Platform) Close() { p.stopOnce.Do(func() { close(p.stopped) }) }

// notifyWatches makes pending watches look for new events. The caller holds p.mu.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	down, delay := p.down || p.blocked[remoteIP(r)], p.delay
	p.expireLeases(time.Now())
	if p.timeline > 0 {
		w.Header().Set(timelineHeader, strconv.FormatUint(p.timeline, 10))
	}
	p.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return
		}
	}
	switch path := r.URL.Path; {
	case r.Method == http.MethodGet && path == "/kv-key":
		p.getKey(w, r)
	case r.Method == http.MethodGet && path == "/kv-range":
		p.listKeys(w, r)
	case r.Method == http.MethodGet && path == "/kv-watch":
		p.watchKeys(w, r)
	case r.Method == http.MethodPost && path == "/kv-txn":
		p.commitTransaction(w, r)
	case r.Method == http.MethodPost && path == "/kv-lease":
		p.grantLease(w, r)
	case r.Method == http.MethodPost && strings.HasPrefix(path, "/kv-keep/"):
		p.renewLease(w, strings.TrimPrefix(path, "/kv-keep/"))
	case r.Method == http.MethodDelete && strings.HasPrefix(path, "/kv-lease-end/"):
		p.revokeLease(w, strings.TrimPrefix(path, "/kv-lease-end/"))
	default:
		http.NotFound(w, r)
	}
}

func remoteIP(r *http.Request) string {
	host, _, _ := strings.Cut(r.RemoteAddr, ":")
	return host
}

func writeJSON(w http.ResponseWriter, status int, document any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(document)
}

func (p *Platform) getKey(w http.ResponseWriter, r *http.Request) {
	p.reads.Add(1)
	key := r.URL.Query().Get("key")
	p.mu.Lock()
	found, ok := p.values[key]
	revision := p.revision
	p.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusNotFound, map[string]any{"as_of": revision})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"key": key, "value": found.data, "rev": found.rev, "created_at": found.created,
		"lease": found.lease, "as_of": revision,
	})
}

func (p *Platform) listKeys(w http.ResponseWriter, r *http.Request) {
	p.reads.Add(1)
	query := r.URL.Query()
	p.mu.Lock()
	items := []event{}
	for key, v := range p.values {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			items = append(items, event{Key: key, Value: v.data, Rev: v.rev, Created: v.created, Lease: v.lease})
		}
	}
	revision := p.revision
	p.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "as_of": revision})
}

// watchKeys answers with the events after a revision as soon as there are any, and
// with none after the wait limit.
func (p *Platform) watchKeys(w http.ResponseWriter, r *http.Request) {
	p.watches.Add(1)
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	milliseconds, err2 := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(time.Duration(milliseconds)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	p.mu.Lock()
	timeline := p.timeline
	p.mu.Unlock()
	for timedOut := false; ; {
		p.mu.Lock()
		changed, revision := p.changed, p.revision
		down := p.down || p.blocked[remoteIP(r)] || p.timeline != timeline
		compacted := after < p.compactedRevision || after > p.revision
		events := p.eventsAfter(query.Get("prefix"), after)
		p.mu.Unlock()
		switch {
		case down:
			panic(http.ErrAbortHandler)
		case compacted:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || timedOut:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		case <-p.stopped:
			return
		}
	}
}

// eventsAfter returns the events of a key prefix after a revision. The caller holds
// p.mu.
func (p *Platform) eventsAfter(prefix string, after uint64) []event {
	events := []event{}
	for _, e := range p.history {
		if e.Rev > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events
}
