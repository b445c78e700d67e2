package ingress

import (
	"context"
	"net/http"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/platform"
)

// deliver answers the caller.
func (s *session) deliver(ctx context.Context, r *result) {
	switch {
	case r != nil:
		s.pass(r)
	case ctx.Err() == context.Canceled:
		s.ended(0, call.Unknown, call.ReasonCancelled)
		s.reply.Abort()
	case !s.uncertain:
		s.refuse(s.reason)
	case s.reason == call.ReasonDeadline:
		s.fail(http.StatusGatewayTimeout, s.reason)
	default:
		s.fail(http.StatusBadGateway, s.reason)
	}
}

// pass hands an upstream's answer to the caller, unchanged but for what belongs
// to one connection.
func (s *session) pass(r *result) {
	defer r.discard()
	response := r.answer.Response
	header := response.Header
	hop.Strip(header)
	s.ended(response.Status, call.Answered, "")
	if r.whole {
		_ = s.reply.Send(response.Status, header, r.content)
		return
	}
	_ = s.reply.Stream(response.Status, header, response.Length, r.content, response.Body)
}

// refuse answers that the request has not run, and when to come back.
func (s *session) refuse(reason call.Reason) {
	header := http.Header{}
	platform.EchoID(header, s.headers.ID())
	platform.SetRetryAfter(header, s.in.jittered(minRetryAfter, retryAfterSpread))
	s.ended(http.StatusServiceUnavailable, call.NotRun, reason)
	_ = s.reply.Send(http.StatusServiceUnavailable, header, nil)
}

// fail answers with a status that promises nothing.
func (s *session) fail(status int, reason call.Reason) {
	header := http.Header{}
	platform.EchoID(header, s.headers.ID())
	s.ended(status, call.Unknown, reason)
	_ = s.reply.Send(status, header, nil)
}

// ended reports how the request ended.
func (s *session) ended(status int, outcome call.Outcome, reason call.Reason) {
	now := s.in.clock.Now()
	elapsed := now.Sub(s.received)
	for _, a := range s.live {
		b := a.peer.Beacon()
		s.trail = append(s.trail, AttemptRecord{
			Host: b.Host, Upstream: b.Upstream, Reason: call.ReasonUnfinished, Hedge: a.hedge,
			Offset: a.started.Sub(s.received), Elapsed: now.Sub(a.started),
		})
	}
	o := Observation{
		ID: s.headers.ID(), Service: s.service, Status: status, Outcome: outcome, Reason: reason,
		Attempts: s.arrivals, Picks: s.picks, Elapsed: elapsed, Trail: s.trail,
	}
	if s.table != nil {
		o.Revision = s.table.Revision()
	}
	if s.route != nil {
		o.Route, o.Late = s.route.Name, elapsed > s.objective()
	}
	s.in.observe(o)
}
