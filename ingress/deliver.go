package ingress

import (
	"context"
	"net/http"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/platform"
)

// deliver answers the caller: with the upstream's response r, or, if r is nil,
// with 503 if no attempt can have run, and with 502 or 504 otherwise.
func (s *session) deliver(ctx context.Context, r *result) {
	switch {
	case r != nil:
		s.forward(r)
	case ctx.Err() == context.Canceled:
		s.recordEnd(0, call.Unknown, call.ReasonCancelled)
		s.reply.Abort()
	case !s.outcomeUnknown:
		s.refuse(s.reason)
	case s.reason == call.ReasonDeadline:
		s.fail(http.StatusGatewayTimeout, s.reason)
	default:
		s.fail(http.StatusBadGateway, s.reason)
	}
}

// forward passes an upstream's response on to the caller without the hop-by-hop
// and internal headers.
func (s *session) forward(r *result) {
	defer r.discard()
	response := r.answer.Response
	header := response.Header
	hop.StripResponse(s.request.Method, header)
	s.recordEnd(response.Status, call.Answered, "")
	if r.complete {
		_ = s.reply.Send(response.Status, header, r.content)
		return
	}
	_ = s.reply.Stream(response.Status, header, response.Length, r.content, response.Body)
}

// refuse answers that the request has not run, with a Retry-After header.
func (s *session) refuse(reason call.Reason) {
	header := http.Header{}
	wait := minRetryAfter
	if reason == call.ReasonWarming {
		wait = max(wait, s.roomIn)
	}
	platform.SetRetryAfter(header, s.in.jittered(wait, retryAfterSpread))
	s.answer(http.StatusServiceUnavailable, call.NotRun, reason, header)
}

// fail answers with a status that leaves open whether the request has run.
func (s *session) fail(status int, reason call.Reason) {
	s.answer(status, call.Unknown, reason, http.Header{})
}

// answer sends a response of this node's own.
func (s *session) answer(status int, outcome call.Outcome, reason call.Reason, header http.Header) {
	platform.EchoID(header, s.headers.ID())
	s.recordEnd(status, outcome, reason)
	_ = s.reply.Send(status, header, nil)
}

// recordEnd reports the end of the request to the observer. Attempts that are
// still in flight join the trail as unfinished.
func (s *session) recordEnd(status int, outcome call.Outcome, reason call.Reason) {
	now := s.in.clock.Now()
	elapsed := now.Sub(s.received)
	for _, a := range s.inFlight {
		b := a.peer.Beacon()
		s.trail = append(s.trail, AttemptRecord{
			Host: b.Host, Upstream: b.Upstream, Reason: call.ReasonUnfinished, Hedge: a.hedge,
			Retry: a.charge != nil, Offset: a.started.Sub(s.received), Elapsed: now.Sub(a.started),
			Way: a.way, Leaving: a.leaving,
		})
	}
	o := Observation{
		ID: s.headers.ID(), Service: s.service, Status: status, Outcome: outcome, Reason: reason,
		Attempts: s.arrivals, Picks: s.picks, Elapsed: elapsed, Trail: s.trail,
		RetryDenied: s.retryDenied, ParentRetried: s.parentRetried, Organisation: s.organisationName(),
		Fingerprint: s.fingerprint,
	}
	if s.table != nil {
		o.Revision = s.table.Revision()
	}
	if s.route != nil {
		o.Route, o.Idempotent, o.Late = s.route.Name, s.route.Idempotent, elapsed > s.objective()
	}
	s.in.observe(o)
}
