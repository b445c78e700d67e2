package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/banyancross/banyancross/upstream"
)

// The headers by which a caller steers the stand-in.
const (
	// RequestIDHeader names the request in the record of runs.
	RequestIDHeader = "X-Request-Id"
	// CrashHeader makes the server cut all its connections.
	CrashHeader = "X-Crash"
)

const (
	announceInterval = time.Second
	archivePath      = "/archive"
	archiveChunk     = 32 << 10
)

// Upstream is a stand-in for a backend server. It answers every path; the
// answer to /archive has as many bytes as the query's "bytes" says.
type Upstream struct {
	name, service string
	slots         int
	announceTo    string
	serviceTime   time.Duration
	coldStart     time.Duration
	next          func(ctx context.Context, w http.ResponseWriter, r *http.Request) bool
	listener      net.Listener
	server        *http.Server
	client        *http.Client
	instance      string
	tomb          tomb.Tomb
	running       atomic.Int64
	served        atomic.Int64

	mu       sync.Mutex
	rng      *rand.Rand
	state    string
	factor   float64
	shifting bool
	rejects  bool
	runs     map[string]int
}

// UpstreamOption configures an Upstream.
type UpstreamOption func(*Upstream)

// WithServiceTime sets the mean time that a call takes while a slot is free.
func WithServiceTime(mean time.Duration) UpstreamOption {
	return func(u *Upstream) { u.serviceTime = mean }
}

// WithColdStart sets the cold start that is announced.
func WithColdStart(span time.Duration) UpstreamOption {
	return func(u *Upstream) { u.coldStart = span }
}

// WithHandler is called for each request before it is answered; it returns true
// when it has answered.
func WithHandler(next func(ctx context.Context, w http.ResponseWriter, r *http.Request) bool) UpstreamOption {
	return func(u *Upstream) { u.next = next }
}

// WithUpstreamSeed seeds the service times.
func WithUpstreamSeed(seed uint64) UpstreamOption {
	return func(u *Upstream) { u.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// NewUpstream starts a backend server on a free port of 127.0.0.1 that
// announces itself to the node at announceTo, or to none when it is "".
func NewUpstream(name, service string, slots int, announceTo string, options ...UpstreamOption) (*Upstream, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &Upstream{
		name: name, service: service, slots: slots, announceTo: announceTo, listener: listener,
		client: &http.Client{Timeout: announceInterval}, state: upstream.StateReady, factor: 1,
		rng: rand.New(rand.NewPCG(1, 1)), runs: map[string]int{},
		instance: listener.Addr().String(),
	}
	for _, option := range options {
		option(u)
	}
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve), ReadHeaderTimeout: time.Minute}
	u.tomb.Go(func() error {
		_ = u.server.Serve(listener)
		return nil
	})
	if announceTo != "" {
		u.tomb.Go(u.announceLoop)
	}
	return u, nil
}

// Address returns where the server listens.
func (u *Upstream) Address() string { return u.listener.Addr().String() }

// Name returns the upstream's name.
func (u *Upstream) Name() string { return u.name }

// Served returns how many requests were run.
func (u *Upstream) Served() int64 { return u.served.Load() }

// Running returns how many requests run now.
func (u *Upstream) Running() int64 { return u.running.Load() }

// SetServiceTimeFactor makes every call take factor times as long.
func (u *Upstream) SetServiceTimeFactor(factor float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.factor = factor
}

// SetVariableSpeed makes the speed change every few milliseconds, or not.
func (u *Upstream) SetVariableSpeed(shifting bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.shifting = shifting
}

// SetRejectAll makes the server reject everything at once, or not.
func (u *Upstream) SetRejectAll(rejects bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rejects = rejects
}

// SetState changes the announced state and announces it at once.
func (u *Upstream) SetState(state string) {
	u.mu.Lock()
	u.state = state
	u.mu.Unlock()
	u.announce()
}

// Runs returns how often each named request was run.
func (u *Upstream) Runs() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	runs := make(map[string]int, len(u.runs))
	for id, count := range u.runs {
		runs[id] = count
	}
	return runs
}

