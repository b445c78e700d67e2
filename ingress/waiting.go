package ingress

import "time"

// The decisions in this file answer parents that hold a slot while their nested calls
// wait for one: a nested call that is refused wastes the run of its parent, so it
// waits as long as it can still be answered, and a request of a caller only as long as
// it would be in time.

const (
	// maxWaitShare and minWaitShare bound the wait limit at a gate, as shares of
	// the latency objective. The maximum leaves as much time for the run as for
	// the wait; within the minimum, one of an upstream's many runs ends.
	maxWaitShare = 0.4
	minWaitShare = 0.15
	// remainingWaitShare bounds the wait limit at a gate, as a share of the time left.
	remainingWaitShare = 0.5
)

// maxWait returns how long the request may be queued at a gate: a nested call for
// half of the time left, another request for the time that the mean duration of an
// attempt leaves of the latency objective, within minWaitShare and maxWaitShare of
// the objective.
func (s *session) maxWait(now time.Time, remaining time.Duration) time.Duration {
	limit := time.Duration(remainingWaitShare * float64(remaining))
	if s.depth > 0 {
		return limit
	}
	objective := float64(s.objective())
	slack := s.objectiveRemaining(now) - s.in.meanTime(s.route.Name)
	wait := min(max(slack, time.Duration(minWaitShare*objective)), time.Duration(maxWaitShare*objective))
	return min(wait, limit)
}

// objectiveRemaining returns the time left until the latency objective, which counts from
// the caller's first attempt; it is negative afterwards.
func (s *session) objectiveRemaining(now time.Time) time.Duration {
	return s.objective() - s.elapsedBefore - now.Sub(s.received)
}

// tooLate reports whether the request cannot be in time. The default objective bounds
// waits only: late answers of a route without an objective are as good.
func (s *session) tooLate(now time.Time) bool {
	return s.route.Objective > 0 && s.objectiveRemaining(now) < s.in.meanTime(s.route.Name)
}
