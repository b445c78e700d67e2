package routing

import "time"

// Cost is the cost of a candidate by part, in shares of an upstream's capacity.
type Cost struct {
	// Way is the cost of the way to another failure domain.
	Way float64 `json:"way"`
	// Load is the cost of the calls that run and wait at the upstream.
	Load float64 `json:"load"`
	// Slowdown is the cost of a host that works slower than normally.
	Slowdown float64 `json:"slowdown"`
	// Cold is the cost of an upstream that tolerates only a low rate of calls.
	Cold float64 `json:"cold"`
	// Failing is the cost of an upstream that mostly fails.
	Failing float64 `json:"failing"`
	// Connections is the cost of connections that failed lately.
	Connections float64 `json:"connections"`
}

// Total returns the sum of the parts.
func (c Cost) Total() float64 {
	return c.Way + c.Load + c.Slowdown + c.Cold + c.Failing + c.Connections
}

// Costs returns the costs by which Choose compares the candidates, without the random part
// of up to maxJitter that it adds to each, and changes nothing.
func (p *LeastCost) Costs(now time.Time, candidates []Candidate) []Cost {
	p.mu.Lock()
	defer p.mu.Unlock()
	costs := make([]Cost, len(candidates))
	for i, candidate := range candidates {
		costs[i] = p.parts(now, candidate)
	}
	return costs
}
