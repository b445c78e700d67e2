package egress

import (
	"context"
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
	"github.com/banyancross/banyancross/quarantine"
	"github.com/banyancross/banyancross/route"
)

const (
	// slowedRatio is how many times slower than the fastest upstream of its service
	// an upstream must be to refuse a selective call.
	slowedRatio = 2.0
	// slowdownMaxAge is how long a report of the host's speed is believed.
	slowdownMaxAge = 150 * time.Millisecond
	// defaultIdleTimeout is how long connections to the upstream are kept until
	// the upstream says how long it keeps them.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how much sooner than the upstream the gate gives up an idle
	// connection, so that no call is written to one that is being closed.
	idleMargin = time.Second
	// answerMargin is how much longer than the caller the gate waits for an
	// upstream's own answer at the deadline.
	answerMargin = 100 * time.Millisecond
)

// Clock tells the time and waits.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Call is an attempt as the upstream is to get it.
type Call struct {
	Method  string
	Target  string
	Host    string
	Header  http.Header
	Content []byte
	// Rest is the part of a long body behind Content, nil when there is none.
	Rest *http1.Body
}

// Answer is a gate's answer; Response is nil unless the outcome is Answered.
type Answer struct {
	Meta     hop.AnswerMeta
	Response *http1.Response
	// Finish ends the call when its response was read or is not wanted.
	Finish func()
}

// Refusal builds the answer to an attempt that got none from the upstream.
func Refusal(outcome call.Outcome, reason call.Reason) *Answer {
	return &Answer{Meta: hop.AnswerMeta{Outcome: outcome, Reason: reason}, Finish: func() {}}
}

// Gate is safe for concurrent use.
type Gate struct {
	clock       Clock
	logger      log.Logger
	address     string
	table       func() *route.Table
	notifyPhase func()
	// notifyLoad is called when callers should choose differently.
	notifyLoad func()
	// notifySaturation is called when the gate decides anew how many slots to use.
	notifySaturation func()
	holds            *quarantine.Blocklist
	dial             http1.Dial
	tomb             tomb.Tomb

	mu           sync.Mutex
	upstream     upstream
	admission    *admission.Gate
	pool         *http1.Pool
	stopping     bool
	health       health
	departed     map[departure]struct{}
	runs         map[string]*Run
	fanout       fanoutCounter
	lastNotified notifiedLoad
	saturation   saturation
	// restored is what was found earlier, by service.
	restored   map[string]SaturationEstimate
	runTimes   map[string]*movingMean
	entryNodes map[string]time.Time
	brokenRuns []brokenRun
	runLog     runLog
	probes     uint64
}

// Option configures a Gate.
type Option func(*Gate)

// WithClock sets the clock.
func WithClock(clock Clock) Option { return func(g *Gate) { g.clock = clock } }

// WithLogger sets where log lines go.
func WithLogger(logger log.Logger) Option { return func(g *Gate) { g.logger = logger } }

// WithPhaseNotify calls notify whenever the upstream's phase changes.
func WithPhaseNotify(notify func()) Option { return func(g *Gate) { g.notifyPhase = notify } }

// WithHolds sets what counts the requests under which upstreams ended.
func WithHolds(holds *quarantine.Blocklist) Option { return func(g *Gate) { g.holds = holds } }

// WithLoadNotify calls notify whenever the upstream's load changes so much that
// its callers should choose differently.
func WithLoadNotify(notify func()) Option { return func(g *Gate) { g.notifyLoad = notify } }

// WithSaturationNotify calls notify, which must not call the gate, when the gate
// decides anew how many of the slots to use.
func WithSaturationNotify(notify func()) Option { return func(g *Gate) { g.notifySaturation = notify } }

// NewGate returns the Gate of the upstream at address and starts to watch the
// speed of its host. table returns the configuration in force, nil before the
// first.
func NewGate(address string, table func() *route.Table, options ...Option) *Gate {
	dialer := &net.Dialer{Timeout: dialTimeout}
	g := &Gate{
		clock: clock.System{}, logger: log.NewNopLogger(), address: address, table: table, notifyPhase: func() {},
		departed: map[departure]struct{}{}, runs: map[string]*Run{},
		entryNodes: map[string]time.Time{}, runTimes: map[string]*movingMean{}, notifyLoad: func() {}, notifySaturation: func() {}, restored: map[string]SaturationEstimate{},
		holds: quarantine.NewBlocklist(), runLog: newRunLog(),
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
	}
	for _, option := range options {
		option(g)
	}
	g.tomb.Go(g.probeLoop)
	return g
}

// Close ends what the gate watches.
func (g *Gate) Close() {
	g.tomb.Kill(nil)
	_ = g.tomb.Wait()
}

// Drain refuses new calls from now on; those in progress go on.
func (g *Gate) Drain() {
	g.mu.Lock()
	g.stopping = true
	g.mu.Unlock()
	g.notifyPhase()
}

// Running returns how many calls run at the upstream.
func (g *Gate) Running() int { return int(g.Load().Running) }

// Load returns the current report of the upstream.
func (g *Gate) Load() call.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.load(g.clock.Now())
}

// load is Load with g.mu held.
func (g *Gate) load(now time.Time) call.Load {
	if g.admission == nil {
		return call.Load{}
	}
	load := g.admission.Load(now)
	load.Slowdown = float32(g.health.slowdownAt(now))
	load.Failing = g.health.failing(now)
	return load
}

// FillBeacon fills in what a beacon says of the upstream.
func (g *Gate) FillBeacon(b *fleet.Beacon) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b.Service, b.Upstream, b.Slots = g.upstream.service, g.upstream.instance, g.upstream.slots
	b.Phase, b.Load, b.Fanout = g.phase(), g.load(g.clock.Now()), g.fanout.average()
	b.SaturationSlowdown, b.SaturationSamples = float32(g.saturation.own.Slowdown), float32(g.saturation.own.Samples)
}

// phase is what other nodes are told; g.mu is held.
func (g *Gate) phase() fleet.Phase {
	switch {
	case g.upstream.instance == "" || g.upstream.unreachable:
		return fleet.Absent
	case g.upstream.leaving || g.stopping:
		return fleet.Draining
	case !g.upstream.confirmed:
		return fleet.Absent
	}
	return fleet.Ready
}
