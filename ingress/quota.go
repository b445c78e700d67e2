package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/platform"
)

// The decisions in this file answer organisations whose callers send more than their
// quota: what lies beyond is answered before any work.

// Quota decides which requests are within the quotas of their organisations.
type Quota interface {
	// Admit takes a token for a request, if there is one.
	Admit(ctx context.Context, organisation string) QuotaDecision
	// Refund gives back the token of a request that no upstream ran; expires is that of its
	// decision.
	Refund(organisation string, expires time.Time)
}

// QuotaDecision is the decision on a request.
type QuotaDecision struct {
	Admitted bool
	// Beyond means that the request lies beyond the quota. A request that is neither admitted
	// nor beyond found nobody in time who could say so.
	Beyond bool
	// RetryAfter is the time in which tokens come for what was refused lately.
	RetryAfter time.Duration
	// Expires is the time until which the token of an admitted request may be given back.
	Expires time.Time
}

// WithQuota sets the quotas that all nodes share.
func WithQuota(q Quota) Option { return func(in *Ingress) { in.quota = q } }

// limited reports whether the request counts for a quota. Nested calls belong to a request
// that was admitted.
func (s *session) limited() bool {
	return s.in.quota != nil && s.depth == 0 && s.organisation != nil && s.organisation.Quota().Limited()
}

// withinQuota takes a token for the request. It answers the request and returns false if
// there is none.
func (s *session) withinQuota(ctx context.Context) bool {
	if !s.limited() {
		return true
	}
	d := s.in.quota.Admit(ctx, s.organisation.Name())
	switch {
	case d.Admitted:
		s.quotaExpires = d.Expires
		return true
	case ctx.Err() == context.Canceled:
		s.recordEnd(0, call.NotRun, call.ReasonCancelled)
		s.reply.Abort()
	case !d.Beyond:
		s.refuse(call.ReasonQuota)
	default:
		header := http.Header{}
		platform.SetRetryAfter(header, s.in.jittered(minRetryAfter, max(d.RetryAfter, retryAfterSpread)))
		s.answer(http.StatusTooManyRequests, call.NotRun, call.ReasonQuota, header)
	}
	return false
}

// refundQuota gives the token of the request back if no upstream ran the request.
func (s *session) refundQuota() {
	if s.limited() && s.attempts == 0 && !s.outcomeUnknown {
		s.in.quota.Refund(s.organisation.Name(), s.quotaExpires)
	}
}
