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
	arrived := g.clock.Now()
	answer := g.do(ctx, meta, c)
	if meta.ReportGateTime {
		answer.Meta.GateTime = g.clock.Now().Sub(arrived)
	}
	if answer.Meta.Reason == call.ReasonWarming {
		answer.Meta.RoomIn = g.roomIn(meta.Service)
	}
	load := g.updateLoad()
	answer.Meta.ID, answer.Meta.FromGate, answer.Meta.Load = meta.ID, true, &load
	if answer.Response == nil {
		received := answer.received
		answer.Meta.UpstreamStatus, answer.Meta.Connection, answer.Meta.Exchange = received.status, received.connection, received.exchange
	}
	answer.Meta.NestedExcess = g.nestedExcess()
	if table := g.table(); table != nil {
		answer.Meta.Revision = table.Revision()
	}
	return answer
}

func (g *Gate) do(ctx context.Context, meta hop.Meta, c *Call) *Answer {
	now := g.clock.Now()
	if g.blocklist.Refuses(now, meta.Fingerprint) {
		return Refusal(call.NotRun, call.ReasonQuarantined)
	}
	t, refused := g.checkUpstream(meta)
	if refused == "" {
		refused = g.decline(now, meta)
	}
	if refused == "" {
		if refused = g.refuseWarming(now, t, meta); refused != "" && losesNested(meta) {
			t.admission.LoseNested(now, false)
		}
	}
	if refused != "" {
		return Refusal(call.NotRun, refused)
	}
	request := admission.Request{
		Deadline: now.Add(meta.Remaining), Depth: meta.Depth, Priority: meta.Priority, Expected: g.expectedRunTime(meta.Route),
		Organisation: meta.Organisation, Immediate: meta.MaxWait <= 0, MaxWait: meta.MaxWait,
	}
	if meta.ObjectiveRemaining != 0 {
		request.Objective = now.Add(meta.ObjectiveRemaining)
	}
	pass, refusal := t.admission.Admit(now, request)
	if refusal != nil {
		return Refusal(call.NotRun, refusal.Reason())
	}
	reason := g.awaitPass(ctx, pass, meta.MaxWait)
	var place time.Time
	if reason == "" {
		granted := g.clock.Now()
		if place, reason = g.awaitRoom(ctx, meta, now.Add(meta.MaxWait)); reason != "" {
			pass.End(g.clock.Now(), false)
			if reason == call.ReasonWarming && losesNested(meta) {
				t.admission.LoseNested(g.clock.Now(), true)
			}
		} else if place.After(granted) {
			pass.Restart(place)
		}
	}
	waited := g.clock.Now().Sub(now)
	if reason != "" {
		answer := Refusal(call.NotRun, reason)
		answer.Meta.QueueTime = waited
		return answer
	}
	// The upstream may have started to drain, its failure domain may have been evacuated, or
	// the request may have been blocked, while the call was queued.
	if _, refused = g.checkUpstream(meta); refused == "" && g.blocklist.Blocked(meta.Fingerprint) && !g.storeTrial(ctx, meta.Fingerprint) {
		refused = call.ReasonQuarantined
	}
	if refused == "" && ctx.Err() != nil {
		// Nobody waits for the call any more.
		refused = call.ReasonCancelled
	}
	if refused != "" {
		pass.End(g.clock.Now(), false)
		g.returnRoom(place)
		return Refusal(call.NotRun, refused)
	}
	answer := g.run(ctx, t, meta, c, pass, now)
	if answer.notReceived {
		g.returnRoom(place)
	}
	answer.Meta.QueueTime = waited
	g.logRun(meta, answer, g.clock.Now().Sub(now))
	return answer
}

// target holds what one call uses of the gate, read under one lock.
type target struct {
	admission *admission.Gate
	pool      *http1.Pool
	instance  string
}

