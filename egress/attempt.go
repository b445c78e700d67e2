package egress

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/banyancross/banyancross/admission"
	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/http1"
	"github.com/banyancross/banyancross/platform"
)

// Do runs one attempt. The answer is never nil, and its Finish must be called.
func (g *Gate) Do(ctx context.Context, meta hop.Meta, c *Call) *Answer {
	g.recordEntryNode(meta.EntryHost)
	answer := g.do(ctx, meta, c)
	load := g.updateLoad()
	answer.Meta.ID, answer.Meta.FromGate, answer.Meta.Load = meta.ID, true, &load
	if table := g.table(); table != nil {
		answer.Meta.Revision = table.Revision()
	}
	return answer
}

func (g *Gate) do(ctx context.Context, meta hop.Meta, c *Call) *Answer {
	now := g.clock.Now()
	if g.holds.Blocked(now, meta.Fingerprint) {
		return Refusal(call.NotRun, call.ReasonQuarantined)
	}
	a, refused := g.checkUpstream(meta)
	if refused == "" {
		refused = g.decline(now, meta)
	}
	if refused != "" {
		return Refusal(call.NotRun, refused)
	}
	request := admission.Request{
		Deadline: now.Add(meta.Remaining), Depth: meta.Depth, Priority: meta.Priority, Expected: g.expectedRunTime(meta.Route),
	}
	pass, refusal := a.admission.Admit(now, request)
	if refusal != nil {
		return Refusal(call.NotRun, refusal.Reason())
	}
	reason := g.awaitPass(ctx, pass, meta.MaxWait)
	waited := g.clock.Now().Sub(now)
	if reason != "" {
		answer := Refusal(call.NotRun, reason)
		answer.Meta.QueueTime = waited
		return answer
	}
	// The upstream may have begun to leave while the call waited.
	if _, refused := g.checkUpstream(meta); refused != "" {
		pass.End(g.clock.Now(), false)
		return Refusal(call.NotRun, refused)
	}
	answer := g.run(ctx, a, meta, c, pass, now)
	answer.Meta.QueueTime = waited
	g.logRun(meta, answer, g.clock.Now().Sub(now))
	return answer
}

// target are the parts that one call uses, taken together.
type target struct {
	admission *admission.Gate
	pool      *http1.Pool
	instance  string
}

// checkUpstream tells why a call must not run now, or returns what it uses.
func (g *Gate) checkUpstream(meta hop.Meta) (target, call.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.upstream.instance != meta.Upstream || g.upstream.service != meta.Service:
		return target{}, call.ReasonNotReady
	case g.phase() == fleet.Absent:
		return target{}, call.ReasonNotReady
	case g.phase() == fleet.Draining:
		return target{}, call.ReasonLeaving
	}
	return target{admission: g.admission, pool: g.pool, instance: g.upstream.instance}, ""
}

// decline tells why a selective call had better run elsewhere.
func (g *Gate) decline(now time.Time, meta hop.Meta) call.Reason {
	if !meta.Declinable {
		return ""
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.health.slowdownAt(now) >= slowedRatio*max(1, float64(meta.MinSlowdown)):
		return call.ReasonSlowed
	case g.health.failing(now) && !g.health.admitSample():
		return call.ReasonFailing
	}
	return ""
}

// awaitPass returns why a pass was not granted within the caller's patience.
func (g *Gate) awaitPass(ctx context.Context, pass *admission.Pass, patience time.Duration) call.Reason {
	select {
	case <-pass.Ready():
	default:
		if patience <= 0 {
			return g.abandon(pass, call.ReasonOverload)
		}
		select {
		case <-pass.Ready():
		case <-g.clock.After(patience):
			return g.abandon(pass, call.ReasonOverload)
		case <-ctx.Done():
			return g.abandon(pass, call.ReasonCancelled)
		}
	}
	if refusal := pass.Refusal(); refusal != nil {
		return refusal.Reason()
	}
	return ""
}

