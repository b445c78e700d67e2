package ingress

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyancross/banyancross/admission"
	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/clock"
	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/evacuation"
	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/http1"
	"github.com/banyancross/banyancross/locality"
	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/quarantine"
	"github.com/banyancross/banyancross/route"
	"github.com/banyancross/banyancross/routing"
)

// Clock provides the time and timers.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Sender sends an attempt to the admission gate in front of an upstream. The
// answer is never nil, and its Finish must be called.
type Sender interface {
	Send(ctx context.Context, peer fleet.Peer, meta hop.Meta, c *egress.Call) *egress.Answer
}

// Observation describes a request that has ended.
type Observation struct {
	ID      string
	Route   string
	Service string
	// Organisation is the organisation of the caller, "" for none.
	Organisation string
	// Revision is the configuration that the request was routed by.
	Revision uint64
	// Status is the HTTP status of the response, 0 if the caller cancelled.
	Status  int
	Outcome call.Outcome
	Reason  call.Reason
	// Idempotent means that the request's route allows repeats, false without a route.
	Idempotent bool
	// Attempts counts the sends that reached an upstream or may have.
	Attempts int
	// Picks counts the upstreams chosen, including those whose gate refused.
	Picks   int
	Elapsed time.Duration
	// Late means that the request took longer than the route's latency objective.
	Late bool
	// Fingerprint identifies the request across resends by its caller.
	Fingerprint uint64
	// RetryDenied means that the retry budget forbade another attempt.
	RetryDenied bool
	// ParentRetried means that the request is a nested call of a retried run, so that
	// it counts as a retry.
	ParentRetried bool
	// Trail lists the attempts in the order of their ends, unfinished ones last.
	Trail []AttemptRecord
}

// AttemptRecord describes one attempt of a request.
type AttemptRecord struct {
	Host     string
	Upstream string
	Outcome  call.Outcome
	Reason   call.Reason
	Hedge    bool
	// Retry means that the attempt was charged to the retry budget.
	Retry bool
	// Offset is the time from the receipt of the request to the attempt.
	Offset  time.Duration
	Elapsed time.Duration
	// QueueTime is the part of Elapsed that the call spent queued at the gate.
	QueueTime time.Duration
	// Load is the upstream's load as the gate reported it with its answer.
	Load call.Load
	// UpstreamStatus, Connection and Exchange are those of hop.AnswerMeta.
	UpstreamStatus       int
	Connection, Exchange uint64
	// Way is the way to the upstream's failure domain, and Leaving why the attempt left
	// that of the entry node, "" if it did not.
	Way     locality.Way
	Leaving locality.Reason
}

// Ingress serves the requests of a host's callers; it is safe for concurrent use.
type Ingress struct {
	clock         Clock
	table         func() *route.Table
	callerService func() string
	failureDomain string
	view          *fleet.View
	sender        Sender
	policy        *routing.LeastCost
	retryBudget   RetryBudget
	retryBudgets  *retryBudgets
	started       time.Time
	observe       func(Observation)
	parentRun     ParentLookup
	nestedCalls   *nestedCalls
	usualTimeouts *usualTimeouts
	levels        *admission.Levels
	host          string
	blocklist     *quarantine.Blocklist
	transferUnit  int64
	suspected     func(host string)
	regionOf      func(failureDomain string) string
	leaving       *leaving
	evacuation    func() evacuation.Set
	quota         Quota
	// stop is set once the process stops.
	stop atomic.Pointer[stopTimes]

	mu  sync.Mutex
	rng *rand.Rand
	// meanTimes holds the mean duration of an answered attempt, by route.
	meanTimes map[string]time.Duration
	// meanSizes holds the mean length of a response in bytes, by route.
	meanSizes map[string]int64
}

// Option configures an Ingress.
type Option func(*Ingress)

// WithClock sets the clock.
func WithClock(clock Clock) Option { return func(in *Ingress) { in.clock = clock } }

