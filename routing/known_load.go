package routing

import "time"

// minUnreachablePenalty is the penalty for failed connections above which an upstream
// counts as one that takes no calls: for one half-life after a failure.
const minUnreachablePenalty = connFailureCost / 2

// KnownLoad is what a node knows of the load of an upstream.
type KnownLoad struct {
	// Calls is the number of calls that run and wait there, and Limit the number that may
	// run, 0 while most calls fail or a connection failed lately.
	Calls, Limit float64
	// Age is the age of the report, or of the latest one of the group if the upstream
	// did not report lately.
	Age time.Duration
}

// Loads returns what is known of the load of the candidates.
func (p *LeastCost) Loads(now time.Time, candidates []Candidate) []KnownLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	loads := make([]KnownLoad, len(candidates))
	for i, candidate := range candidates {
		loads[i] = p.knownLoad(now, candidate)
	}
	return loads
}

// knownLoad returns what is known of the load of a candidate; p.mu must be held.
func (p *LeastCost) knownLoad(now time.Time, candidate Candidate) KnownLoad {
	known := KnownLoad{Limit: float64(max(candidate.slots, 1)), Age: groupLifetime}
	u := p.upstreams[candidate.name]
	if u != nil {
		known.Calls = float64(u.inFlight)
		if u.decayedPenalty(now) > minUnreachablePenalty {
			known.Limit = 0
			return known
		}
		if age := now.Sub(u.reportedAt); age < loadLifetime && u.load.Limit > 0 {
			known.Calls = max(known.Calls, float64(u.load.Running+u.load.Waiting))
			known.Limit, known.Age = float64(u.load.Limit), age
			if u.load.Failing {
				known.Limit = 0
			}
			return known
		}
	}
	if g := p.groups[candidate.group]; g != nil && now.Sub(g.reportedAt) <= groupLifetime {
		known.Calls, known.Age = max(known.Calls, g.mean*known.Limit), now.Sub(g.reportedAt)
	}
	return known
}
