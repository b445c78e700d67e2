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
	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/http1"
	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/quarantine"
	"github.com/banyancross/banyancross/route"
)

const (
	// slowed is how many times slower than the fastest upstream of its service
	// an upstream must be to refuse a selective call.
	slowed = 2.0
	// slowdownLife is how long a report of the host's speed is believed.
	slowdownLife = 150 * time.Millisecond
	// idleConnections is how long connections to the upstream are kept until
	// the upstream says how long it keeps them.
	idleConnections = 4 * time.Second
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
	clock   Clock
	logger  log.Logger
	address string
	table   func() *route.Table
	notify  func()
	// notifyLoad is called when callers should choose differently.
	notifyLoad func()
	holds      *quarantine.Holds
	dial       http1.Dial
	tomb       tomb.Tomb

	mu        sync.Mutex
	upstream  upstream
	admission *admission.Gate
	pool      *http1.Pool
	stopping  bool
	health    health
	departed  map[departure]struct{}
	runs      map[string]*Run
	calls     callCounts
	notified  notified
	knee      knee
	times     map[string]*mean
	callers   map[string]time.Time
	lost      []loss
	runLog    runLog
	probes    uint64
}

// Option configures a Gate.
type Option func(*Gate)

// WithClock sets the clock.
func WithClock(clock Clock) Option { return func(g *Gate) { g.clock = clock } }

// WithLogger sets where log lines go.
func WithLogger(logger log.Logger) Option { return func(g *Gate) { g.logger = logger } }

// WithNotify calls notify whenever the upstream's phase changes.
func WithNotify(notify func()) Option { return func(g *Gate) { g.notify = notify } }

// WithHolds sets what counts the requests under which upstreams ended.
func WithHolds(holds *quarantine.Holds) Option { return func(g *Gate) { g.holds = holds } }

// WithLoadNotify calls notify whenever the upstream's load changes so much that
// its callers should choose differently.
func WithLoadNotify(notify func()) Option { return func(g *Gate) { g.notifyLoad = notify } }

// systemClock is the clock of the operating system.
type systemClock struct{}