// WithObserver calls observe when a request ends, before its response is sent.
func WithObserver(observe func(Observation)) Option {
	return func(in *Ingress) { in.observe = observe }
}

// ParentLookup records nested calls to a service and returns the run of request id that
// makes them, if it is running on this host.
type ParentLookup func(id, service string, calls int) (egress.Run, bool)

// WithParentLookup sets the function that finds the run that makes a nested call.
func WithParentLookup(parentRun ParentLookup) Option {
	return func(in *Ingress) { in.parentRun = parentRun }
}

// WithBlocklist sets the blocklist of the requests that crash upstreams.
func WithBlocklist(blocklist *quarantine.Blocklist) Option {
	return func(in *Ingress) { in.blocklist = blocklist }
}

// WithHost sets the host that attempts name as their entry node.
func WithHost(host string) Option { return func(in *Ingress) { in.host = host } }

// WithRetryBudget sets the retry budget that all nodes share.
func WithRetryBudget(b RetryBudget) Option {
	return func(in *Ingress) { in.retryBudget = b }
}

// WithStart sets when the process started, in place of the time of New.
func WithStart(started time.Time) Option { return func(in *Ingress) { in.started = started } }

// WithSuspicion sets a function that is called when a node becomes silent because
// a call could not reach it.
func WithSuspicion(suspected func(host string)) Option {
	return func(in *Ingress) { in.suspected = suspected }
}

// WithRegions sets the function that returns the region of a failure domain, "" if it is
// unknown.
func WithRegions(regionOf func(failureDomain string) string) Option {
	return func(in *Ingress) { in.regionOf = regionOf }
}

// WithEvacuation sets the function that returns the evacuated failure domains, to whose
// upstreams no request is sent.
func WithEvacuation(known func() evacuation.Set) Option {
	return func(in *Ingress) { in.evacuation = known }
}

// suspect marks a node as silent after a call started at started did not reach it.
func (in *Ingress) suspect(now, started time.Time, host string) {
	if in.view.Suspect(now, started, host) {
		in.suspected(host)
	}
}

// WithTransferUnit sets the number of bytes whose transfer between failure domains
// costs as much as the whole capacity of an upstream.
func WithTransferUnit(bytes int64) Option { return func(in *Ingress) { in.transferUnit = bytes } }

