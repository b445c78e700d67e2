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

// The request headers that an Upstream interprets.
const (
	// RequestIDHeader carries the ID under which Runs counts the request.
	RequestIDHeader = "X-Request-Id"
	// CrashHeader makes the server close all connections and restart.
	CrashHeader = "X-Crash"
)

const (
	announceInterval  = time.Second
	archivePath       = "/archive"
	archiveChunkBytes = 32 << 10
)

// Upstream is a stand-in for a backend server that announces itself to a node. It
// answers every path; the answer to /archive has the number of bytes that the
// query parameter "bytes" gives.
type Upstream struct {
	name, service string
	slots         int
	announceTo    string
	serviceTime   time.Duration
	coldStart     time.Duration
	handler       func(ctx context.Context, w http.ResponseWriter, r *http.Request) bool
	listener      net.Listener
	server        *http.Server
	client        *http.Client
	instance      string
	tomb          tomb.Tomb
	running       atomic.Int64
	served        atomic.Int64

	mu                sync.Mutex
	rng               *rand.Rand
	state             string
	serviceTimeFactor float64
	variableSpeed     bool
	rejectAll         bool
	runs              map[string]int
}

// UpstreamOption configures an Upstream.
type UpstreamOption func(*Upstream)

// WithServiceTime sets the mean time of a call while a slot is free.
func WithServiceTime(mean time.Duration) UpstreamOption {
	return func(u *Upstream) { u.serviceTime = mean }
}

// WithColdStart sets the cold-start period in announcements.
func WithColdStart(duration time.Duration) UpstreamOption {
	return func(u *Upstream) { u.coldStart = duration }
}

// WithHandler sets a function that is called for each request after its service
// time and returns true if it has written the answer itself.
func WithHandler(handler func(ctx context.Context, w http.ResponseWriter, r *http.Request) bool) UpstreamOption {
	return func(u *Upstream) { u.handler = handler }
}

// WithUpstreamSeed sets the seed of the random service times.
func WithUpstreamSeed(seed uint64) UpstreamOption {
	return func(u *Upstream) { u.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// NewUpstream starts a backend server on a free port of 127.0.0.1 that
// announces itself to the node at announceTo, or to none if announceTo is empty.
func NewUpstream(name, service string, slots int, announceTo string, options ...UpstreamOption) (*Upstream, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &Upstream{
		name: name, service: service, slots: slots, announceTo: announceTo, listener: listener,
		client: &http.Client{Timeout: announceInterval}, state: upstream.StateReady, serviceTimeFactor: 1,
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

// Address returns the address that the server listens on.
func (u *Upstream) Address() string { return u.listener.Addr().String() }

// Name returns the upstream's name.
func (u *Upstream) Name() string { return u.name }

// Served returns the number of requests that were run.
func (u *Upstream) Served() int64 { return u.served.Load() }

// Running returns the number of requests in progress.
func (u *Upstream) Running() int64 { return u.running.Load() }

// SetServiceTimeFactor multiplies the service time of every call by factor.
func (u *Upstream) SetServiceTimeFactor(factor float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.serviceTimeFactor = factor
}

// SetVariableSpeed makes the service time change by a pseudo-random factor every
// 40 ms, or ends that.
func (u *Upstream) SetVariableSpeed(variableSpeed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.variableSpeed = variableSpeed
}

// SetRejectAll makes the server answer every request with status 503 without
// running it, or ends that.
func (u *Upstream) SetRejectAll(rejectAll bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rejectAll = rejectAll
}

// SetState sets the state in announcements and announces it at once.
func (u *Upstream) SetState(state string) {
	u.mu.Lock()
	u.state = state
	u.mu.Unlock()
	u.announce()
}

// Runs returns the number of runs by request ID.
func (u *Upstream) Runs() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	runs := make(map[string]int, len(u.runs))
	for id, count := range u.runs {
		runs[id] = count
	}
	return runs
}

// Close closes the listener and all connections at once, and stops announcing.
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
	if u.rejecting() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.recordRun(r.Header.Get(RequestIDHeader))
	if r.Header.Get(CrashHeader) != "" {
		u.crash()
		panic(http.ErrAbortHandler)
	}
	u.served.Add(1)
	running := u.running.Add(1)
	defer u.running.Add(-1)
	if !u.waitServiceTime(r.Context(), running) {
		return
	}
	if u.handler != nil && u.handler(r.Context(), w, r) {
		return
	}
	u.writeAnswer(w, r)
}

func (u *Upstream) rejecting() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rejectAll
}

func (u *Upstream) recordRun(id string) {
	if id == "" {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[id]++
}

// CrashAndRestart closes all connections and serves again at once.
func (u *Upstream) CrashAndRestart() {
	u.mu.Lock()
	server := u.server
	u.mu.Unlock()
	_ = server.Close()
	_ = u.Restart()
}

// crash starts CrashAndRestart, which closes all connections as a crash of the
// process would.
func (u *Upstream) crash() {
	go u.CrashAndRestart()
}

// Restart serves on the same port again after the server was closed.
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

// waitServiceTime sleeps for the service time of one call, and returns false if the
// call was cancelled meanwhile.
func (u *Upstream) waitServiceTime(ctx context.Context, running int64) bool {
	serviceTime := u.drawServiceTime(running)
	if serviceTime <= 0 {
		return true
	}
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// factorStep is one eighth of the 40 ms for which a value of variableFactor holds.
const factorStep = 5 * time.Millisecond

// drawServiceTime draws a service time, half of it fixed and half exponential. Above
// the number of slots it grows in proportion to the running calls.
func (u *Upstream) drawServiceTime(running int64) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	factor := u.serviceTimeFactor
	if u.variableSpeed {
		factor *= u.variableFactor(time.Now())
	}
	overload := max(1, float64(running)/float64(u.slots))
	draw := 0.5 + 0.5*u.rng.ExpFloat64()
	return time.Duration(float64(u.serviceTime) * factor * overload * draw)
}

// variableFactor returns a pseudo-random factor of the service time between 0.5 and 3,
// which changes every 40 ms and depends on the upstream's name.
func (u *Upstream) variableFactor(now time.Time) float64 {
	period := uint64(now.UnixNano() / int64(factorStep*8))
	rng := rand.New(rand.NewPCG(period, uint64(len(u.name))+uint64(u.name[len(u.name)-1])))
	return 0.5 + 2.5*rng.Float64()*rng.Float64()
}

func (u *Upstream) writeAnswer(w http.ResponseWriter, r *http.Request) {
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
	remaining, _ := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
	w.Header().Set("Content-Length", strconv.FormatInt(remaining, 10))
	chunk := make([]byte, archiveChunkBytes)
	for remaining > 0 {
		n, err := w.Write(chunk[:min(remaining, int64(len(chunk)))])
		if err != nil {
			return
		}
		remaining -= int64(n)
	}
}
