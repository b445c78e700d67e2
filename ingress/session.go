package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/http1"
	"github.com/banyancross/banyancross/locality"
	"github.com/banyancross/banyancross/organisation"
	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/route"
)

const (
	// maxDeclinablePicks bounds how many admission gates may decline a request
	// because another upstream would probably answer sooner. With a quarter of
	// the hosts slow, one request in 64 picks three slow ones.
	maxDeclinablePicks = 3
	// maxQueuedPicks bounds the gates at which a request may be queued: with
	// maxWaitShare at each, the rest of the latency objective suffices for a run.
	maxQueuedPicks = 2
	// maxPicks bounds the gates that a request is sent to: those that may decline
	// it, those that may queue it, and one more.
	maxPicks = maxDeclinablePicks + maxQueuedPicks + 1
	// sampleWeight is the weight of a new sample in a route's moving averages,
	// which thus cover about the last 20 calls.
	sampleWeight = 0.05
	// defaultObjective is the latency objective of a route that sets none. A user
	// who waits for a page notices longer times.
	defaultObjective = 500 * time.Millisecond
	// minAttemptTime is the least remaining time for which another attempt is
	// made: a round trip between failure domains.
	minAttemptTime = 10 * time.Millisecond
)

// session is the state of one request until it is answered.
type session struct {
	in      *Ingress
	request *http1.Request
	reply   *http1.Reply
	headers platform.Request
	table   *route.Table
	route   *route.Route
	service string
	// organisation is that of the caller, nil for none.
	organisation *organisation.Organisation
	// quotaExpires is the time until which the token of the request may be given back.
	quotaExpires time.Time
	// fingerprint identifies the request across resends by its caller.
	fingerprint uint64
	received    time.Time
	timeout     time.Duration
	// elapsedBefore is the estimated time from the caller's first attempt to received.
	elapsedBefore time.Duration
	// depth is the number of calls above this one in its call chain.
	depth int
	// parentRetried means that the run that makes this nested call is a retry, and
	// retryDenied that the retry budget forbade another attempt.
	parentRetried, retryDenied bool

	results chan result
	// tried holds the hosts that the request was sent to, and declinedLocal those
	// of them in the own failure domain whose gate declined it.
	tried         map[string]bool
	declinedLocal map[string]bool
	inFlight      []*attempt
	// warming holds the hosts whose gates rejected the request as their upstreams are
	// cold, and roomIn is when the first of them has room, 0 for none.
	warming map[string]bool
	roomIn  time.Duration
	// picks counts the upstreams chosen, and queuedPicks those of them whose gate
	// may queue the request.
	picks       int
	queuedPicks int
	// attempts counts the sends that ran at an upstream or still may, and arrivals
	// those that reached one or still may.
	attempts, arrivals int
	// outcomeUnknown means that an attempt without a response may have run.
	outcomeUnknown bool
	// reason is why the latest attempt failed.
	reason call.Reason
	// errorResult is a server error of an upstream, passed on if no other attempt
	// succeeds.
	errorResult *result
	trail       []AttemptRecord
}

// attempt is one send of the request to a gate.
type attempt struct {
	peer       fleet.Peer
	cancel     context.CancelFunc
	started    time.Time
	hedge      bool
	declinable bool
	// minSlowdown is the lowest slowdown among the upstreams to choose from.
	minSlowdown float32
	// charge is what the attempt took from the retry budget, nil for the first arrival.
	charge *retryCharge
	// repeated means that an earlier attempt has run, runs, or may have run.
	repeated bool
	way      locality.Way
	leaving  locality.Reason
}

// exchange sends the request to upstreams until one answers or it must not be
// sent again. It returns the response to pass on, which the caller releases, or nil if
// no upstream answered.
func (s *session) exchange(ctx context.Context) *result {
	passedOn := s.awaitResponse(ctx)
	if s.errorResult != passedOn {
		s.discardErrorResult()
	}
	return passedOn
}

// awaitResponse is exchange without the release of an errorResult that is not passed on.
func (s *session) awaitResponse(ctx context.Context) *result {
	s.results = make(chan result, maxPicks+1)
	s.tried, s.declinedLocal = map[string]bool{}, map[string]bool{}
	if ctx.Err() != nil {
		s.reason = call.ReasonDeadline
		return nil
	}
	hedge := s.hedgeTimer()
	defer s.cancelAll()
	if !s.launch(ctx, false) {
		s.reason = s.noUpstreamReason()
		return nil
	}
	for len(s.inFlight) > 0 {
		select {
		case r := <-s.results:
			if s.handleResult(&r) {
				return &r
			}
			if len(s.inFlight) > 0 {
				s.rehedge(ctx, &r)
			} else if !s.retry(ctx) {
				return s.errorResult
			}
		case <-hedge:
			hedge = nil
			s.launchHedge(ctx)
		case <-ctx.Done():
			s.reason = call.ReasonDeadline
			s.outcomeUnknown = true
			return s.errorResult
		}
	}
	return s.errorResult
}

