package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"gopkg.in/tomb.v2"

	"github.com/banyancross/banyancross/clock"
	"github.com/banyancross/banyancross/control"
	"github.com/banyancross/banyancross/entry"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/membership"
	"github.com/banyancross/banyancross/note"
	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/publishing"
	"github.com/banyancross/banyancross/quarantine"
	"github.com/banyancross/banyancross/routing"
	"github.com/banyancross/banyancross/settings"
	"github.com/banyancross/banyancross/totals"
	"github.com/banyancross/banyancross/upstream"
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	KindListen Kind = "listen"
	KindStop   Kind = "stop"
)

// Error is the error type of this package.
type Error struct {
	op   string
	kind Kind
	err  error
}

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("node %s: %s: %v", e.op, e.kind, e.err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Clock provides the time and timers.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Store is the platform's key-value service.
type Store interface {
	publishing.Store
	Watch(ctx context.Context, key string, last platform.Entry) (platform.Entry, error)
	Calls() uint64
}

// Dial opens a connection to another node.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Listen binds an address.
type Listen func(address string) (net.Listener, error)

// Node is the process beside a backend server.
type Node struct {
	settings    *settings.Settings
	clock       Clock
	logger      log.Logger
	store       Store
	dial        Dial
	bind        Listen
	rng         *lockedRand
	newPolicy   func() routing.Policy
	observe     func(entry.Observation)
	tracer      trace.Tracer
	metrics     http.Handler
	incarnation string

	inForce      *note.InForce
	view         *membership.View
	peers        *control.Peers
	hops         *hop.Client
	gate         *upstream.Gate
	entry        *entry.Entry
	counter      *totals.Counter
	publisher    *publishing.Publisher
	quarantine   *quarantine.Quarantine
	roundTrips   *roundTrips
	targetCache  targetCache
	domainCounts *domainCounts
	servers      []*http.Server
	tomb         tomb.Tomb

	mu       sync.Mutex
	lastSync time.Time
	stopping bool
}

// Option configures a Node.
type Option func(*Node)

// WithClock sets the clock.
func WithClock(clock Clock) Option { return func(n *Node) { n.clock = clock } }

// WithLogger sets the logger.
func WithLogger(logger log.Logger) Option { return func(n *Node) { n.logger = logger } }

// WithStore sets the client of the platform.
func WithStore(store Store) Option { return func(n *Node) { n.store = store } }

// WithDial sets the function that opens connections to other nodes.
func WithDial(dial Dial) Option { return func(n *Node) { n.dial = dial } }

// WithListen sets the function that binds addresses.
func WithListen(bind Listen) Option { return func(n *Node) { n.bind = bind } }

// WithSeed sets the seed of all random choices except generated identifiers.
func WithSeed(seed uint64) Option {
	return func(n *Node) { n.rng = newLockedRand(seed) }
}

// WithPolicy sets the routing policy, which chooses an upstream for each attempt.
func WithPolicy(newPolicy func() routing.Policy) Option {
	return func(n *Node) { n.newPolicy = newPolicy }
}

// WithObserver sets a function to be called after each call that this node
// received as an entry node.
func WithObserver(observe func(entry.Observation)) Option {
	return func(n *Node) { n.observe = observe }
}

// WithTracer sets the tracer that records the spans.
func WithTracer(tracer trace.Tracer) Option { return func(n *Node) { n.tracer = tracer } }

// WithMetrics sets the handler of the operators' /metrics.
func WithMetrics(metrics http.Handler) Option { return func(n *Node) { n.metrics = metrics } }

// New binds the addresses of the settings and starts the node.
func New(s *settings.Settings, options ...Option) (*Node, error) {
	n := &Node{
		settings:    s,
		clock:       clock.System{},
		logger:      log.NewNopLogger(),
		bind:        func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		rng:         newLockedRand(rand.Uint64()),
		observe:     func(entry.Observation) {},
		tracer:      noop.NewTracerProvider().Tracer(""),
		metrics:     http.NotFoundHandler(),
		incarnation: uuid.NewString()[:8],
		inForce:     note.NewInForce(),
		roundTrips:  newRoundTrips(),
	}
	n.newPolicy = func() routing.Policy { return routing.NewLeastLatency(n.rng.fork()) }
	for _, option := range options {
		option(n)
	}
	if n.store == nil {
		n.store = platform.NewClient(s.PlatformAddress())
	}
	n.logger = log.With(n.logger, "host", s.Host(), "incarnation", n.incarnation)
	n.createComponents()
	if err := n.listen(); err != nil {
		n.Kill()
		return nil, err
	}
	n.start()
	_ = level.Info(n.logger).Log("event", "started", "failure-domain", s.FailureDomain(),
		"callers", s.CallerAddress(), "nodes", s.NodeAddress())
	return n, nil
}

// createComponents creates the components of the node and connects them.
func (n *Node) createComponents() {
	now := n.clock.Now()
	self := membership.Member{
		Host: n.settings.Host(), Incarnation: n.incarnation, StartedUnixNano: now.UnixNano(),
		FailureDomain: n.settings.FailureDomain(), Region: n.settings.Region(), Address: n.settings.NodeAddress(),
	}
	n.view = membership.NewView(now, self, n.rng.fork())
	n.counter = totals.NewCounter(n.settings.Host(), n.incarnation)
	n.quarantine = quarantine.New(quarantine.WithBroadcast(n.broadcastQuarantine))
	n.gate = upstream.NewGate(n.clock, n.inForce, n.counter, n.incarnation,
		upstream.WithNotify(n.upstreamChanged), upstream.WithQuarantine(n.quarantine))
	n.hops = hop.NewClient(hop.Dial(n.dial))
	n.peers = control.NewPeers(n.handle, control.Dial(n.dial))
	n.publisher = publishing.New(n.store, n.clock, publishing.WithInForce(n.inForce.State))
	n.domainCounts = newDomainCounts()
	n.entry = entry.New(n.clock, n, n, n.counter, entry.WithPolicy(n.newPolicy),
		entry.WithLocation(n.settings.Location()), entry.WithObserver(n.observe), entry.WithTracer(n.tracer))
}

// listen binds the addresses for nodes, callers, the upstream and operators, and
// serves them.
func (n *Node) listen() error {
	nodes := http.NewServeMux()
	nodes.Handle(control.Path, n.peers)
	nodes.Handle("/", hop.Handler(n.tracedGate()))
	announcements := http.NewServeMux()
	announcements.Handle("PUT "+upstream.AnnouncementPath, upstream.AnnouncementHandler(n.gate))
	bindings := []struct {
		address string
		handler http.Handler
	}{
		{n.settings.NodeAddress(), nodes},
		{n.settings.CallerAddress(), n.entry},
		{n.settings.UpstreamAddress(), announcements},
		{n.settings.OperatorAddress(), n.operatorsHandler()},
	}
	for _, binding := range bindings {
		listener, err := n.bind(binding.address)
		if err != nil {
			return &Error{op: "start", kind: KindListen, err: err}
		}
		server := newServer(binding.handler)
		n.servers = append(n.servers, server)
		n.tomb.Go(func() error {
			_ = server.Serve(listener)
			return nil
		})
	}
	return nil
}

const (
	readHeaderTimeout    = 5 * time.Second
	idleTimeout          = 2 * time.Minute
	maxHeaderBytes       = 64 << 10
	maxConcurrentStreams = 2000
)

func newServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          discardLog,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          maxConcurrentStreams,
			MaxReceiveBufferPerConnection: 4 << 20,
			MaxReceiveBufferPerStream:     512 << 10,
		},
	}
}

