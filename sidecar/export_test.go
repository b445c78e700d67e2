package sidecar

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/http1"
	"github.com/banyancross/banyancross/ingress"
	"github.com/banyancross/banyancross/locality"
	"github.com/banyancross/banyancross/platform"
)

// UntilSlot exports untilSlot.
func UntilSlot(now time.Time, slot, nodes int) time.Duration { return untilSlot(now, slot, nodes) }

// Blocks reports whether the blocklist blocks a request of callers of this node's service.
func (s *Sidecar) Blocks(method, host, target, content string) bool {
	return s.BlocksFrom(s.service(), method, host, target, content)
}

// BlocksFrom is Blocks for callers of a service.
func (s *Sidecar) BlocksFrom(callerService, method, host, target, content string) bool {
	return s.blocklist.Blocked(fingerprint(callerService, method, host, target, content))
}

// StoreTrial exports storeTrial, for a request of callers of this node's service.
func (s *Sidecar) StoreTrial(method, host, target, content string) bool {
	return s.storeTrial(context.Background(), fingerprint(s.service(), method, host, target, content))
}

// ReadFleet reads the fleet's entries as at regular intervals.
func (s *Sidecar) ReadFleet() error {
	lease := platform.Lease{}
	return s.readFleet(&lease, false)
}

func fingerprint(callerService, method, host, target, content string) uint64 {
	return ingress.Fingerprint(&http1.Request{Method: method, Host: host, Target: target, Content: []byte(content)}, callerService, "")
}

// SetEstimate sets the gate's saturation estimate for a service.
func (s *Sidecar) SetEstimate(service string, estimate egress.SaturationEstimate) {
	s.gate.RestoreEstimate(service, estimate)
}

// Limit returns the gate's concurrency limit.
func (s *Sidecar) Limit() int { return int(s.gate.Load().Limit) }

// Watches reports whether the node watches the store.
func (s *Sidecar) Watches() bool { return s.shouldWatch() }

// Nodes returns the number of nodes that this one knows and that are not silent,
// including itself.
func (s *Sidecar) Nodes() int { return len(s.view.Live("")) }

// AnnouncedInterval returns the interval that the latest beacon of another node
// announces.
func (s *Sidecar) AnnouncedInterval(host string) time.Duration {
	peer, ok := s.view.Peer(host)
	if !ok {
		return time.Hour
	}
	return peer.Beacon().Interval
}

// Evacuated returns the evacuated failure domains that the node knows.
func (s *Sidecar) Evacuated() []string { return s.knownEvacuation().Domains() }

// Registered reports whether the node's entry is in the store.
func (s *Sidecar) Registered() bool { return s.registered.Load() }

// Settled reports whether the node has joined the fleet.
func (s *Sidecar) Settled() bool { return s.settled.Load() }

// Incarnation returns the node's incarnation.
func (s *Sidecar) Incarnation() int64 { return s.incarnation.Load() }

// CountBeacons counts beacons to failure domains, by the way to them, and returns the bytes
// to other failure domains and to other regions.
func CountBeacons(ways map[string]locality.Way, bytes int) (domains, regions int64) {
	t := transfers{way: func(failureDomain string) locality.Way { return ways[failureDomain] }}
	for failureDomain := range ways {
		t.add(failureDomain, transferBeacons, bytes)
	}
	return t.bytes[transferBeacons].Load(), t.regionBytes[transferBeacons].Load()
}

// Observe returns a function that logs the end of a request at a time.
func Observe(clock Clock, logger log.Logger) func(ingress.Observation) {
	return newRequestLog(&Sidecar{clock: clock, logger: logger, evidenceLogger: logger, observe: func(ingress.Observation) {}}).observe
}