// handleResult records the result of an attempt and reports whether it is the
// response to pass on.
func (s *session) handleResult(r *result) bool {
	s.finishAttempt(r)
	meta := r.answer.Meta
	if meta.Outcome == call.Answered {
		s.recordNestedCalls(meta.NestedCalls)
	}
	switch {
	case meta.Outcome == call.Answered && !s.shouldRetryResponse(r):
		s.in.recordSuccess(s.route.Name, s.in.clock.Now().Sub(r.attempt.started), r.size())
		return true
	case meta.Outcome == call.Answered:
		s.discardErrorResult()
		s.errorResult = r
		s.reason = call.ReasonFailed
	case meta.Outcome == call.NotRun && !meta.ReachedUpstream:
		s.attempts--
		s.arrivals--
		if r.attempt.charge != nil {
			s.in.retryBudgets.refund(s.in.clock.Now(), r.attempt.charge)
		}
		s.reason = meta.Reason
		if meta.Reason == call.ReasonWarming {
			s.recordWarming(r.attempt, meta.RoomIn)
		} else if r.attempt.declinable && meta.FromGate && s.local(r.attempt.peer) {
			s.declinedLocal[r.attempt.peer.Beacon().Host] = true
		}
	case meta.Outcome == call.NotRun:
		// The upstream rejected the request.
		s.attempts--
		if !r.attempt.declinable {
			s.queuedPicks--
		}
		s.reason = meta.Reason
	default:
		s.outcomeUnknown = true
		s.reason = meta.Reason
	}
	return false
}

// shouldRetryResponse reports whether a server error is worth a retry at another
// upstream. An upstream that calls others mostly fails because one of those
// fails, so its errors are not retried.
func (s *session) shouldRetryResponse(r *result) bool {
	return r.status() >= http.StatusInternalServerError && s.route.Idempotent && !s.callsOthers()
}

// finishAttempt moves an attempt from inFlight to the trail.
func (s *session) finishAttempt(r *result) {
	now := s.in.clock.Now()
	for i, a := range s.inFlight {
		if a == r.attempt {
			s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
			break
		}
	}
	meta := r.answer.Meta
	record := AttemptRecord{
		Host: r.attempt.peer.Beacon().Host, Upstream: r.attempt.peer.Beacon().Upstream, Outcome: meta.Outcome,
		Reason: meta.Reason, Hedge: r.attempt.hedge, Retry: r.attempt.charge != nil, Offset: r.attempt.started.Sub(s.received), Elapsed: now.Sub(r.attempt.started),
		QueueTime: meta.QueueTime, Way: r.attempt.way, Leaving: r.attempt.leaving,
		UpstreamStatus: meta.UpstreamStatus, Connection: meta.Connection, Exchange: meta.Exchange,
	}
	if meta.Load != nil {
		record.Load = *meta.Load
	}
	s.trail = append(s.trail, record)
}

// retry sends the request to another upstream, if it may be sent again and an
// upstream is left. A body that was streamed cannot be sent again.
func (s *session) retry(ctx context.Context) bool {
	if ctx.Err() != nil || (s.outcomeUnknown && !s.route.Idempotent) || s.request.Rest != nil {
		return false
	}
	if s.timeout-s.in.clock.Now().Sub(s.received) < minAttemptTime {
		return false
	}
	return s.launch(ctx, false)
}

func (s *session) objective() time.Duration {
	if s.route.Objective > 0 {
		return s.route.Objective
	}
	return defaultObjective
}

// launch sends the request to the upstream with the least expected cost. It
// returns false if none is left, or a limit or the retry budget forbids it.
func (s *session) launch(ctx context.Context, hedge bool) bool {
	if s.picks >= maxPicks || s.queuedPicks >= maxQueuedPicks || s.attempts >= max(s.route.MaxAttempts, 1) {
		return false
	}
	serving := s.permitted(s.in.view.Serving(s.service))
	peers := s.candidates(serving, hedge)
	if len(peers) == 0 || (hedge && s.callsOthers()) {
		return false
	}
	now := s.in.clock.Now()
	var charge *retryCharge
	if s.arrivals > 0 {
		if charge = s.spendRetry(now, hedge); charge == nil {
			s.retryDenied = true
			return false
		}
	}
	peer, declinable, leaving := s.place(now, peers, hedge)
	name := peer.Beacon().Host
	if !declinable {
		s.queuedPicks++
	}
	s.picks++
	s.attempts++
	s.arrivals++
	s.tried[name] = true
	delete(s.declinedLocal, name)
	attemptCtx, cancel := context.WithCancel(ctx)
	a := &attempt{
		peer: peer, cancel: cancel, started: now, hedge: hedge, declinable: declinable, charge: charge,
		repeated: s.mayHaveRun(), minSlowdown: minSlowdown(serving), way: s.in.wayTo(peer), leaving: leaving,
	}
	s.inFlight = append(s.inFlight, a)
	s.in.policy.Started(now, peer.Key())
	meta, egressCall := s.meta(now, a), s.egressCall()
	go s.in.runAttempt(attemptCtx, a, meta, egressCall, s.results)
	return true
}

// spendRetry takes another attempt from the retry budget and returns the charge, nil if
// the budget does not allow it.
func (s *session) spendRetry(now time.Time, hedge bool) *retryCharge {
	reserve := 0.0
	if hedge {
		reserve = hedgeReserveShare
	}
	charge := newRetryCharge(s.service, s.expectedCalls())
	if !s.in.retryBudgets.spend(now, charge, reserve) {
		return nil
	}
	return charge
}

// mayHaveRun reports whether an attempt has run, may have run, or is in flight.
func (s *session) mayHaveRun() bool {
	return s.outcomeUnknown || s.errorResult != nil || len(s.inFlight) > 0
}

// egressCall returns the request in the form that a Sender takes.
func (s *session) egressCall() *egress.Call {
	return &egress.Call{
		Method: s.request.Method, Target: s.request.Target, Host: s.request.Host,
		Header: s.request.Header, Content: s.request.Content, Rest: s.request.Rest,
	}
}

// cancelAll cancels the attempts that are still in flight and discards their
// responses.
func (s *session) cancelAll() {
	for _, a := range s.inFlight {
		a.cancel()
	}
	for range s.inFlight {
		go func() {
			r := <-s.results
			r.discard()
		}()
	}
}

func (s *session) discardErrorResult() {
	if s.errorResult != nil {
		s.errorResult.discard()
		s.errorResult = nil
	}
}
