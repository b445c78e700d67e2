package sidecar

import (
	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/ingress"
	"github.com/banyancross/banyancross/telemetry"
)

const (
	// failedLines and lateLines bound the lines a second about requests that
	// were not served, and that were served late.
	failedLines = 100
	lateLines   = 20
	// servedSample is one in how many requests served in time gets a line.
	servedSample = 100
)

// requestLog writes a line about each request that a caller may complain of.
type requestLog struct {
	sidecar *Sidecar
	failed  *rate.Limiter
	late    *rate.Limiter
	served  uint64
	omitted uint64
}

func newRequestLog(s *Sidecar) *requestLog {
	return &requestLog{
		sidecar: s, failed: rate.NewLimiter(failedLines, failedLines), late: rate.NewLimiter(lateLines, lateLines),
	}
}

// observe takes a request that has ended.
func (l *requestLog) observe(o ingress.Observation) {
	s := l.sidecar
	s.observe(o)
	s.mu.Lock()
	class, write := "served", false
	now := s.clock.Now()
	switch {
	case o.Outcome != call.Answered || o.Status >= 500:
		class, write = "failed", l.failed.AllowN(now, 1)
	case o.Late:
		class, write = "late", l.late.AllowN(now, 1)
	default:
		l.served++
		write = l.served%servedSample == 1
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
	_ = level.Info(s.logger).Log("event", "request", "class", class, "request", o.ID, "route", o.Route,
		"service", o.Service, "revision", o.Revision, "status", o.Status, "outcome", o.Outcome, "reason", o.Reason,
		"elapsed-ms", o.Elapsed.Milliseconds(), "arrivals", o.Attempts, "picks", o.Picks,
		"trail", telemetry.NewTrail(o.Trail), "omitted", omitted)
}