// WithSeed sets the seed of all random choices.
func WithSeed(seed uint64) Option {
	return func(in *Ingress) { in.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns an Ingress for the callers on a host in a failure domain. table
// returns the configuration in force, nil before the first; callerService returns
// the service of the host.
func New(failureDomain string, table func() *route.Table, callerService func() string, view *fleet.View, sender Sender, options ...Option) *Ingress {
	in := &Ingress{
		clock: clock.System{}, table: table, callerService: callerService, failureDomain: failureDomain,
		view: view, sender: sender, observe: func(Observation) {}, meanTimes: map[string]time.Duration{}, meanSizes: map[string]int64{},
		blocklist: quarantine.NewBlocklist(), transferUnit: routing.DefaultTransferUnit, suspected: func(string) {},
		regionOf:    func(string) string { return "" },
		evacuation:  func() evacuation.Set { return evacuation.Set{} },
		parentRun:   func(string, string, int) (egress.Run, bool) { return egress.Run{}, false },
		nestedCalls: newNestedCalls(), usualTimeouts: newUsualTimeouts(), leaving: newLeaving(),
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, option := range options {
		option(in)
	}
	if in.started.IsZero() {
		in.started = in.clock.Now()
	}
	in.levels = admission.NewLevels(func(service string) int { return len(in.notEvacuated(view.Serving(service))) })
	in.retryBudgets = newRetryBudgets(in.retryBudget, view, in.started, in.rng.Float64())
	in.policy = routing.NewLeastCost(rand.New(rand.NewPCG(in.rng.Uint64(), in.rng.Uint64())), routing.WithTransferUnit(in.transferUnit))
	in.leaving.start(in.rng)
	return in
}

// RetryUsage returns the use of the retry budget by service, for the services of which
// it changed since the latest call.
func (in *Ingress) RetryUsage() []RetryUsage { return in.retryBudgets.takeUsage(in.clock.Now()) }

// UpdateLoad updates the load that a node reports for its upstream.
func (in *Ingress) UpdateLoad(b *fleet.Beacon) {
	if b.Upstream != "" {
		in.policy.UpdateLoad(in.clock.Now(), fleet.UpstreamKey(b), b.Load)
		in.recordLoad(b, b.Load)
	}
}

const (
	// defaultTimeout applies to a request for which neither its caller nor its
	// route sets a timeout.
	defaultTimeout = 30 * time.Second
	// minRetryAfter and retryAfterSpread determine the Retry-After of a refusal:
	// short enough for the latency objectives, with jitter so that callers do
	// not come back at the same time.
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
	// The parent is looked up before the service is known: a request with an unknown key
	// must not count for the weights of a split route.
	parent, nested := in.parentRun(s.headers.ParentID(), "", 0)
	if !s.identify(parent, nested) {
		return
	}
	s.fingerprint = Fingerprint(r, in.callerService(), s.organisationName())
	if in.blocklist.Refuses(s.received, s.fingerprint) {
		s.refuse(call.ReasonQuarantined)
		return
	}
	s.service = s.route.NextService()
	s.timeout = defaultTimeout
	if requested := s.headers.Timeout(); requested > 0 {
		s.timeout = requested
	}
	if s.route.Timeout > 0 {
		s.timeout = min(s.timeout, s.route.Timeout)
	}
	if run, ok := in.parentRun(s.headers.ParentID(), s.service, 1); ok {
		s.depth, s.parentRetried = run.Depth+1, run.Repeated
		if run.Repeated {
			in.retryBudgets.recordNested(s.received, s.service)
		}
	} else {
		in.retryBudgets.recordRequest(s.received, s.service)
		s.elapsedBefore = in.usualTimeouts.elapsed(s.received, s.route.Name, s.headers.Timeout())
	}
	if in.cannotComplete(s) {
		s.refuse(call.ReasonStopping)
		return
	}
	if !s.withinLevel() {
		s.refuse(call.ReasonLevel)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	if !s.withinQuota(ctx) {
		return
	}
	answer := s.exchange(ctx)
	s.refundQuota()
	s.deliver(ctx, answer)
}

// stopTimes are the times from which requests may be too late, and at which the process
// ends.
type stopTimes struct{ late, end time.Time }

// Stop announces that the process ends at end. Requests that come after late are refused
// unless their timeout passes before that.
func (in *Ingress) Stop(late, end time.Time) { in.stop.Store(&stopTimes{late: late, end: end}) }

// cannotComplete reports whether a request came so late in a stop that the end of the
// process might cut it off. A nested call belongs to a run that came earlier.
func (in *Ingress) cannotComplete(s *session) bool {
	stop := in.stop.Load()
	return stop != nil && s.depth == 0 && s.received.After(stop.late) && s.received.Add(s.timeout).After(stop.end)
}

// Fingerprint returns a hash of a request's method, host, target and content, and of its
// caller: the service of the host where it began, and the organisation, "" for none. It
// identifies a request across resends by its caller through any host of that service, each of
// which has an identity of its own.
func Fingerprint(r *http1.Request, callerService, organisation string) uint64 {
	digest := xxhash.New()
	for _, part := range []string{callerService, organisation, r.Method, r.Host, r.Target} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(r.Content)
	return digest.Sum64()
}

// jittered returns a random duration from low up to low + spread.
func (in *Ingress) jittered(low, spread time.Duration) time.Duration {
	in.mu.Lock()
	defer in.mu.Unlock()
	return low + time.Duration(in.rng.Int64N(int64(spread)))
}
