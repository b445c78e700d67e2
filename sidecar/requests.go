package sidecar

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/ingress"
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
		"elapsed-ms", milliseconds(o.Elapsed), "arrivals", o.Attempts, "picks", o.Picks, "trail", describe(o.Trail),
		"omitted", omitted)
}

// describe writes the attempts of a request: when, where to, and how each ended
// with the load reported.
func describe(trail []ingress.Step) string {
	steps := make([]string, 0, len(trail))
	for _, step := range trail {
		kind := ""
		if step.Hedge {
			kind = " hedge"
		}
		steps = append(steps, fmt.Sprintf("+%dms %s/%s%s %s %s after %dms, %d of %d running, %d waiting, slowdown %.1f",
			milliseconds(step.At), step.Host, step.Upstream, kind, step.Outcome, step.Reason, milliseconds(step.Took),
			step.Load.Running, step.Load.Limit, step.Load.Waiting, step.Load.Slowdown))
	}
	return strings.Join(steps, "; ")
}

func milliseconds(d time.Duration) int64 { return d.Milliseconds() }
