package ingress

import (
	"context"
	"time"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/routing"
)

// heldAnswer is the largest part of an answer that is held until it is known to
// be whole, in bytes. An answer within it that breaks off can be fetched again
// from another upstream; the callers' usual answers are smaller.
const heldAnswer = 256 << 10

// result is how an attempt ended.
type result struct {
	attempt *attempt
	answer  *egress.Answer
	// content is the body, or its first part; whole tells which.
	content []byte
	whole   bool
}

// size is the length of the answer as far as it is known.
func (r *result) size() int64 { return max(r.answer.Response.Length, int64(len(r.content))) }

func (r *result) status() int { return r.answer.Response.Status }

// discard drops an answer that is not wanted.
func (r *result) discard() {
	r.answer.Finish()
	r.attempt.cancel()
}

// attempt sends a request to one gate and holds the first part of the answer.
func (in *Ingress) attempt(ctx context.Context, a *attempt, meta hop.Meta, c *egress.Call, results chan<- result) {
	r := result{attempt: a, answer: in.sender.Send(ctx, a.peer, meta, c)}
	if r.answer.Response != nil {
		content, whole, err := r.answer.Response.Body.Buffer(heldAnswer)
		r.content, r.whole = content, whole
		if err != nil {
			r.answer.Finish()
			load := r.answer.Meta.Load
			r.answer = egress.Refusal(call.Unknown, call.ReasonCut)
			r.answer.Meta.Load, r.answer.Meta.ReachedUpstream = load, true
		}
		if whole {
			r.answer.Finish()
		}
	}
	now := in.clock.Now()
	in.policy.Finished(now, policyName(a.peer.Beacon()), routing.Result{
		Elapsed: now.Sub(a.started), Outcome: r.answer.Meta.Outcome, Reason: r.answer.Meta.Reason, Load: r.answer.Meta.Load,
	})
	if r.answer.Meta.FromGate {
		in.view.Heard(now, a.peer.Beacon().Host)
	}
	results <- r
}

// meta tells the gate about an attempt.
func (s *session) meta(now time.Time, a *attempt) hop.Meta {
	b := a.peer.Beacon()
	remaining := s.timeout - now.Sub(s.received)
	meta := hop.Meta{
		ID: s.headers.ID(), Service: s.service, Upstream: b.Upstream, Remaining: remaining,
		Idempotent: s.route.Idempotent, Received: s.received, Revision: s.table.Revision(),
		CallerService: s.in.caller(), Priority: s.route.Priority, Declinable: a.selective,
		Depth: s.depth, Repeated: a.repeated, MinSlowdown: a.fastest, EntryHost: s.in.host, Route: s.route.Name, Fingerprint: s.fingerprint,
	}
	if !a.selective {
		meta.MaxWait = min(s.patience(now), remaining/2)
	}
	return meta
}

// patience is how long the request may wait at a gate and still be answered
// within its objective, if its run takes as long as usual.
func (s *session) patience(now time.Time) time.Duration {
	objective := float64(s.objective())
	spare := s.objective() - now.Sub(s.received) - s.in.typical(s.route.Name)
	return min(max(spare, time.Duration(minPatience*objective)), time.Duration(maxPatience*objective))
}

// typical returns how long an attempt of a route usually takes.
func (in *Ingress) typical(name string) time.Duration {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.times[name]
}

// size returns how long the answers of a route usually are, in bytes.
func (in *Ingress) size(name string) int64 {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.sizes[name]
}

// took records how long an attempt took that was answered, and how long the
// answer was.
func (in *Ingress) took(name string, elapsed time.Duration, size int64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	known, ok := in.times[name]
	if !ok {
		in.times[name], in.sizes[name] = elapsed, size
		return
	}
	in.times[name] = known + time.Duration(typicalWeight*float64(elapsed-known))
	in.sizes[name] += int64(typicalWeight * float64(size-in.sizes[name]))
}
