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
	"time"
)

// Run is one execution of a request at a Backend.
type Run struct {
	ID, Method, Target, Body, Caller string
	// Early means that the answer was sent before the body was read, which Body then lacks.
	Early  bool
	Header http.Header
	At     time.Time
}

// Arrival is the receipt of a request, which a Backend then runs or rejects.
type Arrival struct {
	ID string
	At time.Time
}

// Backend is a stand-in for a backend server that the platform runs and that
// registers with the sidecar on its host by heartbeats.
type Backend struct {
	instance      string
	service       string
	failureDomain string
	startedAt     time.Time
	server        *http.Server
	address       string
	// announcedAddress is the address in heartbeats.
	announcedAddress string

	mu     sync.Mutex
	faults []Fault
	// crashCaller is the service whose requests crash the Backend, "" for none.
	crashCaller string
	runs        []Run
	arrivals    []Arrival
	// lossShare is the share of runs that end with a closed connection.
	lossShare                 float64
	rejectShare, repeatShare  float64
	breakShare                float64
	earlyShare                float64
	nested                    nestedCalls
	sequence                  uint64
	state                     string
	slowdown                  int
	warmUntil                 time.Time
	noWarmupReport, unhealthy bool
	serviceTime               time.Duration
	// hold, unless nil, delays answers until it is closed. release ends a hold that
	// a control request began.
	hold    chan struct{}
	release func()
}

// NewBackend starts a Backend at address, an IP and port.
func NewBackend(instance, service, failureDomain, address string) (*Backend, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	b := &Backend{
		instance: instance, service: service, failureDomain: failureDomain, startedAt: time.Now(), address: listener.Addr().String(),
		announcedAddress: listener.Addr().String(),
		state:            "ready", slowdown: 100,
	}
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: time.Minute, ConnState: connState}
	go func() { _ = b.server.Serve(repeatListener{Listener: listener, backend: b}) }()
	return b, nil
}

// Close closes the listener and all connections at once.
func (b *Backend) Close() { _ = b.server.Close() }

// Instance returns the identity of the Backend.
func (b *Backend) Instance() string { return b.instance }

// Address returns the address that the Backend listens on.
func (b *Backend) Address() string { return b.address }

// SetAnnouncedAddress sets the address in heartbeats, for a Backend behind a
// forwarder.
func (b *Backend) SetAnnouncedAddress(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.announcedAddress = address
}

// InjectFaults queues faults; each applies to one of the next requests, in order.
func (b *Backend) InjectFaults(faults ...Fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = append(b.faults, faults...)
}

// SetCrashCaller makes the Backend crash when it runs a request from a service.
func (b *Backend) SetCrashCaller(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crashCaller = service
}

// SetSlowdown sets the slowdown in load reports, in percent; 100 means none.
func (b *Backend) SetSlowdown(slowdown int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slowdown = slowdown
}

// NoWarmupReport makes a Backend report no warmup in health responses.
const NoWarmupReport time.Duration = -1

// SetWarmup makes the Backend report that it is cold for left.
func (b *Backend) SetWarmup(left time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.warmUntil, b.noWarmupReport = time.Now().Add(left), left == NoWarmupReport
}

// SetHealthy sets whether the status check succeeds while the state is ready.
func (b *Backend) SetHealthy(healthy bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unhealthy = !healthy
}

// SetServiceTime sets the time that each run takes.
func (b *Backend) SetServiceTime(serviceTime time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.serviceTime = serviceTime
}

// Hold delays the answers to all requests that arrive from now on until release is
// called.
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

// SetLossShare sets the share of runs that end with a closed connection instead of an
// answer.
func (b *Backend) SetLossShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lossShare = share
}

// SetEarlyShare sets the share of requests with a body too long for the buffer of a node that
// are answered before the body is read.
func (b *Backend) SetEarlyShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earlyShare = share
}

// Arrivals returns all requests that were run or rejected, in the order of their
// receipt.
func (b *Backend) Arrivals() []Arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Arrival(nil), b.arrivals...)
}

// Runs returns all runs, in the order of their start.
func (b *Backend) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Run(nil), b.runs...)
}

// Heartbeat sends the next heartbeat to the node at control, and returns the HTTP
// status of its answer.
func (b *Backend) Heartbeat(ctx context.Context, control, state string) (int, error) {
	b.mu.Lock()
	b.sequence++
	b.state = state
	sequence := b.sequence
	b.mu.Unlock()
	return b.HeartbeatWithSequence(ctx, control, state, sequence)
}

