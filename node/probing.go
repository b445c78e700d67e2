package node

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/banyancross/banyancross/upstream"
)

// probeLook is the mean time between two looks whether a probe is due.
const probeLook = 200 * time.Millisecond

// probeUpstream probes the upstream beside this node within its budget.
func (n *Node) probeUpstream() error {
	prober := upstream.NewProber(n.gate)
	defer prober.Close()
	well := true
	for n.sleep(n.rng.jitter(probeLook)) {
		if !prober.Allow(n.clock.Now()) {
			continue
		}
		now := prober.Probe(n.context())
		if now != well {
			_ = level.Info(n.logger).Log("event", "probe", "well", now)
		}
		well = now
	}
	return nil
}
