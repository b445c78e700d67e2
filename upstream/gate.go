package upstream

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyancross/banyancross/admission"
	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/idempotency"
	"github.com/banyancross/banyancross/membership"
	"github.com/banyancross/banyancross/note"
)

// Clock tells the time.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Configuration gives the release notes in force, nil before the first.
type Configuration interface {
	State() *note.State
}

// Counter counts the calls handed to the upstream for the daily totals.
type Counter interface {
	Ran(day, service string)
}

// Quarantine decides about requests that may crash the upstream.
type Quarantine interface {
	// Check tells whether the request must not run, and whether nothing else
	// may run beside it.
	Check(now time.Time, fingerprint uint64) (refused, alone bool)
	// Begin and End record when the request runs.
	Begin(fingerprint uint64)
	End(fingerprint uint64, answered bool)
	// Crashed records that the upstream crashed under what runs.
	Crashed(now time.Time)
}

// Gate guards the backend server beside this node; it is safe for concurrent
// use.
type Gate struct {
	clock         Clock
	configuration Configuration
	counter       Counter
	quarantine    Quarantine
	incarnation   string
	notify        func()
	probes        atomic.Uint64
	probeBytes    atomic.Uint64
	lastAnswer    atomic.Int64

	mu           sync.Mutex
	announcement Announcement
	announced    time.Time
	state        membership.UpstreamState
	stopping     bool
	unreachable  bool
	admission    *admission.Gate
	records      *idempotency.Records
	runner       *runner
}

// Option configures a Gate.
type Option func(*Gate)

// WithNotify calls notify whenever the upstream's state changes.
func WithNotify(notify func()) Option {
	return func(g *Gate) { g.notify = notify }
}

// WithQuarantine makes the gate ask quarantine about each call.
func WithQuarantine(quarantine Quarantine) Option {
	return func(g *Gate) { g.quarantine = quarantine }
}

// NewGate returns the Gate of a node's incarnation, before any announcement.
func NewGate(clock Clock, configuration Configuration, counter Counter, incarnation string, options ...Option) *Gate {
	g := &Gate{
		clock:         clock,
		configuration: configuration,
		counter:       counter,
		incarnation:   incarnation,
		notify:        func() {},
		quarantine:    noQuarantine{},
	}
	for _, option := range options {
		option(g)
	}
	return g
}

// noQuarantine lets everything run.
type noQuarantine struct{}

func (noQuarantine) Check(time.Time, uint64) (refused, alone bool) { return false, false }
func (noQuarantine) Begin(uint64)                                  {}
func (noQuarantine) End(uint64, bool)                              {}
func (noQuarantine) Crashed(time.Time)                             {}

// Announcement returns the latest announcement.
func (g *Gate) Announcement() Announcement {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.announcement
}

// Records returns the idempotency records, nil before the first announcement.
func (g *Gate) Records() *idempotency.Records {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.records
}

// OwnsNewKeys tells whether keys minted now may run here.
func (g *Gate) OwnsNewKeys() bool {
	records := g.Records()
	return records != nil && records.Lease().Covers(g.clock.Now())
}

// State returns the upstream's state.
func (g *Gate) State() membership.UpstreamState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state
}

// ProbeTotals returns how many probes were sent and how many bytes they took.
func (g *Gate) ProbeTotals() (probes, bytes uint64) {
	return g.probes.Load(), g.probeBytes.Load()
}

// Load returns the current load report.
func (g *Gate) Load() call.Load {
	g.mu.Lock()
	gate := g.admission
	g.mu.Unlock()
	if gate == nil {
		return call.Load{}
	}
	return gate.Load(g.clock.Now())
}

// parts are what one call needs, taken together under the lock.
type parts struct {
	admission *admission.Gate
	records   *idempotency.Records
	runner    *runner
	state     membership.UpstreamState
	upstream  string
}

func (g *Gate) parts() parts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return parts{
		admission: g.admission, records: g.records, runner: g.runner,
		state: g.state, upstream: g.announcement.Upstream,
	}
}

// Do implements hop.Gate.
func (g *Gate) Do(ctx context.Context, meta hop.Meta, request *http.Request) *hop.Answer {
	p := g.parts()
	if p.admission == nil || p.upstream != meta.Upstream {
		return hop.Refusal(meta, g.wrongGate(meta))
	}
	var answer *hop.Answer
	if meta.Key != "" {
		answer = g.keyed(ctx, p, meta, request)
	} else {
		answer = g.plain(ctx, p, meta, request)
	}
	load := p.admission.Load(g.clock.Now())
	answer.Meta.ID = meta.ID
	answer.Meta.FromGate = true
	answer.Meta.Load = &load
	if state := g.configuration.State(); state != nil {
		answer.Meta.Revision = state.Revision
	}
	return answer
}

