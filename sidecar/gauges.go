package sidecar

import "time"

// gaugeInterval is the pause between two updates of the gauges.
const gaugeInterval = time.Second

// updateGauges updates the gauges of the process periodically.
func (s *Sidecar) updateGauges() error {
	for round := 1; s.sleep(gaugeInterval); round++ {
		s.updateTransferGauges()
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
		ready := 0.0
		if s.Ready() {
			ready = 1
		}
		for name, value := range map[string]float64{
			"ready":                  ready,
			"configuration_revision": float64(s.Revision()),
			"nodes":                  float64(len(peers)),
			"nodes_silent":           float64(silent),
			"store_calls":            float64(s.store.Calls()),
			"requests_in_progress":   float64(s.callerServer.ActiveRequests()),
			"upstream_running":       float64(load.Running),
			"upstream_waiting":       float64(load.Waiting),
			"upstream_limit":         float64(load.Limit),
			"upstream_slowdown":      float64(load.Slowdown),
			"upstream_probes":        float64(s.gate.Probes()),
		} {
			s.gauge(name, value)
		}
	}
	return nil
}