func (g *Gate) abandon(pass *admission.Pass, reason call.Reason) call.Reason {
	if pass.Abandon() {
		pass.End(g.clock.Now(), false)
	}
	return reason
}

// run sends the call to the upstream in the slot of pass.
func (g *Gate) run(ctx context.Context, a target, meta hop.Meta, c *Call, pass *admission.Pass, arrived time.Time) *Answer {
	started := g.clock.Now()
	remaining := meta.Remaining - started.Sub(arrived)
	if !meta.Idempotent {
		// Its caller may leave, but what may run only once runs to its end.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, remaining+answerMargin)
	recordEnd := g.trackRun(meta)
	// The call may be finished when its answer was read, and again by whoever
	// drops the answer.
	var once sync.Once
	finish := func(answered bool) {
		once.Do(func() {
			cancel()
			recordEnd(answered)
			pass.End(g.clock.Now(), answered)
			g.updateLoad()
		})
	}
	response, err := a.pool.Do(ctx, g.outgoing(a, meta, c, remaining))
	if err != nil {
		// finish ends ctx, which tells why there is no answer.
		answer := g.failureAnswer(ctx, a, meta, err)
		finish(false)
		return answer
	}
	answer := platform.ReadResponseHeaders(response.Status, response.Header)
	g.reported(a, answer, response.Header)
	if reason := g.discardReason(a, answer, response); reason != "" {
		response.Release()
		finish(false)
		outcome := call.Unknown
		if reason == call.ReasonRejected {
			outcome = call.NotRun
		}
		refused := Refusal(outcome, reason)
		refused.Meta.ReachedUpstream = true
		return refused
	}
	g.holds.Answered(g.clock.Now(), meta.Fingerprint)
	g.outcome(response.Status >= http.StatusInternalServerError)
	return &Answer{
		Meta: hop.AnswerMeta{Outcome: call.Answered, ReachedUpstream: true}, Response: response,
		Finish: func() {
			response.Release()
			finish(response.Body.Complete())
		},
	}
}

func (g *Gate) outgoing(a target, meta hop.Meta, c *Call, remaining time.Duration) *http1.OutgoingRequest {
	header := c.Header.Clone()
	hop.Strip(header)
	platform.SetForwardingHeaders(header, platform.ForwardingHeaders{Instance: a.instance, Remaining: remaining, Caller: meta.CallerService})
	out := &http1.OutgoingRequest{
		Method: c.Method, Target: c.Target, Host: c.Host, Header: header, Body: c.Content,
		Accept: func(response *http1.Response) bool {
			answer := platform.ReadResponseHeaders(response.Status, response.Header)
			return answer.ID() == meta.ID || (answer.ID() == "" && answer.NotRun())
		},
	}
	if c.Rest != nil {
		out.Rest = c.Rest
	}
	return out
}

// discardReason tells why an answer is not passed on, if it is not.
func (g *Gate) discardReason(a target, answer platform.ResponseHeaders, response *http1.Response) call.Reason {
	switch {
	case answer.NotRun():
		if response.Status == http.StatusMisdirectedRequest {
			g.misdirected(a)
		}
		return call.ReasonRejected
	case !answer.Stamped() || answer.Encoded():
		g.outcome(true)
		return call.ReasonGarbled
	}
	return ""
}

// failureAnswer answers for a call that got no answer.
func (g *Gate) failureAnswer(ctx context.Context, a target, meta hop.Meta, err error) *Answer {
	if http1.KindOf(err) == http1.KindNotSent {
		g.unreached(a, err)
		return Refusal(call.NotRun, call.ReasonConnection)
	}
	reason := call.ReasonConnection
	switch context.Cause(ctx) {
	case nil:
		g.outcome(true)
		g.recordBrokenRun(meta.Fingerprint)
	case context.DeadlineExceeded:
		reason = call.ReasonDeadline
		g.outcome(true)
	default:
		reason = call.ReasonCancelled
	}
	answer := Refusal(call.Unknown, reason)
	answer.Meta.ReachedUpstream = true
	return answer
}
