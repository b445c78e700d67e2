package sidecar

import (
	"fmt"

	"github.com/go-kit/log/level"

	"github.com/banyancross/banyancross/ingress"
	"github.com/banyancross/banyancross/platform"
)

// logPromise logs each send of a request that is not idempotent and was answered with a
// status that promises that it has not run.
func (l *requestLog) logPromise(o ingress.Observation) {
	if o.Idempotent || !platform.PromisesNoRun(o.Status) {
		return
	}
	s := l.sidecar
	limit := l.sentPromises
	if len(o.Trail) == 0 {
		limit = l.unsentPromises
	}
	s.mu.Lock()
	omitted, ok := limit.Allow(s.clock.Now(), max(1, len(o.Trail)))
	s.mu.Unlock()
	if !ok {
		return
	}
	if len(o.Trail) == 0 {
		_ = level.Info(s.evidenceLogger).Log("event", "promise", "request", o.ID, "status", o.Status, "send", 0, "reason", o.Reason,
			"route", o.Route, "organisation", o.Organisation, "omitted", omitted)
		return
	}
	for i, a := range o.Trail {
		// The numbers of connection and exchange are one value, for readers that keep only the
		// first 200 characters.
		_ = level.Info(s.evidenceLogger).Log("event", "promise", "request", o.ID, "status", o.Status, "send", i+1, "gate", a.Host, "reason", a.Reason,
			"via", fmt.Sprintf("%d/%d", a.Connection, a.Exchange), "upstream-status", a.UpstreamStatus, "outcome", a.Outcome,
			"sends", len(o.Trail), "upstream", a.Upstream, "route", o.Route, "omitted", omitted)
		omitted = 0
	}
}
