package node

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/banyancross/banyancross/upstream"
)

// probeCheckInterval is the mean time between two checks whether the upstream
// must be probed.
const probeCheckInterval = 200 * time.Millisecond

// probeUpstream sends health probes to this node's upstream within the prober's
// budget, and logs each change of the result.
func (n *Node) probeUpstream() error {
	prober := upstream.NewProber(n.gate)
	defer prober.Close()
	healthy := true
	for n.sleep(n.rng.jitter(probeCheckInterval)) {
		if !prober.Allow(n.clock.Now()) {
			continue
		}
		result := prober.Probe(n.context())
		if result != healthy {
			_ = level.Info(n.logger).Log("event", "probe", "well", result)
		}
		healthy = result
	}
	return nil
}
