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

// startAttempt sends the call to a target on a separate goroutine.
func (c *session) startAttempt(ctx context.Context, target Target) *attempt {
	c.attempts++
	c.remote = c.remote || target.candidate.Remote()
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{
		target: target, number: c.attempts, started: c.entry.clock.Now(), cancel: cancel,
		done: make(chan *hop.Answer, 1),
	}
	request, meta := c.outgoing(), c.meta(a.started, target)
	c.shared.policy.Started(a.started, target.Upstream())
	go func() { a.done <- c.entry.send(ctx, a, meta, request) }()
	return a
}

// send sends an attempt and records a span for it.
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
		request.Body = c.body.newAttemptBody()
	}
	return &request
}

// sendAttempt sends the call to one target and waits for the answer.
func (c *session) sendAttempt(ctx context.Context, target Target) *hop.Answer {
	a := c.startAttempt(ctx, target)
	return c.handleAnswer(a, <-a.done)
}

// handleAnswer records the answer of an attempt. It does not cancel the attempt's
// context, which must outlive the answer's body and ends with the call's.
func (c *session) handleAnswer(a *attempt, answer *hop.Answer) *hop.Answer {
	c.recordAttempt(a, answer)
	if answerLost(answer) || answer.Meta.ReachedUpstream {
		c.mayHaveRun = c.mayHaveRun || answer.Meta.Reason != call.ReasonRejected
	}
	return answer
}

// answerLost reports whether the attempt may have run and no answer of the gate
// arrived.
func answerLost(answer *hop.Answer) bool {
	return !answer.Meta.FromGate && answer.Meta.Outcome == call.Unknown
}

// recordAttempt reports an attempt to the policy, the hedge estimator and the
// daily totals.
func (c *session) recordAttempt(a *attempt, answer *hop.Answer) {
	now := c.entry.clock.Now()
	failed := answer.Response != nil && answer.Response.StatusCode >= http.StatusInternalServerError
	c.shared.policy.Finished(now, a.target.Upstream(), routing.Result{
		Elapsed: now.Sub(a.started), Outcome: answer.Meta.Outcome, Reason: answer.Meta.Reason,
		ServerError: failed, Load: answer.Meta.Load,
	})
	if answer.Response != nil && !failed {
		c.shared.hedge.Observe(now.Sub(a.started))
	}
	c.entry.counter.Attempted(c.day, c.name, totals.Attempt{
		Ran: answer.Meta.ReachedUpstream, Uncertain: answerLost(answer), Retry: a.number > 1,
	})
}

// sendHedged sends the call to the chosen target, and to a second one if the first
// has not answered within the hedge delay. It returns the answer to use and the
// targets not tried yet.
func (c *session) sendHedged(ctx context.Context, targets []Target, chosen int) (*hop.Answer, []Target) {
	first := c.startAttempt(ctx, targets[chosen])
	rest := without(targets, chosen)
	delay, ok := c.shared.hedge.Delay()
	if !ok || len(rest) == 0 || !c.idempotent || c.depth > 0 || c.body != nil {
		return c.handleAnswer(first, <-first.done), rest
	}
	select {
	case answer := <-first.done:
		return c.handleAnswer(first, answer), rest
	case <-ctx.Done():
		return c.handleAnswer(first, <-first.done), rest
	case <-c.entry.clock.After(delay):
	}
	if !c.shared.budget.Spend() {
		return c.handleAnswer(first, <-first.done), rest
	}
	index := c.choose(rest)
	second := c.startAttempt(ctx, rest[index])
	return c.race(first, second), without(rest, index)
}

// race returns the first answer of two attempts; if that is a failure, it waits
// for the other attempt instead.
func (c *session) race(first, second *attempt) *hop.Answer {
	var answer *hop.Answer
	winner, loser := first, second
	select {
	case answer = <-first.done:
	case answer = <-second.done:
		winner, loser = second, first
	}
	answer = c.handleAnswer(winner, answer)
	if answer.Response != nil && !c.unavailable(answer) {
		c.abandon(loser)
		return answer
	}
	closeResponse(answer)
	return c.handleAnswer(loser, <-loser.done)
}

// abandon cancels an attempt whose answer is no longer needed.
func (c *session) abandon(a *attempt) {
	a.cancel()
	go func() {
		answer := <-a.done
		c.recordAttempt(a, answer)
		closeResponse(answer)
	}()
}

// without returns the targets except the one at index.
func without(targets []Target, index int) []Target {
	rest := make([]Target, 0, len(targets)-1)
	rest = append(rest, targets[:index]...)
	return append(rest, targets[index+1:]...)
}
