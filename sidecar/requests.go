package sidecar

import (
	"net/http"

	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/ingress"
	"github.com/banyancross/banyancross/loglimit"
	"github.com/banyancross/banyancross/telemetry"
)

const (
	// failedLinesPerSecond and lateLinesPerSecond limit the log lines about
	// requests that failed and that were served late.
	failedLinesPerSecond = 100
	lateLinesPerSecond   = 20
	// servedSampling is how many requests served in time, or beyond a quota, yield one log
	// line.
	servedSampling = 100
	// sentPromiseLinesPerSecond and unsentPromiseLinesPerSecond limit the promise lines about
	// requests that were sent to gates and that were not. The first is several times the sends
	// a second that the slots of a gate and the callers of a node give.
	sentPromiseLinesPerSecond   = 1000
	unsentPromiseLinesPerSecond = 100
)

// requestLog logs failed and late requests, up to a rate, and a sample of the
// others.
type requestLog struct {
	sidecar *Sidecar
	failed  *rate.Limiter
	late    *rate.Limiter
	served  uint64
	omitted uint64
	// promises are the limits of promise lines, for requests that were sent and that were not.
	sentPromises, unsentPromises *loglimit.Limit
}

func newRequestLog(s *Sidecar) *requestLog {
	return &requestLog{
		sidecar: s, failed: rate.NewLimiter(failedLinesPerSecond, failedLinesPerSecond), late: rate.NewLimiter(lateLinesPerSecond, lateLinesPerSecond),
		sentPromises: loglimit.New(sentPromiseLinesPerSecond), unsentPromises: loglimit.New(unsentPromiseLinesPerSecond),
	}
}

// observe processes a request that has ended.
func (l *requestLog) observe(o ingress.Observation) {
	s := l.sidecar
	s.observe(o)
	l.logPromise(o)
	s.mu.Lock()
	class, write := "served", false
	now := s.clock.Now()
	switch {
	case o.Status == http.StatusTooManyRequests:
		// The node logs once a second what it refuses for quotas.
		class = "refused"
		l.served++
		write = l.served%servedSampling == 1
	case o.Outcome != call.Answered || o.Status >= 500:
		class, write = "failed", l.failed.AllowN(now, 1)
	case o.Late:
		class, write = "late", l.late.AllowN(now, 1)
	default:
		l.served++
		write = l.served%servedSampling == 1
	}
	omitted := l.omitted
	if write {
		l.omitted = 0
	} else {
		l.omitted++
	}
	s.mu.Unlock()
	if !write {
		return
	}
	fields := []any{
		"event", "request", "request", o.ID, "status", o.Status, "outcome", o.Outcome, "reason", o.Reason,
		"arrivals", o.Attempts, "picks", o.Picks, "idempotent", o.Idempotent, "class", class, "elapsed-ms", o.Elapsed.Milliseconds(),
		"trail", telemetry.NewTrail(o.Trail), "route", o.Route, "organisation", o.Organisation,
		"service", o.Service, "revision", o.Revision, "retry-denied", o.RetryDenied, "parent-retried", o.ParentRetried, "omitted", omitted,
	}
	if o.Reason == call.ReasonQuarantined {
		fields = append(fields, "fingerprint", FormatFingerprint(o.Fingerprint))
	}
	_ = level.Info(s.logger).Log(fields...)
}