// HeartbeatWithSequence sends a heartbeat with the given sequence number. A
// number below an earlier one simulates a heartbeat that the network delayed.
func (b *Backend) HeartbeatWithSequence(ctx context.Context, control, state string, sequence uint64) (int, error) {
	b.mu.Lock()
	announcedAddress, warmUntil := b.announcedAddress, b.warmUntil
	b.mu.Unlock()
	document, err := json.Marshal(map[string]any{
		"addr": announcedAddress, "born": b.startedAt.UnixMilli(),
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": b.failureDomain, "slots": 10},
		"status": map[string]any{"state": state, "seq": sequence, "cold_left_ms": max(0, time.Until(warmUntil).Milliseconds())},
	})
	if err != nil {
		return 0, err
	}
	return post(ctx, "http://"+control+"/Instances.Heartbeat/"+b.instance, document)
}

// Leave deregisters the Backend from the node at control, and returns the HTTP
// status of its answer.
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
	// The process at the other end of an idle connection may have been killed.
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
	state, slowdown, serviceTime, hold, warmUntil := b.state, b.slowdown, b.serviceTime, b.hold, b.warmUntil
	crashCaller := b.crashCaller
	noWarmupReport, unhealthy := b.noWarmupReport, b.unhealthy
	b.mu.Unlock()
	w.Header().Set("Load-Report", fmt.Sprintf("1,0,10,%d", slowdown))
	w.Header().Set("Instance-Id", b.instance)
	if b.serveControl(w, r) {
		return
	}
	if r.URL.Path == "/healthz" {
		if !noWarmupReport {
			w.Header().Set("Cold-Ms", strconv.FormatInt(max(0, time.Until(warmUntil).Milliseconds()), 10))
		}
		if state != "ready" || unhealthy {
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
	fault := b.nextFault(isLong(r))
	b.recordArrival(id)
	if fault == FaultEarlyAnswer {
		b.recordRun(Run{ID: id, Method: r.Method, Target: r.RequestURI, Caller: r.Header.Get("Caller-Service"), Early: true, At: time.Now()})
		answerEarly(w, r, []byte(b.instance))
		return
	}
	if head, ok := earlyResetHeads[fault]; ok {
		b.recordRun(Run{ID: id, Method: r.Method, Target: r.RequestURI, Caller: r.Header.Get("Caller-Service"), Early: true, At: time.Now()})
		b.resetEarly(w, head, id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if fault == FaultShed {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.recordRun(Run{ID: id, Method: r.Method, Target: r.RequestURI, Body: string(body), Caller: r.Header.Get("Caller-Service"), Header: r.Header, At: time.Now()})
	select {
	case <-time.After(serviceTime):
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
	if crashCaller != "" && r.Header.Get("Caller-Service") == crashCaller {
		fault = FaultCrash
	}
	if fault == "" {
		fault = b.callOthers(r.Context(), id)
	}
	b.writeAnswer(w, r, fault, id, []byte(b.instance+" "+string(body)))
}

// serveControl serves the control requests of a test that runs the Backend as a
// process: /standin/fail?fault=F, /standin/hold, /standin/release and
// /standin/runs?id=I. It reports whether the request was one of them.
func (b *Backend) serveControl(w http.ResponseWriter, r *http.Request) bool {
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

// isLong reports whether the body of a request is too long for the buffer of a node, which
// then sends it in chunks.
func isLong(r *http.Request) bool { return r.ContentLength < 0 }

// nextFault removes the first queued fault and returns it. If there is none, it returns
// FaultShed for the share of requests that are rejected, FaultEarlyAnswer for the share of
// long ones that are answered early, FaultDisconnect for the share whose answers are lost, or
// else "".
func (b *Backend) nextFault(long bool) Fault {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.faults) == 0 {
		if b.rejectShare > 0 && rand.Float64() < b.rejectShare {
			return FaultShed
		}
		if long && b.earlyShare > 0 && rand.Float64() < b.earlyShare {
			return FaultEarlyAnswer
		}
		if b.lossShare > 0 && rand.Float64() < b.lossShare {
			return FaultDisconnect
		}
		return ""
	}
	fault := b.faults[0]
	b.faults = b.faults[1:]
	return fault
}

func (b *Backend) recordArrival(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals = append(b.arrivals, Arrival{ID: id, At: time.Now()})
}

func (b *Backend) recordRun(run Run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs = append(b.runs, run)
}
