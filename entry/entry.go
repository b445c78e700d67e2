package entry

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/uptrace/bunrouter"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/note"
	"github.com/banyancross/banyancross/retry"
	"github.com/banyancross/banyancross/routing"
	"github.com/banyancross/banyancross/totals"
)

// Clock provides the time and timers.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Target is an upstream that a call may be sent to.
type Target struct {
	candidate   routing.Candidate
	address     string
	incarnation string
	service     string
}

// NewTarget returns a Target whose admission gate is at address.
func NewTarget(candidate routing.Candidate, service, address, incarnation string) Target {
	return Target{candidate: candidate, service: service, address: address, incarnation: incarnation}
}

// Address returns the address of the target's gate.
func (t Target) Address() string { return t.address }

// Upstream returns the name of the upstream.
func (t Target) Upstream() string { return t.candidate.Name() }

// Directory provides the release notes in force and the known upstreams.
type Directory interface {
	// State returns the release notes in force, nil before the first.
	State() *note.State
	// Targets returns the upstreams of a service that accept calls.
	Targets(service string) []Target
	// Owner returns the target of a named upstream, including one that accepts
	// only resends of recorded keys.
	Owner(upstream string) (Target, bool)
}

// Sender sends an attempt to a target's gate; the answer is never nil.
type Sender interface {
	Send(ctx context.Context, target Target, meta hop.Meta, request *http.Request) *hop.Answer
}

// Counter counts calls for the daily totals.
type Counter interface {
	Received(day, service string)
	Attempted(day, service string, attempt totals.Attempt)
	Completed(day, service string, completion totals.Completion)
}

// Entry is the HTTP handler for callers' requests.
type Entry struct {
	clock     Clock
	directory Directory
	sender    Sender
	counter   Counter
	location  *time.Location
	newPolicy func() routing.Policy
	observe   func(Observation)
	tracer    trace.Tracer
	router    *bunrouter.Router

	mu       sync.Mutex
	services map[string]*serviceState
}

// serviceState is the routing and retry state that the calls of a service share.
type serviceState struct {
	policy routing.Policy
	budget *retry.Budget
	hedge  retry.HedgeEstimator
}

// Observation describes a finished call for the metrics; Remote means that an
// attempt went to another failure domain.
type Observation struct {
	Service  string
	Outcome  call.Outcome
	Reason   call.Reason
	Attempts int
	Remote   bool
	Elapsed  time.Duration
}

// Option configures an Entry.
type Option func(*Entry)

// WithPolicy sets the constructor of the routing policy; each service gets its
// own Policy.
func WithPolicy(newPolicy func() routing.Policy) Option {
	return func(e *Entry) { e.newPolicy = newPolicy }
}

// WithObserver calls observe after each call.
func WithObserver(observe func(Observation)) Option {
	return func(e *Entry) { e.observe = observe }
}

// WithTracer records a span for each call and each attempt.
func WithTracer(tracer trace.Tracer) Option {
	return func(e *Entry) { e.tracer = tracer }
}

// WithLocation sets the time zone of the daily totals' days.
func WithLocation(location *time.Location) Option {
	return func(e *Entry) { e.location = location }
}

// New returns an Entry.
func New(clock Clock, directory Directory, sender Sender, counter Counter, options ...Option) *Entry {
	e := &Entry{
		clock:     clock,
		directory: directory,
		sender:    sender,
		counter:   counter,
		location:  time.UTC,
		newPolicy: func() routing.Policy { return routing.NewRoundRobin(0) },
		observe:   func(Observation) {},
		tracer:    noop.NewTracerProvider().Tracer(""),
		services:  map[string]*serviceState{},
	}
	for _, option := range options {
		option(e)
	}
	e.router = bunrouter.New(
		bunrouter.WithNotFoundHandler(e.call),
		bunrouter.WithMethodNotAllowedHandler(e.call),
	)
	e.router.POST(TicketPath+":service", e.issueTicket)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.router.ServeHTTP(w, r)
}

func (e *Entry) service(name string) *serviceState {
	e.mu.Lock()
	defer e.mu.Unlock()
	found, ok := e.services[name]
	if !ok {
		found = &serviceState{policy: e.newPolicy(), budget: retry.NewBudget(0)}
		e.services[name] = found
	}
	return found
}

// Retries returns the number of retries and hedges sent for calls of all services.
func (e *Entry) Retries() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	var retries uint64
	for _, service := range e.services {
		retries += service.budget.Retries()
	}
	return retries
}

// call handles one call until its answer is written.
func (e *Entry) call(w http.ResponseWriter, request bunrouter.Request) error {
	r := request.Request
	received := e.clock.Now()
	name, path := splitService(r.URL.EscapedPath())
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := e.tracer.Start(ctx, "call", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("service", name)))
	defer span.End()

	state := e.directory.State()
	if state == nil {
		writeRefusal(w, entryRefusal(r, call.Refuse(call.NotRun, call.ReasonNotReady)))
		return nil
	}
	entry, ok := state.Service(name)
	if !ok {
		writeRefusal(w, entryRefusal(r, call.Refuse(call.NotRun, call.ReasonUnknownService)))
		return nil
	}
	s, refusal := newSession(e, r, entry, path, received)
	s.revision = state.Revision
	e.counter.Received(s.day, name)
	// Deferred so that it also runs when the panic below aborts the caller's
	// response, because the upstream's was cut off.
	completion := totals.Completion{Outcome: call.Unknown}
	defer func() { e.counter.Completed(s.day, name, completion) }()
	if refusal != nil {
		refusal = entryRefusal(r, refusal)
		completion = totals.Completion{Outcome: refusal.Outcome()}
		writeRefusal(w, refusal)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	answer := s.exchange(ctx)
	span.SetAttributes(attribute.String("outcome", answer.Meta.Outcome.String()), attribute.Int("attempts", s.attempts))
	late := e.clock.Now().Sub(received) > s.timeout
	e.observe(Observation{
		Service: name, Outcome: answer.Meta.Outcome, Reason: answer.Meta.Reason,
		Attempts: s.attempts, Remote: s.remote, Elapsed: e.clock.Now().Sub(received),
	})
	if answer.Response == nil {
		completion = totals.Completion{Outcome: answer.Meta.Outcome}
		writeRefusal(w, call.Refuse(answer.Meta.Outcome, answer.Meta.Reason))
		return nil
	}
	failed := answer.Response.StatusCode >= http.StatusInternalServerError
	if !writeAnswer(w, answer) {
		if !r.ProtoAtLeast(1, 1) {
			reset(w)
		}
		panic(http.ErrAbortHandler)
	}
	completion = totals.Completion{Outcome: call.Answered, Failed: failed, Late: late}
	return nil
}

// entryRefusal returns the refusal of a request that was sent to no gate. An
// earlier send of a keyed request may have run, so only the gate that owns the key
// can report not-run, except for a malformed key, which no gate runs.
func entryRefusal(r *http.Request, refusal *call.Refusal) *call.Refusal {
	if r.Header.Get(keyHeader) == "" || refusal.Reason() == call.ReasonKeyMalformed {
		return refusal
	}
	return call.Refuse(call.Unknown, refusal.Reason())
}

// splitService splits an escaped path into its first element, the service, and the
// rest.
func splitService(path string) (service, rest string) {
	service, rest, _ = strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return service, "/" + rest
}
