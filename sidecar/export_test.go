package sidecar

import (
	"time"

	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/http1"
	"github.com/banyancross/banyancross/ingress"
)

// UntilSlot is untilSlot for tests.
func UntilSlot(now time.Time, place, nodes int) time.Duration { return untilSlot(now, place, nodes) }

// Holds tells whether a request is held.
func (s *Sidecar) Holds(method, host, target, content string) bool {
	fingerprint := ingress.Fingerprint(&http1.Request{Method: method, Host: host, Target: target, Content: []byte(content)})
	return s.holds.Blocked(s.clock.Now(), fingerprint)
}

// Find makes the gate find something about the upstreams of a service.
func (s *Sidecar) Find(service string, f egress.SaturationEstimate) {
	s.gate.RestoreEstimate(service, f)
}

// Limit returns how many calls the gate lets run.
func (s *Sidecar) Limit() int { return int(s.gate.Load().Limit) }

// Watches tells whether the node watches the store.
func (s *Sidecar) Watches() bool { return s.shouldWatch() }
