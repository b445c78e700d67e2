package ingress

import (
	"context"
	"time"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/routing"
)

// maxBufferedResponse is how much of a response is buffered before any of it is
// passed on, in bytes. If a response breaks off within it, the request can be
// retried at another upstream; most responses are shorter.
const maxBufferedResponse = 256 << 10

// result is the outcome of an attempt.
type result struct {
	attempt *attempt
	answer  *egress.Answer
	// content is the buffered start of the body; complete means that it is all of
	// it.
	content  []byte
	complete bool
}

// size returns the length of the response as far as it is known, in bytes.
func (r *result) size() int64 { return max(r.answer.Response.Length, int64(len(r.content))) }

func (r *result) status() int { return r.answer.Response.Status }

// discard releases the response and the context of the attempt.
func (r *result) discard() {
	r.answer.Finish()
	r.attempt.cancel()
}

// withholdPromise replaces a response with which an upstream that ran the request would
// tell the caller that it had not.
func (r *result) withholdPromise() {
	r.answer.Finish()
	meta := r.answer.Meta
	meta.Outcome, meta.Reason = call.Unknown, call.ReasonFalsePromise
	r.answer = &egress.Answer{Meta: meta, Finish: func() {}}
}

// runAttempt sends a request to one gate, buffers the start of the response and
// sends the result to results.
func (in *Ingress) runAttempt(ctx context.Context, a *attempt, meta hop.Meta, c *egress.Call, results chan<- result) {
	r := result{attempt: a, answer: in.sender.Send(ctx, a.peer, meta, c)}
	if r.answer.Response != nil && platform.PromisesNoRun(r.status()) {
		r.withholdPromise()
	}
	if r.answer.Response != nil {
		content, complete, err := r.answer.Response.Body.Buffer(maxBufferedResponse)
		r.content, r.complete = content, complete
		if err != nil {
			r.answer.Finish()
			load := r.answer.Meta.Load
			r.answer = egress.Refusal(call.Unknown, call.ReasonCut)
			r.answer.Meta.Load, r.answer.Meta.ReachedUpstream = load, true
		}
		if complete {
			r.answer.Finish()
		}
	}
	now := in.clock.Now()
	in.policy.Finished(now, a.peer.Key(), routing.Result{
		Elapsed: now.Sub(a.started), Outcome: r.answer.Meta.Outcome, Reason: r.answer.Meta.Reason, Load: r.answer.Meta.Load,
	})
	if load := r.answer.Meta.Load; load != nil {
		in.recordLoad(a.peer.Beacon(), *load)
	}
	in.levels.Relay(now, a.peer.Key(), r.answer.Meta.NestedExcess)
	switch host := a.peer.Beacon().Host; {
	case r.answer.Meta.FromGate:
		in.view.RecordActivity(now, host)
		in.recordGateTime(a, now.Sub(a.started), r.answer.Meta, meta.Route)
	case r.answer.Meta.Reason == call.ReasonConnection && ctx.Err() == nil && host != in.host:
		in.suspect(now, a.started, host)
	}
	results <- r
}

// meta returns the metadata of an attempt for the gate.
func (s *session) meta(now time.Time, a *attempt) hop.Meta {
	b := a.peer.Beacon()
	remaining := s.timeout - now.Sub(s.received)
	meta := hop.Meta{
		ID: s.headers.ID(), Service: s.service, Upstream: b.Upstream, Remaining: remaining,
		Idempotent: s.route.Idempotent, Received: s.received, Revision: s.table.Revision(),
		CallerService: s.in.callerService(), Priority: s.priority(), Declinable: a.declinable,
		Depth: s.depth, Repeated: a.repeated, MinSlowdown: a.minSlowdown, EntryHost: s.in.host, Route: s.route.Name, Fingerprint: s.fingerprint,
		Organisation: s.organisationName(), ReportGateTime: s.in.leaving.byRoom(),
	}
	if !a.declinable {
		meta.MaxWait = s.maxWait(now, remaining)
		if s.depth == 0 && s.route.Objective > 0 {
			meta.ObjectiveRemaining = s.objectiveRemaining(now)
		}
	}
	return meta
}

// meanTime returns the mean duration of an answered attempt of a route.
func (in *Ingress) meanTime(name string) time.Duration {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.meanTimes[name]
}

// meanSize returns the mean length of a route's responses, in bytes.
func (in *Ingress) meanSize(name string) int64 {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.meanSizes[name]
}

// recordSuccess adds the duration of an answered attempt and the length of its
// response to the moving averages of a route.
func (in *Ingress) recordSuccess(name string, elapsed time.Duration, size int64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	mean, ok := in.meanTimes[name]
	if !ok {
		in.meanTimes[name], in.meanSizes[name] = elapsed, size
		return
	}
	in.meanTimes[name] = mean + time.Duration(sampleWeight*float64(elapsed-mean))
	in.meanSizes[name] += int64(sampleWeight * float64(size-in.meanSizes[name]))
}
