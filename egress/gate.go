package egress

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"gopkg.in/tomb.v2"

	"github.com/banyancross/banyancross/admission"
	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/clock"
	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/http1"
	"github.com/banyancross/banyancross/loglimit"
	"github.com/banyancross/banyancross/quarantine"
	"github.com/banyancross/banyancross/route"
	"github.com/banyancross/banyancross/warmup"
)

const (
	// slowedRatio is the slowdown, relative to the fastest upstream of the
	// service, from which an upstream rejects declinable calls.
	slowedRatio = 2.0
	// slowdownMaxAge is the age from which a slowdown report is ignored.
	slowdownMaxAge = 150 * time.Millisecond
	// defaultIdleTimeout is how long idle connections to the upstream are kept
	// until it reports its own idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how long before the upstream's idle timeout the gate closes a
	// connection, so that no call is written to one that the upstream closes.
	idleMargin = time.Second
	// answerMargin is how long past the deadline the gate waits for an answer
	// that the upstream sends at the deadline.
	answerMargin = 100 * time.Millisecond
)

// Clock provides the time and timers.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Call is the request that an attempt sends to the upstream.
type Call struct {
	Method  string
	Target  string
	Host    string
	Header  http.Header
	Content []byte
	// Rest is the part of the body after Content, nil if Content is all of it.
	Rest io.Reader
}

// Answer is a gate's answer; Response is nil unless the outcome is Answered.
type Answer struct {
	Meta     hop.AnswerMeta
	Response *http1.Response
	// Finish releases the call's slot and connection; call it once the response
	// was read or is discarded. Further calls do nothing.
	Finish func()
	// err is why the upstream's response could not be received, nil if that is not
	// the reason.
	err error
	// notReceived means that the upstream itself did not receive the request.
	notReceived bool
	received    received
}

// received describes the response to a request for the log, zero without one.
type received struct {
	status int
	// connection and exchange are those of http1.Response.
	connection, exchange uint64
	// stamped means that the response says that the request ran.
	stamped bool
}

// Refusal returns the answer to an attempt that got no response.
func Refusal(outcome call.Outcome, reason call.Reason) *Answer {
	return &Answer{Meta: hop.AnswerMeta{Outcome: outcome, Reason: reason}, Finish: func() {}}
}

// Gate admits calls to one upstream; it is safe for concurrent use.
type Gate struct {
	clock   Clock
	started time.Time
	logger  log.Logger
	// evidenceLogger logs what shows whether a request that is not idempotent has run.
	evidenceLogger log.Logger
	address        string
	table          func() *route.Table
	notifyPhase    func()
	// notifyLoad is called when the upstream becomes full or slow, or ceases to be.
	notifyLoad func()
	// notifySaturation is called when the share of slots in use changes.
	notifySaturation func()
	// nestedExcess returns the excess of services that runs call.
	nestedExcess func() map[string]float32
	blocklist    *quarantine.Blocklist
	// storeTrial stores a trial of a blocked request and reports whether it may run.
	storeTrial func(ctx context.Context, fingerprint uint64) bool
	evacuated  func() bool
	dial       http1.Dial
	tomb       tomb.Tomb
	// usage counts the connections to all incarnations of the upstream.
	usage http1.Usage

	mu           sync.Mutex
	upstream     upstream
	admission    *admission.Gate
	pool         *http1.Pool
	stopping     bool
	health       health
	departed     map[incarnation]struct{}
	runs         map[string]*Run
	notifiedLoad notifiedLoad
	saturation   saturation
	// restored holds the estimates from the store, by service.
	restored      map[string]SaturationEstimate
	runTimes      map[string]*movingMean
	entryNodes    map[string]time.Time
	brokenRuns    []brokenRun
	unsafeRunLog  *loglimit.Limit
	unansweredLog *loglimit.Limit
	discardLog    *loglimit.Limit
	discarded     uint64
	// openedEarlier counts the connections that earlier pools opened.
	openedEarlier uint64
	probes        uint64
	warmup        warmupState
}

// Option configures a Gate.
type Option func(*Gate)

// WithClock sets the clock.
func WithClock(clock Clock) Option { return func(g *Gate) { g.clock = clock } }

// WithLogger sets where log lines go.
func WithLogger(logger log.Logger) Option { return func(g *Gate) { g.logger = logger } }

// WithEvidenceLogger sets where log lines go that show whether a request that is not idempotent
// has run, by default where the others go.
func WithEvidenceLogger(logger log.Logger) Option {
	return func(g *Gate) { g.evidenceLogger = logger }
}

// WithPhaseNotify calls notifyPhase whenever the upstream's phase changes.
func WithPhaseNotify(notifyPhase func()) Option { return func(g *Gate) { g.notifyPhase = notifyPhase } }

