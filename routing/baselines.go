package routing

import (
	"math/rand/v2"
	"sync"
	"time"
)

// noFeedback supplies the methods of a Policy that ignores attempts.
type noFeedback struct{}

// Started implements Policy.
func (noFeedback) Started(time.Time, string) {}

// Finished implements Policy.
func (noFeedback) Finished(time.Time, string, Result) {}

// Random chooses every candidate with the same probability.
type Random struct {
	noFeedback
	mu  sync.Mutex
	rng *rand.Rand
}

// NewRandom returns a Random policy that draws from rng.
func NewRandom(rng *rand.Rand) *Random { return &Random{rng: rng} }

// Choose implements Policy.
func (p *Random) Choose(_ time.Time, candidates []Candidate) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.IntN(len(candidates))
}

// RoundRobin chooses candidates in turn.
type RoundRobin struct {
	noFeedback
	mu   sync.Mutex
	next int
}

// NewRoundRobin returns a RoundRobin policy that begins at offset.
func NewRoundRobin(offset int) *RoundRobin { return &RoundRobin{next: offset} }

// Choose implements Policy.
func (p *RoundRobin) Choose(_ time.Time, candidates []Candidate) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next++
	return p.next % len(candidates)
}

// LeastReportedLoad chooses the candidate whose last reported load is the lowest.
type LeastReportedLoad struct {
	mu      sync.Mutex
	rng     *rand.Rand
	reports map[string]float64
}

// NewLeastReportedLoad returns a LeastReportedLoad policy that breaks ties from rng.
func NewLeastReportedLoad(rng *rand.Rand) *LeastReportedLoad {
	return &LeastReportedLoad{rng: rng, reports: map[string]float64{}}
}

// Choose implements Policy.
func (p *LeastReportedLoad) Choose(_ time.Time, candidates []Candidate) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return lowest(p.rng, candidates, func(c Candidate) float64 { return p.reports[c.name] })
}

// Started implements Policy.
func (p *LeastReportedLoad) Started(time.Time, string) {}

// Finished implements Policy.
func (p *LeastReportedLoad) Finished(_ time.Time, name string, result Result) {
	if result.Load == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reports[name] = float64(result.Load.Running + result.Load.Waiting)
}

// weightPerLoadUnit is the amount by which lbnamed, a load-balancing DNS server,
// raises a host's weight per answer: 10*(10-f) + 3*f. The factor f, from 0 to 10,
// says how much load counts against login sessions. Servers without logins have
// f = 10, hence 3*10 = 30.
const weightPerLoadUnit = 30.0

// Participation orders candidates by weight over participation factor and
// raises the weight of the chosen one, as the lbnamed README describes; the
// factor is the upstream's slots.
type Participation struct {
	mu      sync.Mutex
	rng     *rand.Rand
	weights map[string]float64
}

// NewParticipation returns a Participation policy that breaks ties from rng.
func NewParticipation(rng *rand.Rand) *Participation {
	return &Participation{rng: rng, weights: map[string]float64{}}
}

// Choose implements Policy.
func (p *Participation) Choose(_ time.Time, candidates []Candidate) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	chosen := lowest(p.rng, candidates, func(c Candidate) float64 {
		return p.weights[c.name] / float64(max(c.slots, 1))
	})
	p.weights[candidates[chosen].name] += weightPerLoadUnit
	return chosen
}

// Started implements Policy.
func (p *Participation) Started(time.Time, string) {}

// Finished implements Policy.
func (p *Participation) Finished(_ time.Time, name string, result Result) {
	if result.Load == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.weights[name] = weightPerLoadUnit * float64(result.Load.Running+result.Load.Waiting)
}

// lowest returns the index of the candidate with the least value, chosen at
// random among equals.
func lowest(rng *rand.Rand, candidates []Candidate, value func(Candidate) float64) int {
	best := 0
	bestValue := value(candidates[0])
	ties := 1
	for i := 1; i < len(candidates); i++ {
		v := value(candidates[i])
		switch {
		case v < bestValue:
			best, bestValue, ties = i, v, 1
		case v == bestValue:
			ties++
			if rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}
