package sidecar

import (
	"time"

	"github.com/go-kit/log/level"
)

// gaugeInterval is the pause between two updates of the gauges.
const gaugeInterval = time.Second

// updateGauges updates the gauges of the process periodically.
func (s *Sidecar) updateGauges() error {
	for round := 1; s.sleep(gaugeInterval); round++ {
		s.updateTransferGauges()
		s.updateLeavingGauges()
		s.logRetryUsage()
		s.quotas.report()
		s.logLevels()
		if round%transferLogRounds == 0 {
			s.logTransfers()
		}
		silent := 0
		peers := s.view.Peers()
		for _, peer := range peers {
			if peer.Silent() {
				silent++
			}
		}
		load := s.gate.Load()
		cold := 0.0
		if load.Cold {
			cold = 1
		}
		if room, limited := s.gate.WarmupRoom(); limited {
			s.gauge("upstream_warmup_room", float64(room))
		}
		ready := 0.0
		if s.Ready() {
			ready = 1
		}
		for name, value := range map[string]float64{
			"ready":                        ready,
			"configuration_revision":       float64(s.Revision()),
			"evacuated_failure_domains":    float64(len(s.knownEvacuation().Domains())),
			"nodes":                        float64(len(peers)),
			"nodes_silent":                 float64(silent),
			"store_calls":                  float64(s.store.Calls()),
			"store_timeline":               float64(s.store.Timeline()),
			"requests_in_progress":         float64(s.callerServer.ActiveRequests()),
			"upstream_running":             float64(load.Running),
			"upstream_waiting":             float64(load.Waiting),
			"upstream_limit":               float64(load.Limit),
			"upstream_slowdown":            float64(load.Slowdown),
			"upstream_probes":              float64(s.gate.Probes()),
			"upstream_responses_discarded": float64(s.gate.Discarded()),
			"upstream_connections_opened":  float64(s.gate.ConnectionsOpened()),
			"upstream_connections_in_use":  float64(s.gate.ConnectionsInUse()),
			"node_connections_in_use":      float64(s.sender.usage.InUse()),
			"upstream_cold":                cold,
			"blocked_requests":             float64(s.blocklist.BlockedRequests()),
			"upstream_nested_excess":       float64(load.NestedExcess),
		} {
			s.gauge(name, value)
		}
	}
	return nil
}

// logRetryUsage logs the use of the retry budgets that changed since the latest call.
func (s *Sidecar) logRetryUsage() {
	for _, u := range s.ingress.RetryUsage() {
		_ = level.Info(s.logger).Log("event", "retry-budget", "service", u.Service, "nodes", u.Nodes, "requests", u.Requests,
			"retries", u.Retries, "granted", u.Granted, "denied", u.Denied, "refunded", u.Refunded, "nested", u.Nested,
			"uptime-ms", s.clock.Now().Sub(s.started).Milliseconds())
	}
}

// logLevels logs the levels of services that changed since the latest call.
func (s *Sidecar) logLevels() {
	for _, l := range s.ingress.LevelChanges() {
		_ = level.Info(s.logger).Log("event", "level", "service", l.Service, "excess", l.Excess,
			"reports", l.Reports, "relayed", l.Relayed, "age-ms", l.Age.Milliseconds())
	}
}
