package telemetry

import (
	"strconv"

	"github.com/banyancross/banyancross/ingress"
)

// ObserveRequest counts a request that a sidecar has answered, and its attempts.
func (m *Metrics) ObserveRequest(o ingress.Observation) {
	scope := m.scope.Tagged(map[string]string{
		"service": o.Service, "outcome": o.Outcome.String(), "status": strconv.Itoa(o.Status),
	})
	scope.Counter("requests_total").Inc(1)
	m.scope.Tagged(map[string]string{"service": o.Service}).
		Histogram("request_seconds", latencyBuckets).RecordDuration(o.Elapsed)
	if o.Reason != "" {
		m.scope.Tagged(map[string]string{"service": o.Service, "reason": string(o.Reason)}).
			Counter("requests_unserved_total").Inc(1)
	}
	if o.Late {
		m.scope.Tagged(map[string]string{"service": o.Service}).Counter("requests_late_total").Inc(1)
	}
	for i, step := range o.Trail {
		m.scope.Tagged(map[string]string{
			"service": o.Service, "attempt": strconv.Itoa(i + 1), "outcome": step.Outcome.String(),
			"reason": string(step.Reason), "hedge": strconv.FormatBool(step.Hedge),
		}).Counter("attempts_total").Inc(1)
	}
}

// SetGauge sets a gauge of the process.
func (m *Metrics) SetGauge(name string, value float64) { m.scope.Gauge(name).Update(value) }