// start starts the periodic and the background tasks.
func (n *Node) start() {
	n.runEvery(probeInterval, n.probeNeighbours)
	n.runEvery(suspectCheckInterval, n.expireSuspects)
	n.runEvery(reportInterval, n.sendReports)
	n.runEvery(writeInterval, n.writeCounts)
	n.runEvery(downProbeInterval, n.probeDown)
	n.tomb.Go(n.join)
	n.tomb.Go(n.watchConfiguration)
	n.tomb.Go(n.refreshGateOnChange)
	n.tomb.Go(n.renewLeasePeriodically)
	n.tomb.Go(n.probeUpstream)
}

// runEvery calls run after each jittered interval until the node stops.
func (n *Node) runEvery(interval time.Duration, run func(ctx context.Context)) {
	n.tomb.Go(func() error {
		for n.sleep(n.rng.jitter(interval)) {
			run(n.context())
		}
		return nil
	})
}

// sleep waits for d and reports whether the node is still running.
func (n *Node) sleep(d time.Duration) bool {
	select {
	case <-n.tomb.Dying():
		return false
	case <-n.clock.After(d):
		return true
	}
}

// context returns a context that is cancelled when the node stops.
func (n *Node) context() context.Context {
	//nolint:staticcheck // For nil, tomb returns a context that is cancelled when the tomb dies.
	return n.tomb.Context(nil)
}

// Stop leaves the fleet gracefully: it refuses new calls, waits for those in
// progress and sends the last counts. When ctx ends, it waits no longer and
// returns an error that says what was aborted.
func (n *Node) Stop(ctx context.Context) error {
	n.mu.Lock()
	n.stopping = true
	n.mu.Unlock()
	idle := n.gate.Leave()
	_ = level.Info(n.logger).Log("event", "leaving")
	var err error
	select {
	case <-idle:
	case <-ctx.Done():
		err = &Error{op: "stop", kind: KindStop, err: fmt.Errorf("%d calls in progress were aborted", n.gate.Load().Running)}
	}
	// Shutdown also waits for the calls that this node received as an entry node.
	for _, server := range n.servers[1:] {
		if shutdownErr := server.Shutdown(ctx); shutdownErr != nil && err == nil {
			err = &Error{op: "stop", kind: KindStop, err: shutdownErr}
		}
	}
	n.releaseLease(ctx)
	n.counter.Finish()
	n.sendReports(ctx)
	n.writeCounts(ctx)
	left := n.view.UpdateSelf(func(m *membership.Member) { m.Status = membership.Left })
	n.broadcastAndWait(ctx, control.Message{Kind: control.Gossip, Members: []membership.Member{left}})
	// The last answers to other nodes may not have been written yet.
	_ = n.servers[0].Shutdown(ctx)
	n.Kill()
	return err
}

// Kill stops the node immediately, without leaving the fleet, as a crash would.
func (n *Node) Kill() {
	n.tomb.Kill(nil)
	for _, server := range n.servers {
		_ = server.Close()
	}
	n.peers.Close()
	n.hops.Close()
	if n.tomb.Alive() || len(n.servers) > 0 {
		_ = n.tomb.Wait()
	}
	_ = level.Info(n.logger).Log("event", "stopped")
}

// Incarnation returns the random identifier of this run of the node.
func (n *Node) Incarnation() string { return n.incarnation }

// Host returns the name of the host.
func (n *Node) Host() string { return n.settings.Host() }

// RunningCalls returns the number of calls running at this node's upstream.
func (n *Node) RunningCalls() int { return int(n.gate.Load().Running) }
