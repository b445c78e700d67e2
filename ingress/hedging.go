package ingress

import (
	"context"
	"time"

	"github.com/banyancross/banyancross/call"
)

// The decisions in this file answer hosts that other work slows down in the middle of
// a run: when half of the latency objective has passed, the request is also sent to a
// second upstream.

const (
	// hedgeDelayShare is the share of the latency objective after which an
	// idempotent request is sent to a second upstream, which then has as much
	// time as the first had.
	hedgeDelayShare = 0.5
	// hedgeReserveShare is the share of the retry budget that hedges leave for
	// retries of failed attempts.
	hedgeReserveShare = 0.25
)

// hedgeTimer returns a channel that fires when the request should be hedged, nil
// if it must not be.
func (s *session) hedgeTimer() <-chan time.Time {
	if !s.route.Idempotent || s.request.Rest != nil || s.route.MaxAttempts < 2 {
		return nil
	}
	return s.in.clock.After(time.Duration(hedgeDelayShare * float64(s.objective())))
}

// rehedge sends the hedge to another upstream after the gate of the first declined
// it.
func (s *session) rehedge(ctx context.Context, r *result) {
	meta := r.answer.Meta
	if r.attempt.hedge && meta.Outcome == call.NotRun && !meta.ReachedUpstream {
		s.launchHedge(ctx)
	}
}

// launchHedge sends the request to a second upstream while the first attempt is
// still in flight.
func (s *session) launchHedge(ctx context.Context) {
	if len(s.inFlight) != 1 || s.attempts >= s.route.MaxAttempts {
		return
	}
	s.launch(ctx, true)
}