// checkUpstream returns the target of a call, or the reason to reject the call.
func (g *Gate) checkUpstream(meta hop.Meta) (target, call.Reason) {
	if g.evacuated() {
		return target{}, call.ReasonEvacuated
	}
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

// decline returns the reason to reject a declinable call, "" to admit it.
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

// awaitPass waits up to maxWait for a pass and returns the reason if it was not
// granted.
func (g *Gate) awaitPass(ctx context.Context, pass *admission.Pass, maxWait time.Duration) call.Reason {
	select {
	case <-pass.Ready():
	default:
		if maxWait <= 0 {
			return g.abandon(pass, call.ReasonOverload)
		}
		select {
		case <-pass.Ready():
		case <-g.clock.After(maxWait):
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
	abandon := pass.Abandon
	if reason == call.ReasonOverload {
		abandon = pass.Expire
	}
	if abandon() {
		pass.End(g.clock.Now(), false)
	}
	return reason
}

// run sends the call to the upstream in the slot of pass.
func (g *Gate) run(ctx context.Context, t target, meta hop.Meta, c *Call, pass *admission.Pass, arrived time.Time) *Answer {
	started := g.clock.Now()
	remaining := meta.Remaining - started.Sub(arrived)
	if !meta.Idempotent {
		// A call that is not idempotent is not retried, so it runs to its end even
		// if its caller disconnects.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, remaining+answerMargin)
	run, recordEnd := g.trackRun(meta)
	// Finish may be called twice: after the answer was read, and when it is
	// discarded.
	var once sync.Once
	finish := func(answered bool) {
		once.Do(func() {
			cancel()
			recordEnd(answered)
			pass.End(g.clock.Now(), answered)
			g.updateLoad()
		})
	}
	response, err := t.pool.Do(ctx, g.outgoing(t, meta, c, remaining))
	if err != nil {
		// failureAnswer reads the cause from ctx, which finish cancels.
		answer := g.failureAnswer(ctx, t, meta, err)
		finish(false)
		return answer
	}
	answer := platform.ReadResponseHeaders(response.Status, response.Header)
	head := received{status: response.Status, connection: response.Connection(), exchange: response.Exchange(), stamped: answer.Stamped()}
	g.recordReport(t, answer, response.Header)
	reason := g.discardReason(t, answer, response)
	if reason == call.ReasonRejected && !g.readRejection(response) {
		reason = call.ReasonCut
	}
	if reason != "" {
		response.Release()
		finish(false)
		outcome := call.Unknown
		if reason == call.ReasonRejected && meta.ID != "" {
			// Without an ID, it may be the rejection of a health check.
			outcome = call.NotRun
		}
		refused := Refusal(outcome, reason)
		refused.Meta.ReachedUpstream = true
		refused.received = head
		refused.notReceived = reason == call.ReasonRejected && response.Status == http.StatusMisdirectedRequest
		return refused
	}
	g.recordOutcome(response.Status >= http.StatusInternalServerError)
	return &Answer{
		Meta: hop.AnswerMeta{Outcome: call.Answered, ReachedUpstream: true, NestedCalls: g.nestedCalls(run)}, Response: response, received: head,
		Finish: sync.OnceFunc(func() {
			// finish cancels ctx.
			cancelled := ctx.Err() != nil
			response.Release()
			finish(response.Body.Complete())
			err := response.Body.Err()
			switch {
			case response.Body.Complete():
				if showsHarmless(response.Status) {
					g.blocklist.Answered(g.clock.Now(), meta.Fingerprint)
				}
			case err == nil || cancelled:
				g.recordAbandonedRun(meta.Fingerprint)
			default:
				g.recordBrokenRun(meta.Fingerprint)
			}
			if err != nil {
				g.logBrokenResponse(meta, response, err)
			}
		}),
	}
}

// showsHarmless reports whether a complete response with a status shows that its request does
// not crash upstreams. One that fails or sheds requests may have answered without a run.
func showsHarmless(status int) bool {
	return status < http.StatusInternalServerError && !platform.PromisesNoRun(status)
}

func (g *Gate) outgoing(t target, meta hop.Meta, c *Call, remaining time.Duration) *http1.OutgoingRequest {
	header := c.Header.Clone()
	hop.Strip(header)
	platform.SetForwardingHeaders(header, platform.ForwardingHeaders{Instance: t.instance, Remaining: remaining, Caller: meta.CallerService, Organisation: meta.Organisation})
	return &http1.OutgoingRequest{
		ID: meta.ID, Method: c.Method, Target: c.Target, Host: c.Host, Header: header, Body: c.Content, Rest: c.Rest,
		Accept: acceptID(meta.ID),
	}
}

// acceptID returns a function that reports whether a response bears the ID of a request,
// "" for a health check. An upstream may repeat an earlier response, also a rejection,
// on a connection that calls and health checks share.
func acceptID(id string) func(*http1.Response) bool {
	return func(response *http1.Response) bool {
		return platform.ReadResponseHeaders(response.Status, response.Header).ID() == id
	}
}

// discardReason returns why an answer must not be passed on, "" if it may be.
func (g *Gate) discardReason(t target, answer platform.ResponseHeaders, response *http1.Response) call.Reason {
	switch {
	case response.Status == http.StatusMisdirectedRequest:
		// Another upstream says so, whatever it adds.
		g.recordMisdirected(t)
		return call.ReasonRejected
	case answer.NotRun() && (answer.Stamped() || response.Status < http.StatusBadRequest):
		// It also says that the request has run.
		g.recordOutcome(true)
		return call.ReasonGarbled
	case answer.NotRun():
		return call.ReasonRejected
	case !answer.Stamped() || answer.Encoded():
		g.recordOutcome(true)
		return call.ReasonGarbled
	}
	return ""
}

// maxRejectionBody bounds the body of a rejection, in bytes.
const maxRejectionBody = 64 << 10

// readRejection reads the body of a rejection and reports whether it is complete. One that
// breaks off promises nothing.
func (g *Gate) readRejection(response *http1.Response) bool {
	_, whole, err := response.Body.Buffer(maxRejectionBody)
	if err != nil || !whole {
		g.recordOutcome(true)
		return false
	}
	return true
}

// failureAnswer returns the answer to a call that failed with err.
func (g *Gate) failureAnswer(ctx context.Context, t target, meta hop.Meta, err error) *Answer {
	if http1.KindOf(err) == http1.KindNotSent {
		g.recordDialFailure(t, err)
		answer := Refusal(call.NotRun, call.ReasonConnection)
		answer.err, answer.notReceived = err, true
		return answer
	}
	reason, cause := call.ReasonConnection, context.Cause(ctx)
	if http1.KindOf(err) == http1.KindBodyCut {
		// The caller broke off, also if ctx does not end with it.
		cause = context.Canceled
	}
	switch cause {
	case nil:
		g.recordOutcome(true)
		g.recordBrokenRun(meta.Fingerprint)
	case context.DeadlineExceeded:
		reason = call.ReasonDeadline
		g.recordOutcome(true)
		g.recordAbandonedRun(meta.Fingerprint)
	default:
		reason = call.ReasonCancelled
		g.recordAbandonedRun(meta.Fingerprint)
	}
	answer := Refusal(call.Unknown, reason)
	answer.Meta.ReachedUpstream, answer.err = true, err
	return answer
}
