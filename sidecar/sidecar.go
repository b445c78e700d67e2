package sidecar

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"gopkg.in/tomb.v2"

	"github.com/banyancross/banyancross/clock"
	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/evacuation"
	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/http1"
	"github.com/banyancross/banyancross/ingress"
	"github.com/banyancross/banyancross/loglimit"
	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/quarantine"
	"github.com/banyancross/banyancross/route"
	"github.com/banyancross/banyancross/settings"
)

// Clock provides the time and timers.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Store is the platform's key-value service.
type Store interface {
	List(ctx context.Context, prefix string, stale bool) ([]platform.Entry, uint64, error)
	Get(ctx context.Context, key string) (platform.Entry, error)
	WatchOperators(ctx context.Context, last platform.Operators, wait time.Duration) (platform.Operators, error)
	Put(ctx context.Context, key string, value []byte, previous platform.Entry) error
	Set(ctx context.Context, key string, value []byte) error
	PutWithLease(ctx context.Context, key string, value []byte, lease platform.Lease) error
	GrantLease(ctx context.Context, duration time.Duration) (platform.Lease, error)
	RenewLease(ctx context.Context, lease platform.Lease) error
	Timeline() uint64
	NextTimeline() <-chan struct{}
	Calls() uint64
}

// Sidecar is a node of the fleet: the process beside a backend server.
type Sidecar struct {
	clock  Clock
	logger log.Logger
	// evidenceLogger logs what shows whether a request that is not idempotent has run.
	evidenceLogger log.Logger
	store          Store
	started        time.Time
	metrics        http.Handler
	observe        func(ingress.Observation)
	readSettings   func() (*settings.Sidecar, error)
	gauge          func(name string, value float64)
	// organisationGauge receives the gauges of organisations.
	organisationGauge func(organisation, name string, value float64)

	settings         atomic.Pointer[settings.Sidecar]
	table            atomic.Pointer[route.Table]
	rawConfiguration atomic.Pointer[[]byte]
	// evacuation is nil as long as nothing is known.
	evacuation atomic.Pointer[evacuation.Set]
	// incarnation is higher than that of each earlier start of the node.
	incarnation atomic.Int64
	sequence    atomic.Uint64
	// storeUnreachable reports that the store did not answer the latest call.
	storeUnreachable atomic.Bool
	stopping         atomic.Bool
	// fleetRead reports that the fleet's entries or a roster were read at least once.
	fleetRead atomic.Bool
	// crashesKnown reports that the crash counts were read, from the store or a node that
	// had.
	crashesKnown atomic.Bool
	// joinWait is the time from the start for which this node waits to hear another
	// one before it depends on the store alone, in nanoseconds.
	joinWait atomic.Int64
	// lastJoined is the time from the start at which another node was last heard, in
	// nanoseconds, 0 if none was.
	lastJoined atomic.Int64
	// settled reports that this node has joined the fleet, and registered that its
	// entry is in the store.
	settled, registered atomic.Bool
	// unconfirmedLease is the lease of an entry whose write was not answered, 0 if there is
	// none. Only the loop that registers uses it.
	unconfirmedLease platform.Lease
	// entriesTimeline is the latest timeline of the store in which the fleet's entries were
	// read. Only the loop that registers uses it.
	entriesTimeline uint64
	// announcedTimeline is the latest timeline of the store in which it has answered another
	// node.
	announcedTimeline atomic.Uint64

	view            *fleet.View
	blocklist       *quarantine.Blocklist
	gate            *egress.Gate
	ingress         *ingress.Ingress
	sender          *sender
	transfers       transfers
	quotas          *quotas
	callerServer    *http1.Server
	nodeServer      *http1.Server
	httpServers     []*http.Server
	socket          *net.UDPConn
	stateChanged    chan struct{}
	loadChanged     chan struct{}
	estimateChanged chan struct{}
	crashesChanged  chan struct{}
	storeRestored   chan struct{}
	fetchRequests   chan fleet.Peer
	tomb            tomb.Tomb
	// gossipCursor counts the beacons sent in rotation to nodes that send no
	// calls here.
	gossipCursor int
	// beaconRound counts the rounds of beacons, and frequentBefore holds the frequent
	// nodes of the latest.
	beaconRound    int
	frequentBefore map[string]bool
	// nodeLines limits the log lines about other nodes.
	nodeLines *loglimit.Limit

	// crashWrites is held from a read of the stored crash counts to their write.
	crashWrites sync.Mutex

	mu  sync.Mutex
	rng *rand.Rand
	// timeline is the latest timeline of the store that this node has noted, and
	// evacuationHold keeps the evacuations that were in force before; mu guards both.
	timeline       uint64
	evacuationHold evacuation.Hold
}

// Option configures a Sidecar.
type Option func(*Sidecar)

// WithClock sets the clock.
func WithClock(clock Clock) Option { return func(s *Sidecar) { s.clock = clock } }

// WithLogger sets the logger.
func WithLogger(logger log.Logger) Option { return func(s *Sidecar) { s.logger = logger } }

