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

// Clock tells the time and waits.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Target is an upstream as the entry node sees it.
type Target struct {
	candidate   routing.Candidate
	address     string
	incarnation string
	service     string
}

// NewTarget returns a Target whose gate is at address.
func NewTarget(candidate routing.Candidate, service, address, incarnation string) Target {
	return Target{candidate: candidate, service: service, address: address, incarnation: incarnation}
}

// Address returns where the target's gate takes attempts.
func (t Target) Address() string { return t.address }

// Upstream returns the name of the upstream.
func (t Target) Upstream() string { return t.candidate.Name() }

// Directory tells what is in force and where the upstreams are.
type Directory interface {
	// State returns the release notes in force, nil before the first.
	State() *note.State
	// Targets returns the upstreams of a service that take calls.
	Targets(service string) []Target
	// Owner returns the target of a named upstream, also of one that takes
	// only resends of keys it knows.
	Owner(upstream string) (Target, bool)
}

// Sender hands an attempt to a target's gate; the answer is never nil.
type Sender interface {
	Send(ctx context.Context, target Target, meta hop.Meta, request *http.Request) *hop.Answer
}

// Counter counts calls for the daily totals.
type Counter interface {
	Received(day, service string)
	Attempted(day, service string, attempt totals.Attempt)
	Completed(day, service string, ending totals.Completion)
}

// Entry is the callers' HTTP handler.
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

// serviceState is what the entry node learned about a service.
type serviceState struct {
	policy routing.Policy
	budget *retry.Budget
	hedge  retry.HedgeEstimator
}

// Observation describes a finished call to the metrics.
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

// WithPolicy sets how upstreams are chosen; each service gets its own Policy.
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
	e.router.POST(TicketPath+":service", e.ticket)
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

// Retries returns how many retries the calls of all services have had here.
func (e *Entry) Retries() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	var retries uint64
	for _, service := range e.services {
		retries += service.budget.Retries()
	}
	return retries
}

// call serves one call from its first byte to its last.
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
		writeRefusal(w, promised(r, call.Refuse(call.NotRun, call.ReasonNotReady)))
		return nil
	}
	entry, ok := state.Service(name)
	if !ok {
		writeRefusal(w, promised(r, call.Refuse(call.NotRun, call.ReasonUnknownService)))
		return nil
	}
	c, refusal := newSession(e, r, entry, path, received)
	c.revision = state.Revision
	e.counter.Received(c.day, name)
	// A panic ends the call too: it is how a cut answer is passed on.
	ending := totals.Completion{Outcome: call.Unknown}
	defer func() { e.counter.Completed(c.day, name, ending) }()
	if refusal != nil {
		refusal = promised(r, refusal)
		ending = totals.Completion{Outcome: refusal.Outcome()}
		writeRefusal(w, refusal)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	answer := c.exchange(ctx)
	span.SetAttributes(attribute.String("outcome", answer.Meta.Outcome.String()), attribute.Int("attempts", c.attempts))
	late := e.clock.Now().Sub(received) > c.timeout
	e.observe(Observation{
		Service: name, Outcome: answer.Meta.Outcome, Reason: answer.Meta.Reason,
		Attempts: c.attempts, Remote: c.remote, Elapsed: e.clock.Now().Sub(received),
	})
	if answer.Response == nil {
		ending = totals.Completion{Outcome: answer.Meta.Outcome}
		writeRefusal(w, call.Refuse(answer.Meta.Outcome, answer.Meta.Reason))
		return nil
	}
	failed := answer.Response.StatusCode >= http.StatusInternalServerError
	if !writeAnswer(w, answer) {
		panic(http.ErrAbortHandler)
	}
	ending = totals.Completion{Outcome: call.Answered, Failed: failed, Late: late}
	return nil
}

// promised returns what an entry node can say by itself of a request that it
// refuses. An earlier send of a keyed request may have run elsewhere, so only
// the key's own gate can promise not-run, unless no gate runs such a key.
func promised(r *http.Request, refusal *call.Refusal) *call.Refusal {
	if r.Header.Get(keyHeader) == "" || refusal.Reason() == call.ReasonKeyMalformed {
		return refusal
	}
	return call.Refuse(call.Unknown, refusal.Reason())
}

// splitService takes the first element off an escaped path.
func splitService(path string) (service, rest string) {
	service, rest, _ = strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return service, "/" + rest
}
