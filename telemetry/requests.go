package telemetry

import (
	"strconv"

	"github.com/banyancross/banyancross/ingress"
	"github.com/banyancross/banyancross/platform"
)

// ObserveRequest counts a request that a sidecar answered, and its attempts.
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
	retries := m.scope.Tagged(map[string]string{"service": o.Service})
	if o.RetryDenied {
		retries.Counter("retries_denied_total").Inc(1)
	}
	if o.ParentRetried {
		retries.Counter("nested_retries_total").Inc(1)
	}
	for i, attempt := range o.Trail {
		if attempt.Leaving != "" {
			m.scope.Tagged(map[string]string{"way": attempt.Way.String(), "reason": string(attempt.Leaving)}).
				Counter("attempts_leaving_total").Inc(1)
		}
		if attempt.Retry {
			retries.Counter("retries_total").Inc(1)
		}
		m.scope.Tagged(map[string]string{
			"service": o.Service, "attempt": strconv.Itoa(i + 1), "outcome": attempt.Outcome.String(),
			"reason": string(attempt.Reason), "hedge": strconv.FormatBool(attempt.Hedge),
		}).Counter("attempts_total").Inc(1)
	}
}

// ObserveStoreCall counts a request to the platform's key-value store.
func (m *Metrics) ObserveStoreCall(e platform.Exchange) {
	outcome := "unanswered"
	if !e.Failed {
		outcome = strconv.Itoa(e.Status)
	}
	m.scope.Tagged(map[string]string{"operation": e.Operation, "outcome": outcome}).Counter("store_calls_total").Inc(1)
	m.scope.Tagged(map[string]string{"operation": e.Operation}).
		Histogram("store_call_seconds", latencyBuckets).RecordDuration(e.Duration)
}

// SetOrganisationGauge sets the named gauge of an organisation.
func (m *Metrics) SetOrganisationGauge(organisation, name string, value float64) {
	m.scope.Tagged(map[string]string{"organisation": organisation}).Gauge(name).Update(value)
}

// SetGauge sets the named gauge.
func (m *Metrics) SetGauge(name string, value float64) { m.scope.Gauge(name).Update(value) }