// WithEvidenceLogger sets the logger of the lines that show whether a request that is not
// idempotent has run, by default that of the others.
func WithEvidenceLogger(logger log.Logger) Option {
	return func(s *Sidecar) { s.evidenceLogger = logger }
}

// WithStore sets the client of the platform.
func WithStore(store Store) Option { return func(s *Sidecar) { s.store = store } }

// WithMetrics sets the handler of /metrics.
func WithMetrics(metrics http.Handler) Option { return func(s *Sidecar) { s.metrics = metrics } }

// WithObserver sets a function that is called after each request of a caller.
func WithObserver(observe func(ingress.Observation)) Option {
	return func(s *Sidecar) { s.observe = observe }
}

// WithGauge sets a function that receives the process's gauges once a second.
func WithGauge(gauge func(name string, value float64)) Option {
	return func(s *Sidecar) { s.gauge = gauge }
}

// WithOrganisationGauge sets a function that receives the gauges of organisations once a
// second, those of all but the first few as one.
func WithOrganisationGauge(gauge func(organisation, name string, value float64)) Option {
	return func(s *Sidecar) { s.organisationGauge = gauge }
}

// WithSettingsReader sets the function with which Reload reads the settings.
func WithSettingsReader(readSettings func() (*settings.Sidecar, error)) Option {
	return func(s *Sidecar) { s.readSettings = readSettings }
}

