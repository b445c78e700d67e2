package entry

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/routing"
	"github.com/banyancross/banyancross/totals"
)

// attempt is one send of the call to a target's gate.
type attempt struct {
	target  Target
	number  int
	started time.Time
	cancel  context.CancelFunc
	done    chan *hop.Answer
}

// begin sends the call to a target on a goroutine of its own.
func (c *session) begin(ctx context.Context, target Target) *attempt {
	c.attempts++
	c.remote = c.remote || target.candidate.Remote()
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{
		target: target, number: c.attempts, started: c.entry.clock.Now(), cancel: cancel,
		done: make(chan *hop.Answer, 1),
	}
	request, meta := c.outgoing(), c.meta(a.started, target)
	c.learned.policy.Started(a.started, target.Upstream())
	go func() { a.done <- c.entry.send(ctx, a, meta, request) }()
	return a
}

// send carries out an attempt within a span.
func (e *Entry) send(ctx context.Context, a *attempt, meta hop.Meta, request *http.Request) *hop.Answer {
	ctx, span := e.tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("upstream", a.target.Upstream()), attribute.Int("number", a.number)))
	defer span.End()
	request = request.WithContext(ctx)
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(request.Header))
	answer := e.sender.Send(ctx, a.target, meta, request)
	span.SetAttributes(attribute.String("outcome", answer.Meta.Outcome.String()))
	return answer
}

// outgoing returns the request for the next attempt.
func (c *session) outgoing() *http.Request {
	request := *c.request
	request.Header = c.request.Header.Clone()
	request.Body = http.NoBody
	if c.body != nil {
		request.Body = c.body.attempt()
	}
	return &request
}

// attempt sends the call to one target and waits for the answer.
func (c *session) attempt(ctx context.Context, target Target) *hop.Answer {
	a := c.begin(ctx, target)
	return c.end(a, <-a.done)
}

// end learns from an attempt's answer. The attempt's context must outlive the
// answer's body, and ends with the session's.
func (c *session) end(a *attempt, answer *hop.Answer) *hop.Answer {
	c.learn(a, answer)
	if lost(answer) || answer.Meta.ReachedUpstream {
		c.uncertain = c.uncertain || answer.Meta.Reason != call.ReasonRejected
	}
	return answer
}

// lost tells that the gate's word about an attempt never came.
func lost(answer *hop.Answer) bool {
	return !answer.Meta.FromGate && answer.Meta.Outcome == call.Unknown
}

// learn records an attempt with the policy and the daily totals.
func (c *session) learn(a *attempt, answer *hop.Answer) {
	now := c.entry.clock.Now()
	failed := answer.Response != nil && answer.Response.StatusCode >= http.StatusInternalServerError
	c.learned.policy.Finished(now, a.target.Upstream(), routing.Result{
		Elapsed: now.Sub(a.started), Outcome: answer.Meta.Outcome, Reason: answer.Meta.Reason,
		ServerError: failed, Load: answer.Meta.Load,
	})
	if answer.Response != nil && !failed {
		c.learned.hedge.Observe(now.Sub(a.started))
	}
	c.entry.counter.Attempted(c.day, c.name, totals.Attempt{
		Ran: answer.Meta.ReachedUpstream, Uncertain: lost(answer), Retry: a.number > 1,
	})
}

// hedged sends the call to the chosen target, and to a second one when the
// first takes unusually long. It returns the better answer and the targets not
// tried yet.
func (c *session) hedged(ctx context.Context, targets []Target, chosen int) (*hop.Answer, []Target) {
	first := c.begin(ctx, targets[chosen])
	rest := without(targets, chosen)
	delay, ok := c.learned.hedge.Delay()
	if !ok || len(rest) == 0 || !c.idempotent || c.depth > 0 || c.body != nil {
		return c.end(first, <-first.done), rest
	}
	select {
	case answer := <-first.done:
		return c.end(first, answer), rest
	case <-ctx.Done():
		return c.end(first, <-first.done), rest
	case <-c.entry.clock.After(delay):
	}
	if !c.learned.budget.Spend() {
		return c.end(first, <-first.done), rest
	}
	at := c.choose(rest)
	second := c.begin(ctx, rest[at])
	return c.race(first, second), without(rest, at)
}

// race waits for the first answer of two attempts; a failure gives way to the
// other attempt.
func (c *session) race(first, second *attempt) *hop.Answer {
	var answer *hop.Answer
	winner, loser := first, second
	select {
	case answer = <-first.done:
	case answer = <-second.done:
		winner, loser = second, first
	}
	answer = c.end(winner, answer)
	if answer.Response != nil && !c.unavailable(answer) {
		c.abandon(loser)
		return answer
	}
	closeResponse(answer)
	return c.end(loser, <-loser.done)
}

// abandon cancels an attempt whose answer is not wanted any more.
func (c *session) abandon(a *attempt) {
	a.cancel()
	go func() {
		answer := <-a.done
		c.learn(a, answer)
		closeResponse(answer)
	}()
}

// without returns the targets but one.
func without(targets []Target, at int) []Target {
	rest := make([]Target, 0, len(targets)-1)
	rest = append(rest, targets[:at]...)
	return append(rest, targets[at+1:]...)
}
