package upstream

import (
	"context"
	"io"
	"net/http"
	"slices"
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

// Clock provides the time and timers.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Configuration provides the release notes in force, nil before the first.
type Configuration interface {
	State() *note.State
}

// Counter counts the calls sent to the upstream for the daily totals.
type Counter interface {
	Ran(day, service string)
}

// Quarantine restricts requests that may crash the upstream.
type Quarantine interface {
	// Check reports whether the request must not run, and whether no other
	// request may run at the same time.
	Check(now time.Time, fingerprint uint64) (refused, exclusive bool)
	// Begin and End record the start and the end of a run of the request.
	Begin(fingerprint uint64)
	End(fingerprint uint64, answered bool)
	// Crashed records that the upstream crashed while the current requests
	// were running.
	Crashed(now time.Time)
}

// Gate is the admission gate in front of the backend server beside this node;
// it is safe for concurrent use.
type Gate struct {
	clock              Clock
	configuration      Configuration
	counter            Counter
	quarantine         Quarantine
	incarnation        string
	notify             func()
	probes             atomic.Uint64
	probeBytes         atomic.Uint64
	lastAnswerUnixNano atomic.Int64

	mu           sync.Mutex
	announcement Announcement
	announcedAt  time.Time
	state        membership.UpstreamState
	leaving      bool
	unreachable  bool
	admission    *admission.Gate
	records      *idempotency.Records
	client       *client
}

// Option configures a Gate.
type Option func(*Gate)

// WithNotify calls notify whenever the upstream's state changes.
func WithNotify(notify func()) Option {
	return func(g *Gate) { g.notify = notify }
}

// WithQuarantine makes the gate check each call with quarantine.
func WithQuarantine(quarantine Quarantine) Option {
	return func(g *Gate) { g.quarantine = quarantine }
}

// NewGate returns the Gate of a node's incarnation; it has no announcement yet.
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

// noQuarantine is the default Quarantine, which restricts no request.
type noQuarantine struct{}

func (noQuarantine) Check(time.Time, uint64) (refused, exclusive bool) { return false, false }
func (noQuarantine) Begin(uint64)                                      {}
func (noQuarantine) End(uint64, bool)                                  {}
func (noQuarantine) Crashed(time.Time)                                 {}

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

// OwnsNewKeys reports whether the lease covers keys with the current time as
// their timestamp.
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

// ProbeTotals returns the number of probes sent and the bytes that they and
// their responses took.
func (g *Gate) ProbeTotals() (probes, bytes uint64) {
	return g.probes.Load(), g.probeBytes.Load()
}

// Load returns the current load of the upstream.
func (g *Gate) Load() call.Load {
	g.mu.Lock()
	gate := g.admission
	g.mu.Unlock()
	if gate == nil {
		return call.Load{}
	}
	return gate.Load(g.clock.Now())
}

// snapshot is a consistent copy of the Gate fields that one call needs.
type snapshot struct {
	admission *admission.Gate
	records   *idempotency.Records
	client    *client
	state     membership.UpstreamState
	upstream  string
}

func (g *Gate) snapshot() snapshot {
	g.mu.Lock()
	defer g.mu.Unlock()
	return snapshot{
		admission: g.admission, records: g.records, client: g.client,
		state: g.state, upstream: g.announcement.Upstream,
	}
}

// Do implements hop.Gate.
func (g *Gate) Do(ctx context.Context, meta hop.Meta, request *http.Request) *hop.Answer {
	s := g.snapshot()
	if s.admission == nil || s.upstream != meta.Upstream {
		return hop.Refusal(meta, g.wrongUpstream(meta))
	}
	var answer *hop.Answer
	if meta.Key != "" {
		answer = g.doKeyed(ctx, s, meta, request)
	} else {
		answer = g.doUnkeyed(ctx, s, meta, request)
	}
	load := s.admission.Load(g.clock.Now())
	answer.Meta.ID = meta.ID
	answer.Meta.FromGate = true
	answer.Meta.Load = &load
	if state := g.configuration.State(); state != nil {
		answer.Meta.Revision = state.Revision
	}
	return answer
}

// wrongUpstream refuses a call for an upstream that is not beside this node. The
// outcome of a keyed request is unknown, since another gate may have run it.
func (g *Gate) wrongUpstream(meta hop.Meta) *call.Refusal {
	if meta.Key != "" {
		return call.Refuse(call.Unknown, call.ReasonKeyNotOwned)
	}
	return call.Refuse(call.NotRun, call.ReasonNotReady)
}

// doUnkeyed handles a call without an idempotency key.
func (g *Gate) doUnkeyed(ctx context.Context, s snapshot, meta hop.Meta, request *http.Request) *hop.Answer {
	if s.state != membership.Ready {
		return hop.Refusal(meta, notReadyRefusal(s.state))
	}
	return g.admitAndRun(ctx, s, meta, request)
}

func notReadyRefusal(state membership.UpstreamState) *call.Refusal {
	if state == membership.Leaving || state == membership.Draining {
		return call.Refuse(call.NotRun, call.ReasonLeaving)
	}
	return call.Refuse(call.NotRun, call.ReasonNotReady)
}

// admitAndRun waits for a slot and runs the call in it.
func (g *Gate) admitAndRun(ctx context.Context, s snapshot, meta hop.Meta, request *http.Request) *hop.Answer {
	now := g.clock.Now()
	refused, exclusive := g.quarantine.Check(now, meta.Fingerprint)
	if refused {
		return hop.Refusal(meta, call.Refuse(call.NotRun, call.ReasonQuarantined))
	}
	deadline := now.Add(meta.Remaining)
	pass, refusal := s.admission.Admit(now, admission.Request{Deadline: deadline, Depth: meta.Depth, Exclusive: exclusive})
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
	return g.run(ctx, s, meta, request, pass)
}

func cancelReason(ctx context.Context) call.Reason {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return call.ReasonDeadline
	}
	return call.ReasonCancelled
}

