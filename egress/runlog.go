package egress

import (
	"time"

	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/hop"
)

// runLinesPerSecond bounds the rate and the burst of log lines about runs.
const runLinesPerSecond = 60

// runLog limits the log lines about runs that are not idempotent or ended without
// an answer. If their entry node fails, these lines are the only record of them.
type runLog struct {
	limit   *rate.Limiter
	omitted uint64
}

func newRunLog() runLog { return runLog{limit: rate.NewLimiter(runLinesPerSecond, runLinesPerSecond)} }

// logRun logs the end of a run that is not idempotent or got no answer.
func (g *Gate) logRun(meta hop.Meta, answer *Answer, elapsed time.Duration) {
	if meta.Idempotent && answer.Meta.Outcome == call.Answered {
		return
	}
	now := g.clock.Now()
	g.mu.Lock()
	if !g.runLog.limit.AllowN(now, 1) {
		g.runLog.omitted++
		g.mu.Unlock()
		return
	}
	omitted := g.runLog.omitted
	g.runLog.omitted = 0
	g.mu.Unlock()
	status := 0
	if answer.Response != nil {
		status = answer.Response.Status
	}
	_ = level.Info(g.logger).Log("event", "run", "request", meta.ID, "route", meta.Route, "upstream", meta.Upstream,
		"entry", meta.EntryHost, "idempotent", meta.Idempotent, "outcome", answer.Meta.Outcome, "reason", answer.Meta.Reason,
		"status", status, "took-ms", elapsed.Milliseconds(), "left-ms", meta.Remaining.Milliseconds(), "omitted", omitted)
}