func (systemClock) Now() time.Time                         { return time.Now() }
func (systemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// NewGate returns the Gate of the upstream at address and starts to watch the
// speed of its host. table returns the configuration in force, nil before the
// first.
func NewGate(address string, table func() *route.Table, options ...Option) *Gate {
	dialer := &net.Dialer{Timeout: dialTimeout}
	g := &Gate{
		clock: systemClock{}, logger: log.NewNopLogger(), address: address, table: table, notify: func() {},
		departed: map[departure]struct{}{}, runs: map[string]*Run{},
		callers: map[string]time.Time{}, times: map[string]*mean{}, notifyLoad: func() {},
		holds: quarantine.NewHolds(), runLog: newRunLog(),
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
	}
	for _, option := range options {
		option(g)
	}
	g.tomb.Go(g.watchSpeed)
	return g
}

// Close ends what the gate watches.
func (g *Gate) Close() {
	g.tomb.Kill(nil)
	_ = g.tomb.Wait()
}

// Stop refuses new calls from now on; those in progress go on.
func (g *Gate) Stop() {
	g.mu.Lock()
	g.stopping = true
	g.mu.Unlock()
	g.notify()
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

// Describe fills in what a beacon says of the upstream.
func (g *Gate) Describe(b *fleet.Beacon) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b.Service, b.Upstream, b.Slots = g.upstream.service, g.upstream.instance, g.upstream.slots
	b.Phase, b.Load, b.Fanout = g.phase(), g.load(g.clock.Now()), g.calls.fanout()
	b.Crowding, b.Compared = float32(g.knee.ratio), float32(g.knee.weight)
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

// Do runs one attempt. The answer is never nil, and its Finish must be called.
func (g *Gate) Do(ctx context.Context, meta hop.Meta, c *Call) *Answer {
	g.calledBy(meta.From)
	answer := g.do(ctx, meta, c)
	load := g.noteLoad()
	answer.Meta.ID, answer.Meta.Gate, answer.Meta.Load = meta.ID, true, &load
	if table := g.table(); table != nil {
		answer.Meta.Revision = table.Revision()
	}
	return answer
}

func (g *Gate) do(ctx context.Context, meta hop.Meta, c *Call) *Answer {
	now := g.clock.Now()
	if g.holds.Held(now, meta.Fingerprint) {
		return Refusal(call.NotRun, call.ReasonQuarantined)
	}
	a, refused := g.begin(meta)
	if refused == "" {
		refused = g.decline(now, meta)
	}
	if refused != "" {
		return Refusal(call.NotRun, refused)
	}
	request := admission.Request{
		Deadline: now.Add(meta.Remaining), Depth: meta.Depth, Priority: meta.Priority, Expected: g.expected(meta.Route),
	}
	pass, refusal := a.admission.Admit(now, request)
	if refusal != nil {
		return Refusal(call.NotRun, refusal.Reason())
	}
	if reason := g.wait(ctx, pass, meta.Patience); reason != "" {
		return Refusal(call.NotRun, reason)
	}
	// The upstream may have begun to leave while the call waited.
	if _, refused := g.begin(meta); refused != "" {
		pass.End(g.clock.Now(), false)
		return Refusal(call.NotRun, refused)
	}
	answer := g.run(ctx, a, meta, c, pass, now)
	g.ended(meta, answer, g.clock.Now().Sub(now))
	return answer
}

// admitted are the parts that one call uses, taken together.
type admitted struct {
	admission *admission.Gate
	pool      *http1.Pool
	instance  string
}

// begin tells why a call must not run now, or returns what it uses.
func (g *Gate) begin(meta hop.Meta) (admitted, call.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.upstream.instance != meta.Upstream || g.upstream.service != meta.Service:
		return admitted{}, call.ReasonNotReady
	case g.phase() == fleet.Absent:
		return admitted{}, call.ReasonNotReady
	case g.phase() == fleet.Draining:
		return admitted{}, call.ReasonLeaving
	}
	return admitted{admission: g.admission, pool: g.pool, instance: g.upstream.instance}, ""
}

// decline tells why a selective call had better run elsewhere.
func (g *Gate) decline(now time.Time, meta hop.Meta) call.Reason {
	if !meta.Selective {
		return ""
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.health.slowdownAt(now) >= slowed*max(1, float64(meta.Fastest)):
		return call.ReasonSlowed
	case g.health.failing(now) && !g.health.sample():
		return call.ReasonFailing
	}
	return ""
}

// wait returns why a pass was not granted within the caller's patience.
func (g *Gate) wait(ctx context.Context, pass *admission.Pass, patience time.Duration) call.Reason {
	select {
	case <-pass.Ready():
	default:
		if patience <= 0 {
			return g.abandon(pass, call.ReasonOverload)
		}
		select {
		case <-pass.Ready():
		case <-g.clock.After(patience):
			return g.abandon(pass, call.ReasonOverload)
		case <-ctx.Done():
			return g.abandon(pass, call.ReasonCancelled)
		}
	}
	if refusal := pass.Refusal(); refusal != nil {
		return refusal.Reason()
	}
	return ""
}

func (g *Gate) abandon(pass *admission.Pass, reason call.Reason) call.Reason {
	if pass.Abandon() {
		pass.End(g.clock.Now(), false)
	}
	return reason
}

// run sends the call to the upstream in the slot of pass.
func (g *Gate) run(ctx context.Context, a admitted, meta hop.Meta, c *Call, pass *admission.Pass, arrived time.Time) *Answer {
	started := g.clock.Now()
	remaining := meta.Remaining - started.Sub(arrived)
	if !meta.Idempotent {
		// Its caller may leave, but what may run only once runs to its end.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, remaining+answerMargin)
	ended := g.track(meta)
	finish := func(answered bool) {
		cancel()
		ended(answered)
		pass.End(g.clock.Now(), answered)
		g.noteLoad()
	}
	response, err := a.pool.Do(ctx, g.outgoing(a, meta, c, remaining))
	if err != nil {
		// finish ends ctx, which tells why there is no answer.
		answer := g.failed(ctx, a, meta, err)
		finish(false)
		return answer
	}
	answer := platform.ReadAnswer(response.Status, response.Header)
	g.reported(a, answer, response.Header)
	if reason := g.verdict(a, answer, response); reason != "" {
		response.Finish()
		finish(false)
		outcome := call.Unknown
		if reason == call.ReasonRejected {
			outcome = call.NotRun
		}
		refused := Refusal(outcome, reason)
		refused.Meta.Ran = true
		return refused
	}
	g.holds.Answered(g.clock.Now(), meta.Fingerprint)
	g.outcome(response.Status >= http.StatusInternalServerError)
	return &Answer{
		Meta: hop.AnswerMeta{Outcome: call.Answered, Ran: true}, Response: response,
		Finish: func() {
			response.Finish()
			finish(response.Body.Whole())
		},
	}
}

func (g *Gate) outgoing(a admitted, meta hop.Meta, c *Call, remaining time.Duration) *http1.Outgoing {
	header := c.Header.Clone()
	hop.StripConnection(header)
	hop.StripOwn(header)
	header.Del("Content-Length")
	platform.SetDelivery(header, platform.Delivery{Instance: a.instance, Remaining: remaining, Caller: meta.Caller})
	out := &http1.Outgoing{
		Method: c.Method, Target: c.Target, Host: c.Host, Header: header, Body: c.Content,
		Accept: func(response *http1.Response) bool {
			answer := platform.ReadAnswer(response.Status, response.Header)
			return answer.ID() == meta.ID || (answer.ID() == "" && answer.NotRun())
		},
	}
	if c.Rest != nil {
		out.Rest = c.Rest
	}
	return out
}

// verdict tells why an answer is not passed on, if it is not.
func (g *Gate) verdict(a admitted, answer platform.Answer, response *http1.Response) call.Reason {
	switch {
	case answer.NotRun():
		if response.Status == http.StatusMisdirectedRequest {
			g.misdirected(a)
		}
		return call.ReasonRejected
	case !answer.Stamped() || answer.Encoded():
		g.outcome(true)
		return call.ReasonGarbled
	}
	return ""
}

// failed answers for a call that got no answer.
func (g *Gate) failed(ctx context.Context, a admitted, meta hop.Meta, err error) *Answer {
	if http1.KindOf(err) == http1.KindUnreached {
		g.unreached(a, err)
		return Refusal(call.NotRun, call.ReasonConnection)
	}
	reason := call.ReasonConnection
	switch context.Cause(ctx) {
	case nil:
		g.outcome(true)
		g.suspect(meta.Fingerprint)
	case context.DeadlineExceeded:
		reason = call.ReasonDeadline
		g.outcome(true)
	default:
		reason = call.ReasonCancelled
	}
	answer := Refusal(call.Unknown, reason)
	answer.Meta.Ran = true
	return answer
}