// run sends the call to the upstream. It holds the slot of pass until the
// response body has been read or closed.
func (g *Gate) run(ctx context.Context, s snapshot, meta hop.Meta, request *http.Request, pass *admission.Pass) *hop.Answer {
	finish := func(answered bool) {
		g.quarantine.End(meta.Fingerprint, answered)
		pass.End(g.clock.Now(), answered)
	}
	rejectStatuses := g.rejectStatuses(meta)
	// Nothing tells the rejection of a call from that of an earlier one on its connection.
	e, err := s.client.roundTrip(ctx, meta, request, len(rejectStatuses) == 0)
	if e.sent {
		g.counter.Ran(meta.Day, meta.Service)
	}
	if err != nil {
		return g.handleSendError(ctx, meta, e.sent, err, finish)
	}
	g.lastAnswerUnixNano.Store(g.clock.Now().UnixNano())
	response := e.response
	if slices.Contains(rejectStatuses, response.StatusCode) {
		whole := readRejection(response)
		finish(false)
		refusal := call.Refuse(call.NotRun, call.ReasonRejected)
		if e.reused || !whole {
			refusal = call.Refuse(call.Unknown, call.ReasonCut)
		}
		answer := hop.Refusal(meta, refusal)
		answer.Meta.ReachedUpstream = true
		return answer
	}
	response.Body = newCallbackBody(response.Body, func(complete bool) {
		finish(complete && response.StatusCode < http.StatusInternalServerError)
	})
	return &hop.Answer{Meta: hop.AnswerMeta{Outcome: call.Answered, ReachedUpstream: true}, Response: response}
}

// maxRejectionBytes bounds the body of a rejection.
const maxRejectionBytes = 64 << 10

// readRejection reads and closes the body of a rejection and reports whether it is complete.
// One that breaks off promises nothing.
func readRejection(response *http.Response) bool {
	defer func() { _ = response.Body.Close() }()
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxRejectionBytes+1))
	return err == nil && n <= maxRejectionBytes
}

// handleSendError returns the answer to a call that the upstream did not answer.
func (g *Gate) handleSendError(ctx context.Context, meta hop.Meta, sent bool, err error, finish func(bool)) *hop.Answer {
	if isConnectionRefused(err) {
		g.SetReachable(false)
	}
	if sent && isAbruptClose(ctx, err) {
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

// rejectStatuses returns the statuses that mean that the upstream did not run the call,
// according to the release notes.
func (g *Gate) rejectStatuses(meta hop.Meta) []int {
	state := g.configuration.State()
	if state == nil {
		return nil
	}
	service, ok := state.Service(meta.Service)
	if !ok {
		return nil
	}
	return service.Service.RejectStatuses
}