// New binds the addresses of the settings and starts the node.
func New(conf *settings.Sidecar, options ...Option) (*Sidecar, error) {
	s := &Sidecar{
		clock: clock.System{}, logger: log.NewNopLogger(), metrics: http.NotFoundHandler(),
		observe: func(ingress.Observation) {}, gauge: func(string, float64) {}, organisationGauge: func(string, string, float64) {}, view: fleet.NewView(),
		stateChanged: make(chan struct{}, 1), loadChanged: make(chan struct{}, 1), estimateChanged: make(chan struct{}, 1), crashesChanged: make(chan struct{}, 1), storeRestored: make(chan struct{}, 1),
		fetchRequests: make(chan fleet.Peer, 1), nodeLines: loglimit.NewWithBurst(nodeLinesPerSecond, nodeLinesBurst),
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	s.blocklist = quarantine.NewBlocklist(quarantine.WithCrashNotify(s.notifyCrashesChanged))
	for _, option := range options {
		option(s)
	}
	if s.store == nil {
		s.store = platform.NewClient(conf.PlatformAddress())
	}
	s.settings.Store(conf)
	s.started = s.clock.Now()
	s.incarnation.Store(s.started.UnixNano())
	s.joinWait.Store(int64(s.initialJoinWait(conf.FirstStart())))
	if s.evidenceLogger == nil {
		s.evidenceLogger = s.logger
	}
	s.logger, s.evidenceLogger = log.With(s.logger, "host", conf.Host()), log.With(s.evidenceLogger, "host", conf.Host())
	s.gate = egress.NewGate(conf.BackendAddress(), s.table.Load, egress.WithClock(s.clock),
		egress.WithLogger(s.logger), egress.WithEvidenceLogger(s.evidenceLogger), egress.WithPhaseNotify(s.notifyStateChanged), egress.WithLoadNotify(s.notifyLoadChanged),
		egress.WithSaturationNotify(s.notifyEstimateChanged), egress.WithBlocklist(s.blocklist), egress.WithTrials(s.storeTrial),
		egress.WithEvacuation(s.evacuated),
		egress.WithWarmupBounds(func() (float64, float64) {
			conf := s.settings.Load()
			return conf.WarmupOverage(), conf.WarmupSlack()
		}),
		egress.WithNestedExcess(func() map[string]float32 { return s.ingress.NestedExcess() }))
	s.transfers.way = s.way
	s.sender = newSender(s.clock, conf.Host(), s.gate, &s.transfers)
	s.quotas = newQuotas(s)
	s.ingress = ingress.New(conf.FailureDomain(), s.table.Load, s.service, s.view, s.sender,
		ingress.WithClock(s.clock), ingress.WithParentLookup(s.gate.RecordNestedCalls), ingress.WithHost(conf.Host()), ingress.WithBlocklist(s.blocklist),
		ingress.WithObserver(newRequestLog(s).observe), ingress.WithTransferUnit(conf.TransferUnit()), ingress.WithSuspicion(s.logSuspect), ingress.WithStart(s.started),
		ingress.WithRegions(func(failureDomain string) string { return s.settings.Load().RegionOf(failureDomain) }),
		ingress.WithEvacuation(s.knownEvacuation),
		ingress.WithQuota(s.quotas),
		ingress.WithRetryBudget(ingress.RetryBudget{Ratio: conf.RetryRatio(), Slack: conf.RetrySlack(), Window: conf.RetryWindow()}), leavingOption(conf))
	if err := s.listen(conf); err != nil {
		s.Kill()
		return nil, err
	}
	s.start()
	_ = level.Info(s.logger).Log("event", "started", "failure-domain", conf.FailureDomain(), "service", conf.Service(),
		"callers", conf.CallerAddress(), "incarnation", s.incarnation.Load())
	return s, nil
}

// service returns the service of this host.
func (s *Sidecar) service() string { return s.settings.Load().Service() }

const (
	// nodeHeaderBytes and nodeBodyBytes bound requests of other nodes. They
	// leave room for what nodes add to a caller's request.
	nodeHeaderBytes = 1 << 20
	nodeBodyBytes   = 1 << 30
	// nodeIdleTimeout is longer than hopIdleTimeout, so that the sending node
	// closes an idle connection first.
	nodeIdleTimeout = time.Minute
	// defaultHeaderBytes, defaultBodyBytes, defaultHeaderTimeout and
	// defaultIdleTimeout bound callers' requests where no configuration sets a
	// limit.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 64 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// listen binds the addresses of the settings.
func (s *Sidecar) listen(conf *settings.Sidecar) error {
	listenError := func(err error) error { return &Error{op: "start", kind: KindListen, err: err} }
	address, err := net.ResolveUDPAddr("udp", conf.GossipAddress())
	if err != nil {
		return listenError(err)
	}
	if s.socket, err = net.ListenUDP("udp", address); err != nil {
		return listenError(err)
	}
	callers, err := net.Listen("tcp", conf.CallerAddress())
	if err != nil {
		return listenError(err)
	}
	s.callerServer = http1.NewServer(callers, s.ingress, s.callerLimits)
	nodes, err := net.Listen("tcp", conf.NodeAddress())
	if err != nil {
		return listenError(err)
	}
	s.nodeServer = http1.NewServer(nodes, s.nodeHandler(), func() http1.Limits {
		return http1.Limits{HeaderBytes: nodeHeaderBytes, BodyBytes: nodeBodyBytes, IdleTimeout: nodeIdleTimeout}
	})
	for _, binding := range []struct {
		address string
		handler http.Handler
	}{
		{conf.UpstreamAddress(), s.upstreamHandler()},
		{conf.ReadinessAddress(), s.readyHandler()},
		{conf.MetricsAddress(), s.metricsHandler()},
	} {
		listener, err := net.Listen("tcp", binding.address)
		if err != nil {
			return listenError(err)
		}
		server := &http.Server{Handler: binding.handler, ReadHeaderTimeout: headerTimeout, ErrorLog: discardLog}
		s.httpServers = append(s.httpServers, server)
		s.tomb.Go(func() error {
			_ = server.Serve(listener)
			return nil
		})
	}
	return nil
}

// callerLimits returns the limits in force for callers' requests.
func (s *Sidecar) callerLimits() http1.Limits {
	limits := http1.Limits{
		HeaderBytes: defaultHeaderBytes, BodyBytes: defaultBodyBytes,
		HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
	}
	table := s.table.Load()
	if table == nil {
		return limits
	}
	l := table.Limits()
	if l.HeaderBytes > 0 {
		limits.HeaderBytes = l.HeaderBytes
	}
	if l.BodyBytes > 0 {
		limits.BodyBytes = l.BodyBytes
	}
	if l.HeaderTimeout > 0 {
		limits.HeaderTimeout = l.HeaderTimeout
	}
	if l.IdleTimeout > 0 {
		limits.IdleTimeout = l.IdleTimeout
	}
	return limits
}

// start starts the node's loops.
func (s *Sidecar) start() {
	s.tomb.Go(s.watchOperators)
	s.tomb.Go(s.register)
	s.tomb.Go(s.join)
	s.tomb.Go(s.storeEstimates)
	s.tomb.Go(s.storeCrashes)
	s.tomb.Go(s.sendBeacons)
	s.tomb.Go(s.receiveDatagrams)
	s.tomb.Go(s.fetchConfigurations)
	s.tomb.Go(s.updateGauges)
	s.tomb.Go(s.quotas.run)
	s.tomb.Go(s.followTimelines)
}

// sleep waits and reports whether the node is still running.
func (s *Sidecar) sleep(d time.Duration) bool {
	select {
	case <-s.tomb.Dying():
		return false
	case <-s.clock.After(d):
		return true
	}
}

// context returns a context that is cancelled when the node ends.
func (s *Sidecar) context() context.Context {
	//nolint:staticcheck // A nil parent selects the tomb's own context.
	return s.tomb.Context(nil)
}

// uniform returns a random number in (0, 1].
func (s *Sidecar) uniform() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return 1 - s.rng.Float64()
}

// jittered returns a random duration between 75 % and 125 % of d.
func (s *Sidecar) jittered(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return d*3/4 + time.Duration(s.rng.Int64N(int64(d/2)+1))
}

// Revision returns the revision of the configuration in force, 0 before the
// first.
func (s *Sidecar) Revision() uint64 {
	if table := s.table.Load(); table != nil {
		return table.Revision()
	}
	return 0
}

// UpstreamAvailable reports whether calls may be sent to the upstream of a
// host.
func (s *Sidecar) UpstreamAvailable(host string) bool {
	peer, ok := s.view.Peer(host)
	return ok && peer.Beacon().Phase == fleet.Ready && !peer.Silent()
}

// Running returns how many calls run at this host's upstream.
func (s *Sidecar) Running() int { return s.gate.Running() }
