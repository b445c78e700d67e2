package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Fault is a way in which a Backend treats a request badly.
type Fault string

// The faults of a Backend.
const (
	// FaultDisconnect runs the request and cuts the connection.
	FaultDisconnect Fault = "lost"
	// FaultHang runs the request and never answers.
	FaultHang Fault = "mute"
	// FaultCrash ends the backend server while it runs the request.
	FaultCrash Fault = "crash"
	// FaultShed refuses the request without running it.
	FaultShed Fault = "shed"
	// FaultError runs the request and fails.
	FaultError Fault = "error"
	// FaultUnstamped answers without a signature.
	FaultUnstamped Fault = "unstamped"
	// FaultTruncate breaks off in the body.
	FaultTruncate Fault = "cut"
	// FaultExtra sends another answer behind the answer.
	FaultExtra Fault = "extra"
	// FaultUnframed answers without a length.
	FaultUnframed Fault = "unframed"
	// FaultMalformed sends bytes that are no answer.
	FaultMalformed Fault = "noise"
)

// Run is a request that a Backend ran.
type Run struct {
	ID, Method, Target, Body, Caller string
	At                               time.Time
}

// Backend is a stand-in for a backend server on a host that the platform runs.
type Backend struct {
	instance string
	service  string
	zone     string
	born     time.Time
	server   *http.Server
	address  string
	// announced is the address that heartbeats name.
	announced string

	mu       sync.Mutex
	faults   []Fault
	runs     []Run
	sequence uint64
	state    string
	slowdown int
	work     time.Duration
	hold     chan struct{}
	release  func()
}

// NewBackend starts a Backend at address, an IP and port.
func NewBackend(instance, service, zone, address string) (*Backend, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	b := &Backend{
		instance: instance, service: service, zone: zone, born: time.Now(), address: listener.Addr().String(),
		announced: listener.Addr().String(),
		state:     "ready", slowdown: 100,
	}
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: time.Minute}
	go func() { _ = b.server.Serve(listener) }()
	return b, nil
}

// Close ends the Backend at once.
func (b *Backend) Close() { _ = b.server.Close() }

// Instance returns the identity of the Backend.
func (b *Backend) Instance() string { return b.instance }

// Address returns where it listens.
func (b *Backend) Address() string { return b.address }

// Announce makes heartbeats name another address, that of what forwards to the
// Backend.
func (b *Backend) Announce(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.announced = address
}

// InjectFaults treats the next requests badly, one by each fault.
func (b *Backend) InjectFaults(faults ...Fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = append(b.faults, faults...)
}

// SetSlowdown sets the speed that is reported, 100 as usual.
func (b *Backend) SetSlowdown(slowdown int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slowdown = slowdown
}

// SetWork sets how long a run takes.
func (b *Backend) SetWork(work time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.work = work
}

// Hold keeps runs from ending until the function that it returns is called.
func (b *Backend) Hold() (release func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	hold := make(chan struct{})
	b.hold = hold
	return func() {
		b.mu.Lock()
		b.hold = nil
		b.mu.Unlock()
		close(hold)
	}
}

// Runs returns the requests that were run.
func (b *Backend) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Run(nil), b.runs...)
}

// Heartbeat reports the Backend to the node at control, and returns the status
// of the acknowledgement.
func (b *Backend) Heartbeat(ctx context.Context, control, state string) (int, error) {
	b.mu.Lock()
	b.sequence++
	b.state = state
	sequence := b.sequence
	b.mu.Unlock()
	return b.HeartbeatWithSequence(ctx, control, state, sequence)
}

// HeartbeatWithSequence sends a heartbeat of any sequence, as one that was delayed has.
func (b *Backend) HeartbeatWithSequence(ctx context.Context, control, state string, sequence uint64) (int, error) {
	b.mu.Lock()
	announced := b.announced
	b.mu.Unlock()
	document, err := json.Marshal(map[string]any{
		"addr": announced, "born": b.born.UnixMilli(),
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": b.zone, "slots": 10},
		"status": map[string]any{"state": state, "seq": sequence, "cold_left_ms": 0},
	})
	if err != nil {
		return 0, err
	}
	return post(ctx, "http://"+control+"/Instances.Heartbeat/"+b.instance, document)
}