// WithNestedExcess sets the function that returns the share of the nested calls without
// room, by service; answers carry it.
func WithNestedExcess(nestedExcess func() map[string]float32) Option {
	return func(g *Gate) { g.nestedExcess = nestedExcess }
}

// WithBlocklist sets the list of requests that crash upstreams.
func WithBlocklist(blocklist *quarantine.Blocklist) Option {
	return func(g *Gate) { g.blocklist = blocklist }
}

// WithTrials sets the function that stores a trial of a blocked request and reports whether
// the request may run. Without it there are no trials.
func WithTrials(storeTrial func(ctx context.Context, fingerprint uint64) bool) Option {
	return func(g *Gate) { g.storeTrial = storeTrial }
}

// WithEvacuation sets the function that reports whether the upstream's failure domain is
// evacuated. Then the gate rejects all calls; those in progress run to their end.
func WithEvacuation(evacuated func() bool) Option { return func(g *Gate) { g.evacuated = evacuated } }

// WithLoadNotify calls notify whenever the upstream becomes full or slow, or
// ceases to be, so that entry nodes can choose another upstream.
func WithLoadNotify(notify func()) Option { return func(g *Gate) { g.notifyLoad = notify } }

// WithSaturationNotify calls notify, which must not call the gate, when the share
// of slots that the gate uses changes.
func WithSaturationNotify(notify func()) Option { return func(g *Gate) { g.notifySaturation = notify } }

// NewGate returns the Gate of the upstream at address and starts to probe it.
// table returns the current routing table, nil until there is one.
func NewGate(address string, table func() *route.Table, options ...Option) *Gate {
	dialer := &net.Dialer{Timeout: dialTimeout}
	g := &Gate{
		clock: clock.System{}, logger: log.NewNopLogger(), address: address, table: table, notifyPhase: func() {}, nestedExcess: func() map[string]float32 { return nil },
		departed: map[incarnation]struct{}{}, runs: map[string]*Run{},
		entryNodes: map[string]time.Time{}, runTimes: map[string]*movingMean{}, notifyLoad: func() {}, notifySaturation: func() {}, restored: map[string]SaturationEstimate{},
		blocklist: quarantine.NewBlocklist(), storeTrial: func(context.Context, uint64) bool { return false }, evacuated: func() bool { return false }, unsafeRunLog: loglimit.New(unsafeRunLinesPerSecond), unansweredLog: loglimit.New(runLinesPerSecond), discardLog: loglimit.New(discardLinesPerSecond), warmup: newWarmupState(),
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
	}
	for _, option := range options {
		option(g)
	}
	if g.evidenceLogger == nil {
		g.evidenceLogger = g.logger
	}
	g.started = g.clock.Now()
	g.warmup.limiter = warmup.NewLimiter(g.started)
	g.tomb.Go(g.probeLoop)
	return g
}

// Close stops the probes.
func (g *Gate) Close() {
	g.tomb.Kill(nil)
	_ = g.tomb.Wait()
}

// Drain rejects new calls; those in progress run to their end.
func (g *Gate) Drain() {
	g.mu.Lock()
	g.stopping = true
	g.mu.Unlock()
	g.notifyPhase()
}

// Running returns the number of calls that the upstream runs.
func (g *Gate) Running() int { return int(g.Load().Running) }

// Load returns the current load of the upstream.
func (g *Gate) Load() call.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.load(g.clock.Now())
}

// load implements Load; g.mu is held.
func (g *Gate) load(now time.Time) call.Load {
	if g.admission == nil {
		return call.Load{}
	}
	load := g.admission.Load(now)
	load.Slowdown = float32(g.health.slowdownAt(now))
	load.Failing = g.health.failing(now)
	g.limitWarmupLoad(now, &load)
	return load
}

// FillBeacon sets the fields of a beacon that describe the upstream.
func (g *Gate) FillBeacon(b *fleet.Beacon) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b.Service, b.Upstream, b.Slots = g.upstream.service, g.upstream.instance, g.upstream.slots
	b.Phase, b.Load = g.phase(), g.load(g.clock.Now())
	b.SaturationSlowdown, b.SaturationSamples = float32(g.saturation.own.Slowdown), float32(g.saturation.own.Samples)
}

// phase returns the phase that beacons report; g.mu is held.
func (g *Gate) phase() fleet.Phase {
	switch {
	case g.upstream.instance == "" || g.upstream.unreachable:
		return fleet.Absent
	case g.upstream.leaving || g.stopping:
		return fleet.Draining
	case !g.confirmed():
		return fleet.Absent
	}
	return fleet.Ready
}
