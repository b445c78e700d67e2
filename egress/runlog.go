package egress

import (
	"time"

	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/http1"
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

// allowRunLine reports whether another line about runs may be written, and how many were
// omitted since the one before it.
func (g *Gate) allowRunLine() (omitted uint64, ok bool) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.runLog.limit.AllowN(now, 1) {
		g.runLog.omitted++
		return 0, false
	}
	omitted, g.runLog.omitted = g.runLog.omitted, 0
	return omitted, true
}

// logRun logs the end of a run that is not idempotent or got no answer.
func (g *Gate) logRun(meta hop.Meta, answer *Answer, elapsed time.Duration) {
	if meta.Idempotent && answer.Meta.Outcome == call.Answered {
		return
	}
	omitted, ok := g.allowRunLine()
	if !ok {
		return
	}
	status := 0
	if answer.Response != nil {
		status = answer.Response.Status
	}
	fields := []any{
		"event", "run", "request", meta.ID, "route", meta.Route, "upstream", meta.Upstream,
		"entry", meta.EntryHost, "idempotent", meta.Idempotent, "outcome", answer.Meta.Outcome, "reason", answer.Meta.Reason,
		"status", status, "took-ms", elapsed.Milliseconds(), "left-ms", meta.Remaining.Milliseconds(), "omitted", omitted,
	}
	if answer.err != nil {
		fields = append(fields, "err", answer.err)
	}
	_ = level.Info(g.logger).Log(fields...)
}

// logBrokenResponse logs that the body of an upstream's response could not be read to
// its end.
func (g *Gate) logBrokenResponse(meta hop.Meta, response *http1.Response, err error) {
	omitted, ok := g.allowRunLine()
	if !ok {
		return
	}
	_ = level.Info(g.logger).Log("event", "response-broken", "request", meta.ID, "route", meta.Route, "upstream", meta.Upstream,
		"entry", meta.EntryHost, "status", response.Status, "length", response.Length, "err", err, "omitted", omitted)
}