// Leave tells the node at control that the Backend ends.
func (b *Backend) Leave(ctx context.Context, control string) (int, error) {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	return post(ctx, "http://"+control+"/Instances.Leave/"+b.instance, nil)
}

func post(ctx context.Context, url string, document []byte) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(document))
	if err != nil {
		return 0, err
	}
	// A kept connection may be one of a process that was killed since.
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Body.Close()
}

// ServeHTTP implements http.Handler.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	state, slowdown, work, hold := b.state, b.slowdown, b.work, b.hold
	b.mu.Unlock()
	w.Header().Set("Load-Report", fmt.Sprintf("1,0,10,%d", slowdown))
	w.Header().Set("Instance-Id", b.instance)
	if b.controlled(w, r) {
		return
	}
	if r.URL.Path == "/healthz" {
		if state != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != b.instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fault := b.take()
	if fault == FaultShed {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.record(Run{ID: id, Method: r.Method, Target: r.RequestURI, Body: string(body), Caller: r.Header.Get("Caller-Service"), At: time.Now()})
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	if hold != nil {
		select {
		case <-hold:
		case <-r.Context().Done():
			return
		}
	}
	b.answer(w, r, fault, id, []byte(b.instance+" "+string(body)))
}

// controlled serves the requests of a test that runs the Backend as a program:
// /standin/fail?fault=F, /standin/hold, /standin/release and /standin/runs?id=I.
func (b *Backend) controlled(w http.ResponseWriter, r *http.Request) bool {
	switch r.URL.Path {
	case "/standin/fail":
		b.InjectFaults(Fault(r.URL.Query().Get("fault")))
	case "/standin/hold":
		release := b.Hold()
		b.mu.Lock()
		b.release = release
		b.mu.Unlock()
	case "/standin/release":
		b.mu.Lock()
		release := b.release
		b.release = nil
		b.mu.Unlock()
		if release != nil {
			release()
		}
	case "/standin/runs":
		count := 0
		for _, run := range b.Runs() {
			if run.ID == r.URL.Query().Get("id") {
				count++
			}
		}
		_, _ = fmt.Fprintln(w, count)
	default:
		return false
	}
	return true
}

// take returns the fault of the next request, if any.
func (b *Backend) take() Fault {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.faults) == 0 {
		return ""
	}
	fault := b.faults[0]
	b.faults = b.faults[1:]
	return fault
}

func (b *Backend) record(run Run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs = append(b.runs, run)
}

// answer sends an answer, by hand where the fault is one of framing.
func (b *Backend) answer(w http.ResponseWriter, r *http.Request, fault Fault, id string, body []byte) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: s\r\n", id)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	switch fault {
	case FaultDisconnect:
		panic(http.ErrAbortHandler)
	case FaultCrash:
		_ = b.server.Close()
		panic(http.ErrAbortHandler)
	case FaultHang:
		<-r.Context().Done()
	case FaultError:
		w.Header().Set("Response-Stamp", "s")
		w.WriteHeader(http.StatusInternalServerError)
	case FaultUnstamped:
		_, _ = w.Write(body)
	case FaultTruncate:
		b.raw(w, head+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)+9)+string(body))
	case FaultExtra:
		b.raw(w, head+length+"\r\n"+string(body)+head+length+"\r\n"+string(body))
	case FaultUnframed:
		b.raw(w, head+"\r\n"+string(body))
	case FaultMalformed:
		b.raw(w, "this is no answer\r\n\r\n")
	default:
		w.Header().Set("Response-Stamp", "s")
		_, _ = w.Write(body)
	}
}

// raw sends bytes as they are and ends the connection.
func (b *Backend) raw(w http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, text)
	_ = conn.Close()
}
