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

// attempt is one transmission of the call to a target's gate.
type attempt struct {
	target  Target
	number  int
	started time.Time
	cancel  context.CancelFunc
	done    chan *hop.Answer
}

// startAttempt sends the call to a target on a separate goroutine.
func (s *session) startAttempt(ctx context.Context, target Target) *attempt {
	s.attempts++
	s.remote = s.remote || target.candidate.Remote()
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{
		target: target, number: s.attempts, started: s.entry.clock.Now(), cancel: cancel,
		done: make(chan *hop.Answer, 1),
	}
	request, meta := s.outgoing(), s.meta(a.started, target)
	s.shared.policy.Started(a.started, target.Upstream())
	go func() { a.done <- s.entry.send(ctx, a, meta, request) }()
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
func (s *session) outgoing() *http.Request {
	request := *s.request
	request.Header = s.request.Header.Clone()
	request.Body = http.NoBody
	if s.body != nil {
		request.Body = s.body.newAttemptBody()
	}
	return &request
}

// sendAttempt sends the call to one target and waits for the answer.
func (s *session) sendAttempt(ctx context.Context, target Target) *hop.Answer {
	a := s.startAttempt(ctx, target)
	return s.handleAnswer(a, <-a.done)
}

// handleAnswer records the answer of an attempt. It does not cancel the attempt's
// context, which must outlive the answer's body and ends with the call's.
func (s *session) handleAnswer(a *attempt, answer *hop.Answer) *hop.Answer {
	s.recordAttempt(a, answer)
	if answerLost(answer) || answer.Meta.ReachedUpstream {
		s.mayHaveRun = s.mayHaveRun || answer.Meta.Reason != call.ReasonRejected
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
func (s *session) recordAttempt(a *attempt, answer *hop.Answer) {
	now := s.entry.clock.Now()
	failed := answer.Response != nil && answer.Response.StatusCode >= http.StatusInternalServerError
	s.shared.policy.Finished(now, a.target.Upstream(), routing.Result{
		Elapsed: now.Sub(a.started), Outcome: answer.Meta.Outcome, Reason: answer.Meta.Reason,
		ServerError: failed, Load: answer.Meta.Load,
	})
	if answer.Response != nil && !failed {
		s.shared.hedge.Observe(now.Sub(a.started))
	}
	s.entry.counter.Attempted(s.day, s.name, totals.Attempt{
		Ran: answer.Meta.ReachedUpstream, Uncertain: answerLost(answer), Retry: a.number > 1,
	})
}

// sendHedged sends the call to the chosen target, and to a second one if the first
// has not answered within the hedge delay. It returns the answer to use and the
// targets not tried yet.
func (s *session) sendHedged(ctx context.Context, targets []Target, chosen int) (*hop.Answer, []Target) {
	first := s.startAttempt(ctx, targets[chosen])
	rest := without(targets, chosen)
	delay, ok := s.shared.hedge.Delay()
	if !ok || len(rest) == 0 || !s.idempotent || s.depth > 0 || s.body != nil {
		return s.handleAnswer(first, <-first.done), rest
	}
	select {
	case answer := <-first.done:
		return s.handleAnswer(first, answer), rest
	case <-ctx.Done():
		return s.handleAnswer(first, <-first.done), rest
	case <-s.entry.clock.After(delay):
	}
	if !s.shared.budget.Spend() {
		return s.handleAnswer(first, <-first.done), rest
	}
	index := s.choose(rest)
	second := s.startAttempt(ctx, rest[index])
	return s.race(first, second), without(rest, index)
}

// race returns the first answer of two attempts; if that is a failure, it waits
// for the other attempt instead.
func (s *session) race(first, second *attempt) *hop.Answer {
	var answer *hop.Answer
	winner, loser := first, second
	select {
	case answer = <-first.done:
	case answer = <-second.done:
		winner, loser = second, first
	}
	answer = s.handleAnswer(winner, answer)
	if answer.Response != nil && !s.unavailable(answer) {
		s.abandon(loser)
		return answer
	}
	closeResponse(answer)
	return s.handleAnswer(loser, <-loser.done)
}

// abandon cancels an attempt whose answer is no longer needed.
func (s *session) abandon(a *attempt) {
	a.cancel()
	go func() {
		answer := <-a.done
		s.recordAttempt(a, answer)
		closeResponse(answer)
	}()
}

// without returns the targets except the one at index.
func without(targets []Target, index int) []Target {
	rest := make([]Target, 0, len(targets)-1)
	rest = append(rest, targets[:index]...)
	return append(rest, targets[index+1:]...)
}
