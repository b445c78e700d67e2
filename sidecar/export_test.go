package sidecar

import (
	"time"

	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/http1"
	"github.com/banyancross/banyancross/ingress"
)

// UntilSlot exports untilSlot.
func UntilSlot(now time.Time, slot, nodes int) time.Duration { return untilSlot(now, slot, nodes) }

// Blocks reports whether the blocklist blocks a request.
func (s *Sidecar) Blocks(method, host, target, content string) bool {
	fingerprint := ingress.Fingerprint(&http1.Request{Method: method, Host: host, Target: target, Content: []byte(content)})
	return s.blocklist.Blocked(s.clock.Now(), fingerprint)
}

// SetEstimate sets the gate's saturation estimate for a service.
func (s *Sidecar) SetEstimate(service string, estimate egress.SaturationEstimate) {
	s.gate.RestoreEstimate(service, estimate)
}

// Limit returns the gate's concurrency limit.
func (s *Sidecar) Limit() int { return int(s.gate.Load().Limit) }

// Watches reports whether the node watches the store.
func (s *Sidecar) Watches() bool { return s.shouldWatch() }