// Close ends the server at once.
func (u *Upstream) Close() {
	u.tomb.Kill(nil)
	u.mu.Lock()
	server := u.server
	u.mu.Unlock()
	_ = server.Close()
	_ = u.tomb.Wait()
	u.client.CloseIdleConnections()
}

func (u *Upstream) announceLoop() error {
	for {
		u.announce()
		select {
		case <-u.tomb.Dying():
			return nil
		case <-time.After(announceInterval):
		}
	}
}

func (u *Upstream) announce() {
	u.mu.Lock()
	announcement := upstream.Announcement{
		Upstream: u.name, Service: u.service, Address: u.Address(), Instance: u.instance,
		Slots: u.slots, Connections: 240, ColdStartMS: u.coldStart.Milliseconds(),
		HealthPath: "/health", State: u.state,
	}
	u.mu.Unlock()
	data, err := json.Marshal(announcement)
	if err != nil {
		return
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+u.announceTo+upstream.AnnouncementPath, bytes.NewReader(data))
	if err != nil {
		return
	}
	response, err := u.client.Do(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.Header().Set(RequestIDHeader, r.Header.Get(RequestIDHeader))
	if u.refuses() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.record(r.Header.Get(RequestIDHeader))
	if r.Header.Get(CrashHeader) != "" {
		u.crash()
		panic(http.ErrAbortHandler)
	}
	u.served.Add(1)
	running := u.running.Add(1)
	defer u.running.Add(-1)
	if !u.work(r.Context(), running) {
		return
	}
	if u.next != nil && u.next(r.Context(), w, r) {
		return
	}
	u.answer(w, r)
}

func (u *Upstream) refuses() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rejects
}

func (u *Upstream) record(id string) {
	if id == "" {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[id]++
}

// CrashAndRestart cuts every connection, and serves again at once.
func (u *Upstream) CrashAndRestart() {
	u.mu.Lock()
	server := u.server
	u.mu.Unlock()
	_ = server.Close()
	_ = u.Restart()
}

// crash cuts every connection, as the end of the process would.
func (u *Upstream) crash() {
	go u.CrashAndRestart()
}

// Restart serves again after the server was closed, on the same port.
func (u *Upstream) Restart() error {
	listener, err := net.Listen("tcp", u.Address())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(u.serve), ReadHeaderTimeout: time.Minute}
	u.mu.Lock()
	u.server = server
	u.mu.Unlock()
	u.tomb.Go(func() error {
		_ = server.Serve(listener)
		return nil
	})
	return nil
}

// work takes the time of one call and tells whether it was not cancelled.
func (u *Upstream) work(ctx context.Context, running int64) bool {
	span := u.span(running)
	if span <= 0 {
		return true
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

const shiftSpan = 5 * time.Millisecond

// span draws a service time: half of it is fixed and half exponential, and it
// grows with the calls beyond the slots.
func (u *Upstream) span(running int64) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	factor := u.factor
	if u.shifting {
		factor *= u.shift(time.Now())
	}
	over := max(1, float64(running)/float64(u.slots))
	draw := 0.5 + 0.5*u.rng.ExpFloat64()
	return time.Duration(float64(u.serviceTime) * factor * over * draw)
}

// shift is a pseudo-random speed between 0.5 and 3 for each few milliseconds.
func (u *Upstream) shift(now time.Time) float64 {
	period := uint64(now.UnixNano() / int64(shiftSpan*8))
	rng := rand.New(rand.NewPCG(period, uint64(len(u.name))+uint64(u.name[len(u.name)-1])))
	return 0.5 + 2.5*rng.Float64()*rng.Float64()
}

func (u *Upstream) answer(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == archivePath {
		u.archive(w, r)
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"upstream":%q,"request":%q,"path":%q,"received":%d}`+"\n",
		u.name, r.Header.Get(RequestIDHeader), r.URL.Path, n)
}

func (u *Upstream) archive(w http.ResponseWriter, r *http.Request) {
	left, _ := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
	w.Header().Set("Content-Length", strconv.FormatInt(left, 10))
	chunk := make([]byte, archiveChunk)
	for left > 0 {
		n, err := w.Write(chunk[:min(left, int64(len(chunk)))])
		if err != nil {
			return
		}
		left -= int64(n)
	}
}
