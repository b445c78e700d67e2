package ingress

import (
	"github.com/banyancross/banyancross/admission"
	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/fleet"
)

// recordLoad records a load report for the levels of services. What is free in an evacuated
// failure domain is no room.
func (in *Ingress) recordLoad(b *fleet.Beacon, load call.Load) {
	if in.evacuation().Has(b.FailureDomain) {
		return
	}
	in.levels.Report(in.clock.Now(), b.Service, fleet.UpstreamKey(b), load)
}

// NestedExcess returns the levels for nested calls by the reports that this node got
// itself, by service, nil without overload.
func (in *Ingress) NestedExcess() map[string]float32 { return in.levels.NestedExcess(in.clock.Now()) }

// LevelChanges returns the levels of services that began, changed much or ended since the
// latest call.
func (in *Ingress) LevelChanges() []admission.Level { return in.levels.TakeChanges(in.clock.Now()) }

// withinLevel reports whether the services that a run of the request calls have room for
// that. A nested call belongs to a run that was admitted.
func (s *session) withinLevel() bool {
	if s.depth > 0 {
		return true
	}
	early := s.elapsedBefore > 0 && s.elapsedBefore < minRetryAfter
	_, ok := s.in.levels.Admit(s.received, admission.Demand{
		Nested: s.in.nestedCalls.measured(nestedKey{s.route.Name, s.service}), Priority: s.priority(),
		Organisation: s.organisationName(),
		Late:         early || s.tooLate(s.received), Draw: s.in.draw(),
	})
	return ok
}

// draw returns a random number from 0 to 1.
func (in *Ingress) draw() float64 {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.rng.Float64()
}