// wrongGate refuses a call for an upstream that is not here. Another gate may
// have run a keyed request, so no promise is given for one.
func (g *Gate) wrongGate(meta hop.Meta) *call.Refusal {
	if meta.Key != "" {
		return call.Refuse(call.Unknown, call.ReasonKeyNotOwned)
	}
	return call.Refuse(call.NotRun, call.ReasonNotReady)
}

// plain runs a call without a key.
func (g *Gate) plain(ctx context.Context, p parts, meta hop.Meta, request *http.Request) *hop.Answer {
	if p.state != membership.Ready {
		return hop.Refusal(meta, notReady(p.state))
	}
	return g.admitted(ctx, p, meta, request)
}

func notReady(state membership.UpstreamState) *call.Refusal {
	if state == membership.Leaving || state == membership.Draining {
		return call.Refuse(call.NotRun, call.ReasonLeaving)
	}
	return call.Refuse(call.NotRun, call.ReasonNotReady)
}

// admitted waits for a slot and runs the call in it.
func (g *Gate) admitted(ctx context.Context, p parts, meta hop.Meta, request *http.Request) *hop.Answer {
	now := g.clock.Now()
	refused, alone := g.quarantine.Check(now, meta.Fingerprint)
	if refused {
		return hop.Refusal(meta, call.Refuse(call.NotRun, call.ReasonQuarantined))
	}
	deadline := now.Add(meta.Remaining)
	pass, refusal := p.admission.Admit(now, admission.Request{Deadline: deadline, Depth: meta.Depth, Exclusive: alone})
	if refusal != nil {
		return hop.Refusal(meta, refusal)
	}
	select {
	case <-pass.Ready():
	case <-ctx.Done():
		if pass.Abandon() {
			pass.End(g.clock.Now(), false)
		}
		return hop.Refusal(meta, call.Refuse(call.NotRun, cancelReason(ctx)))
	}
	if refusal := pass.Refusal(); refusal != nil {
		return hop.Refusal(meta, refusal)
	}
	g.quarantine.Begin(meta.Fingerprint)
	return g.run(ctx, p, meta, request, pass)
}

func cancelReason(ctx context.Context) call.Reason {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return call.ReasonDeadline
	}
	return call.ReasonCancelled
}

// run sends the call to the upstream in the slot of pass, which is kept until
// the body of the answer has been read.
func (g *Gate) run(ctx context.Context, p parts, meta hop.Meta, request *http.Request, pass *admission.Pass) *hop.Answer {
	finish := func(answered bool) {
		g.quarantine.End(meta.Fingerprint, answered)
		pass.End(g.clock.Now(), answered)
	}
	response, sent, err := p.runner.roundTrip(ctx, meta, request)
	if sent {
		g.counter.Ran(meta.Day, meta.Service)
	}
	if err != nil {
		return g.failed(ctx, meta, sent, err, finish)
	}
	g.lastAnswer.Store(g.clock.Now().UnixNano())
	if g.rejected(meta, response) {
		_ = response.Body.Close()
		finish(false)
		answer := hop.Refusal(meta, call.Refuse(call.NotRun, call.ReasonRejected))
		answer.Meta.ReachedUpstream = true
		return answer
	}
	response.Body = newEndBody(response.Body, func(whole bool) {
		finish(whole && response.StatusCode < http.StatusInternalServerError)
	})
	return &hop.Answer{Meta: hop.AnswerMeta{Outcome: call.Answered, ReachedUpstream: true}, Response: response}
}

// failed answers for a call that got no answer from the upstream.
func (g *Gate) failed(ctx context.Context, meta hop.Meta, sent bool, err error, finish func(bool)) *hop.Answer {
	if refusedConnection(err) {
		g.SetReachable(false)
	}
	if sent && crashed(ctx, err) {
		g.quarantine.Crashed(g.clock.Now())
	}
	finish(false)
	outcome := call.NotRun
	if sent {
		outcome = call.Unknown
	}
	reason := call.ReasonConnection
	if ctx.Err() != nil {
		reason = cancelReason(ctx)
	}
	answer := hop.Refusal(meta, call.Refuse(outcome, reason))
	answer.Meta.ReachedUpstream = sent
	return answer
}

// rejected tells whether the release notes say that the answer's status means
// that the upstream has not run the call.
func (g *Gate) rejected(meta hop.Meta, response *http.Response) bool {
	state := g.configuration.State()
	if state == nil {
		return false
	}
	service, ok := state.Service(meta.Service)
	if !ok {
		return false
	}
	for _, status := range service.Service.RejectStatuses {
		if status == response.StatusCode {
			return true
		}
	}
	return false
}
