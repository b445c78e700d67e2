package ingress

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/clock"
	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/http1"
	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/quarantine"
	"github.com/banyancross/banyancross/route"
	"github.com/banyancross/banyancross/routing"
)

// Clock tells the time and waits.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Sender sends an attempt to the gate beside an upstream. The answer is never
// nil, and its Finish must be called.
type Sender interface {
	Send(ctx context.Context, peer fleet.Peer, meta hop.Meta, c *egress.Call) *egress.Answer
}

// Observation is how a request ended.
type Observation struct {
	ID       string
	Route    string
	Service  string
	Revision uint64
	Status   int
	Outcome  call.Outcome
	Reason   call.Reason
	Attempts int
	Picks    int
	Elapsed  time.Duration
	// Late tells that the answer came after the route's latency objective.
	Late bool
	// Trail describes each attempt.
	Trail []AttemptRecord
}

// AttemptRecord is one attempt of a request.
type AttemptRecord struct {
	Host     string
	Upstream string
	Outcome  call.Outcome
	Reason   call.Reason
	Hedge    bool
	Offset   time.Duration
	Elapsed  time.Duration
	// QueueTime is the part of Elapsed that the call waited at the gate.
	QueueTime time.Duration
	Load      call.Load
}

// Ingress is safe for concurrent use.
type Ingress struct {
	clock   Clock
	table   func() *route.Table
	caller  func() string
	domain  string
	view    *fleet.View
	sender  Sender
	policy  *routing.Reporting
	budgets *budgets
	observe func(Observation)
	parent  func(id string) (egress.Run, bool)
	host    string
	holds   *quarantine.Holds

	mu  sync.Mutex
	rng *rand.Rand
	// times holds how long attempts of each route usually take.
	times map[string]time.Duration
	// sizes holds how long the answers of each route usually are, in bytes.
	sizes map[string]int64
}

// Option configures an Ingress.
type Option func(*Ingress)

// WithClock sets the clock.
func WithClock(clock Clock) Option { return func(in *Ingress) { in.clock = clock } }

// WithObserver calls observe after each request.
func WithObserver(observe func(Observation)) Option {
	return func(in *Ingress) { in.observe = observe }
}

// WithParentLookup sets how the run that makes a call is found.
func WithParentLookup(parent func(id string) (egress.Run, bool)) Option {
	return func(in *Ingress) { in.parent = parent }
}

// WithHolds sets what counts the requests under which upstreams ended.
func WithHolds(holds *quarantine.Holds) Option { return func(in *Ingress) { in.holds = holds } }

// WithHost sets the name by which gates know this node.
func WithHost(host string) Option { return func(in *Ingress) { in.host = host } }

// WithRetryBudget sets the bounds on retries that all nodes share.
func WithRetryBudget(b RetryBudget) Option {
	return func(in *Ingress) { in.budgets = newBudgets(b, in.view) }
}

// WithSeed sets the seed of all random choices.
func WithSeed(seed uint64) Option {
	return func(in *Ingress) { in.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns an Ingress for the callers in a failure domain. table returns the
// configuration in force, nil before the first; caller returns the service of
// the host.
func New(domain string, table func() *route.Table, caller func() string, view *fleet.View, sender Sender, options ...Option) *Ingress {
	in := &Ingress{
		clock: clock.System{}, table: table, caller: caller, domain: domain,
		view: view, sender: sender, observe: func(Observation) {}, times: map[string]time.Duration{}, sizes: map[string]int64{},
		holds:  quarantine.NewHolds(),
		parent: func(string) (egress.Run, bool) { return egress.Run{}, false },
		rng:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	in.budgets = newBudgets(RetryBudget{}, view)
	for _, option := range options {
		option(in)
	}
	in.policy = routing.NewReporting(rand.New(rand.NewPCG(in.rng.Uint64(), in.rng.Uint64())))
	return in
}

// RecordLoad takes what a node says of its upstream.
func (in *Ingress) RecordLoad(b fleet.Beacon) {
	if b.Upstream != "" {
		in.policy.Report(in.clock.Now(), policyName(b), b.Load)
	}
}

// policyName names an upstream to the policy.
func policyName(b fleet.Beacon) string { return b.Host + "/" + b.Upstream }

const (
	// defaultTimeout bounds a request for which neither its caller nor its
	// route says how long it may take.
	defaultTimeout = 30 * time.Second
	// minRetryAfter and retryAfterSpread bound when a refused caller is asked
	// to come back: soon enough for the latency objectives, and not all at the
	// same time.
	minRetryAfter    = 80 * time.Millisecond
	retryAfterSpread = 120 * time.Millisecond
)

// Serve implements http1.Handler.
func (in *Ingress) Serve(ctx context.Context, r *http1.Request, reply *http1.Reply) {
	s := &session{in: in, request: r, reply: reply, received: in.clock.Now(), headers: platform.ReadRequest(r.Header)}
	s.table = in.table()
	if s.table == nil {
		s.refuse(call.ReasonNoConfig)
		return
	}
	s.route = s.table.Match(r.Host, r.Path())
	if s.route == nil {
		s.fail(http.StatusNotFound, call.ReasonNoRoute)
		return
	}
	s.fingerprint = Fingerprint(r)
	if in.holds.Held(s.received, s.fingerprint) {
		s.refuse(call.ReasonQuarantined)
		return
	}
	s.service = s.route.Next()
	s.timeout = defaultTimeout
	if bound := s.headers.Timeout(); bound > 0 {
		s.timeout = bound
	}
	if s.route.Timeout > 0 {
		s.timeout = min(s.timeout, s.route.Timeout)
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	if run, ok := in.parent(s.headers.Parent()); ok {
		s.depth = run.Depth + 1
		if run.Repeated {
			in.budgets.repeated(s.received, s.service)
		}
	} else {
		in.budgets.called(s.received, s.service)
	}
	s.deliver(ctx, s.exchange(ctx))
}

// Fingerprint identifies a request across its resends, which have identities of
// their own.
func Fingerprint(r *http1.Request) uint64 {
	digest := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.Target} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(r.Content)
	return digest.Sum64()
}

// jittered returns a time between low and low + spread.
func (in *Ingress) jittered(low, spread time.Duration) time.Duration {
	in.mu.Lock()
	defer in.mu.Unlock()
	return low + time.Duration(in.rng.Int64N(int64(spread)))
}
