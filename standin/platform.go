package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const maxValue = 1 << 20

// Platform is a stand-in for the platform's key-value service: the part of
// Consul's HTTP API that package platform uses, in memory.
type Platform struct {
	mu       sync.Mutex
	index    uint64
	values   map[string]value
	changed  chan struct{}
	down     bool
	delay    time.Duration
	lose     int
	stopped  chan struct{}
	stopOnce sync.Once

	reads   atomic.Uint64
	writes  atomic.Uint64
	watches atomic.Uint64
}

type value struct {
	data  []byte
	index uint64
}

// NewPlatform returns an empty Platform.
func NewPlatform() *Platform {
	return &Platform{values: map[string]value{}, changed: make(chan struct{}), stopped: make(chan struct{})}
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

// LoseAnswers applies the next n writes and cuts the connection in place of
// confirming them.
func (p *Platform) LoseAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lose = n
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
	down, delay := p.down, p.delay
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
	key, ok := strings.CutPrefix(r.URL.Path, "/v1/kv/")
	if !ok {
		http.NotFound(w, r)
		return
	}
	switch r.Method {
	case http.MethodGet:
		p.get(w, r, key)
	case http.MethodPut:
		p.put(w, r, key)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request, key string) {
	query := r.URL.Query()
	if query.Get("index") != "" {
		p.watches.Add(1)
		p.wait(r, key)
	} else {
		p.reads.Add(1)
	}
	p.mu.Lock()
	found, ok := p.values[key]
	index, down := p.index, p.down
	p.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		w.Header().Set("X-Consul-Index", strconv.FormatUint(max(index, 1), 10))
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("X-Consul-Index", strconv.FormatUint(found.index, 10))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode([]map[string]any{{
		"Key": key, "Value": found.data, "ModifyIndex": found.index, "CreateIndex": 1, "LockIndex": 0, "Flags": 0,
	}})
}

// wait blocks until the key has a later index than the query's.
func (p *Platform) wait(r *http.Request, key string) {
	last, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	limit, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		limit = time.Minute
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		p.mu.Lock()
		changed := p.changed
		pending := p.values[key].index <= last && !p.down
		p.mu.Unlock()
		if !pending {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-r.Context().Done():
			return
		case <-p.stopped:
			return
		}
	}
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request, key string) {
	p.writes.Add(1)
	data, err := io.ReadAll(io.LimitReader(r.Body, maxValue+1))
	if err != nil || len(data) > maxValue {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	version, err := strconv.ParseUint(r.URL.Query().Get("cas"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	done := p.values[key].index == version
	if done {
		p.index++
		p.values[key] = value{data: data, index: p.index}
		p.wake()
	}
	lost := p.lose > 0
	if lost {
		p.lose--
	}
	p.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, strconv.FormatBool(done))
}
