package egress

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/http1"
	"github.com/banyancross/banyancross/platform"
)

const (
	// runLinesPerSecond bounds the rate and the burst of log lines about idempotent runs
	// without an answer.
	runLinesPerSecond = 60
	// unsafeRunLinesPerSecond bounds those about runs that are not idempotent. It is several
	// times the calls a second that the slots of a gate and the callers of a node give.
	unsafeRunLinesPerSecond = 1000
	// discardLinesPerSecond bounds the rate and the burst of log lines about discarded
	// responses.
	discardLinesPerSecond = 20
)

// allowRunLine reports whether a line about a run may be written, and how many of its kind
// were omitted. Runs that are not idempotent have a limit of their own, so that others don't
// hide them: if the entry node fails, these lines are the only record of them.
func (g *Gate) allowRunLine(idempotent bool) (omitted uint64, ok bool) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if idempotent {
		return g.unansweredLog.Allow(now, 1)
	}
	return g.unsafeRunLog.Allow(now, 1)
}

// logRun logs the end of a run that is not idempotent or got no answer.
func (g *Gate) logRun(meta hop.Meta, answer *Answer, elapsed time.Duration) {
	if meta.Idempotent && answer.Meta.Outcome == call.Answered {
		return
	}
	omitted, ok := g.allowRunLine(meta.Idempotent)
	if !ok {
		return
	}
	fields := []any{
		"event", "run", "request", meta.ID, "status", answer.received.status,
		"outcome", answer.Meta.Outcome, "reason", answer.Meta.Reason,
		"connection", answer.received.connection, "exchange", answer.received.exchange, "stamped", answer.received.stamped,
		"upstream", meta.Upstream, "entry", meta.EntryHost, "route", meta.Route, "idempotent", meta.Idempotent,
		"took-ms", elapsed.Milliseconds(), "left-ms", meta.Remaining.Milliseconds(), "omitted", omitted,
	}
	if answer.err != nil {
		fields = append(fields, "err", answer.err)
	}
	logger := g.evidenceLogger
	if meta.Idempotent {
		logger = g.logger
	}
	_ = level.Info(logger).Log(fields...)
}

// logBrokenResponse logs that the body of an upstream's response could not be read to
// its end.
func (g *Gate) logBrokenResponse(meta hop.Meta, response *http1.Response, err error) {
	omitted, ok := g.allowRunLine(meta.Idempotent)
	if !ok {
		return
	}
	_ = level.Info(g.logger).Log("event", "response-broken", "request", meta.ID, "status", response.Status,
		"connection", response.Connection(), "exchange", response.Exchange(), "upstream", meta.Upstream, "entry", meta.EntryHost,
		"route", meta.Route, "length", response.Length, "err", err, "omitted", omitted)
}

// surplusObserver returns a function that counts and logs the surplus responses of an
// upstream.
func (g *Gate) surplusObserver(instance string) func(http1.Surplus) {
	return func(s http1.Surplus) {
		now := g.clock.Now()
		g.mu.Lock()
		g.discarded++
		omitted, ok := g.discardLog.Allow(now, 1)
		g.mu.Unlock()
		if !ok {
			return
		}
		waiting := ""
		if s.Request != nil {
			waiting = s.Request.ID
		}
		response := platform.ReadResponseHeaders(s.Status, s.Header)
		_ = level.Info(g.evidenceLogger).Log("event", "response-discarded", "response-to", truncated(response.ID()),
			"connection", s.Connection, "exchange", s.Exchange, "stamped", response.Stamped(), "rejected", response.NotRun(), "status", s.Status,
			"request", waiting, "unread", s.Request == nil, "upstream", instance, "omitted", omitted)
	}
}

// maxLoggedID bounds an ID of an upstream's response in a log line, in bytes.
const maxLoggedID = 128

func truncated(id string) string { return id[:min(len(id), maxLoggedID)] }

// Discarded returns the number of responses discarded so far because they belonged to no
// request in progress.
func (g *Gate) Discarded() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.discarded
}

// ConnectionsInUse returns how many connections carry a call, or a response that has not been
// released. Health checks count if they share the connections of the calls.
func (g *Gate) ConnectionsInUse() int64 { return g.usage.InUse() }

// ConnectionsOpened returns the number of connections opened to upstreams so far.
func (g *Gate) ConnectionsOpened() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pool == nil {
		return g.openedEarlier
	}
	return g.openedEarlier + g.pool.Opened()
}
