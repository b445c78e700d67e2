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
	// maxValue is the largest value that is stored, in bytes.
	maxValue = 1 << 20
	// maxChange bounds the body of a change, whose values are in base64.
	maxChange = 8 << 20
	// pageItems is how many items a page holds.
	pageItems = 500
	// maxWait is the longest time that a watch waits.
	maxWait = 30 * time.Second
)

// Platform is a stand-in for the platform's key-value service, in memory. It
// can be down, slow or deaf to some callers, lose its answers and its history,
// and end leases.
type Platform struct {
	mu       sync.Mutex
	revision uint64
	values   map[string]value
	history  []event
	// kept is the revision after which history is complete.
	kept     uint64
	leases   map[uint64]*lease
	granted  uint64
	changed  chan struct{}
	down     bool
	delay    time.Duration
	lose     int
	deaf     map[string]bool
	stopped  chan struct{}
	stopOnce sync.Once

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

type event struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created_at,omitempty"`
	Lease   uint64 `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

type lease struct {
	duration time.Duration
	ends     time.Time
}

// NewPlatform returns an empty Platform.
func NewPlatform() *Platform {
	return &Platform{
		revision: 1, values: map[string]value{}, leases: map[uint64]*lease{}, deaf: map[string]bool{},
		changed: make(chan struct{}), stopped: make(chan struct{}),
	}
}

// SetDown makes every call fail, or not.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.wake()
}

// SetDelay makes every call slow.
func (p *Platform) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// SetBlocked refuses the calls from one IP address, or serves them again.
func (p *Platform) SetBlocked(address string, deaf bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deaf[address] = deaf
	p.wake()
}

// DropAnswers applies the next n writes and cuts the connection in place of
// confirming them.
func (p *Platform) DropAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lose = n
}

// Compact drops the history, so that watches have to begin anew.
func (p *Platform) Compact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history, p.kept = nil, p.revision
	p.wake()
}

// EndLeases ends all leases at once.
func (p *Platform) EndLeases() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for number := range p.leases {
		p.endLease(number)
	}
}

// Store writes a key as the operators do, without any condition.
func (p *Platform) Store(key string, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.set(key, data, 0)
	p.wake()
}

// Value returns what a key holds, nil when there is none.
func (p *Platform) Value(key string) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.values[key].data
}

// Calls returns how many reads, writes and watches were made.
func (p *Platform) Calls() (reads, writes, watches uint64) {
	return p.reads.Load(), p.writes.Load(), p.watches.Load()
}

// Close ends waiting watches.
func (p *Platform) Close() { p.stopOnce.Do(func() { close(p.stopped) }) }

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	down, delay := p.down || p.deaf[hostOf(r)], p.delay
	p.expire(time.Now())
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
		p.key(w, r)
	case r.Method == http.MethodGet && path == "/kv-range":
		p.list(w, r)
	case r.Method == http.MethodGet && path == "/kv-watch":
		p.watch(w, r)
	case r.Method == http.MethodPost && path == "/kv-txn":
		p.change(w, r)
	case r.Method == http.MethodPost && path == "/kv-lease":
		p.grant(w, r)
	case r.Method == http.MethodPost && strings.HasPrefix(path, "/kv-keep/"):
		p.keep(w, strings.TrimPrefix(path, "/kv-keep/"))
	case r.Method == http.MethodDelete && strings.HasPrefix(path, "/kv-lease-end/"):
		p.end(w, strings.TrimPrefix(path, "/kv-lease-end/"))
	default:
		http.NotFound(w, r)
	}
}

func hostOf(r *http.Request) string {
	host, _, _ := strings.Cut(r.RemoteAddr, ":")
	return host
}

func writeJSON(w http.ResponseWriter, status int, document any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(document)
}

func (p *Platform) key(w http.ResponseWriter, r *http.Request) {
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

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
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
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "as_of": revision})
}

// watch answers with the events behind a revision as soon as there are any.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	p.watches.Add(1)
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	milliseconds, err2 := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(time.Duration(milliseconds)*time.Millisecond, maxWait))
	defer timer.Stop()
	for done := false; ; {
		p.mu.Lock()
		changed, down, gone, revision := p.changed, p.down || p.deaf[hostOf(r)], after < p.kept, p.revision
		events := p.since(query.Get("prefix"), after)
		p.mu.Unlock()
		switch {
		case down:
			panic(http.ErrAbortHandler)
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || done:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			done = true
		case <-r.Context().Done():
			return
		case <-p.stopped:
			return
		}
	}
}

// since returns the events of a prefix behind a revision; p.mu is held.
func (p *Platform) since(prefix string, after uint64) []event {
	events := []event{}
	for _, e := range p.history {
		if e.Rev > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events
}
