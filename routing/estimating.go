package routing

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/banyancross/banyancross/call"
)

const (
	// choices is how many candidates are compared for each call.
	choices = 3
	// initialLatency stands for an upstream that was never observed.
	initialLatency = 5 * time.Millisecond
	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.2
	// forgetting is the time constant with which estimates of an idle
	// upstream return to what is usual, so that it is tried again.
	forgetting = 2 * time.Second
	// reportLifetime is the time constant with which a load report fades.
	reportLifetime = 100 * time.Millisecond
	// failurePenalty is the cost of an attempt that is certain to fail.
	failurePenalty = 500 * time.Millisecond
	// failureWeight is the weight of a new sample in the failure share.
	failureWeight = 0.2
)

// Estimating compares a few candidates by the time each is expected to take,
// which is the power of d choices (Mitzenmacher, 2001) on age-discounted
// estimates with peak-sensitive moving averages.
type Estimating struct {
	mu    sync.Mutex
	rng   *rand.Rand
	stats map[string]*estimate
	order []int
}

// estimate is what is known about one upstream.
type estimate struct {
	inFlight   int
	startedSum time.Duration // sum of start times of calls in flight since epoch
	epoch      time.Time
	latency    float64 // seconds
	failures   float64 // share
	observed   time.Time
	reported   float64
	limit      float64
	reportedAt time.Time
	sinceThen  int // own calls started minus finished since the report
}

// NewEstimating returns an Estimating policy that samples from rng.
func NewEstimating(rng *rand.Rand) *Estimating {
	return &Estimating{rng: rng, stats: map[string]*estimate{}}
}

// Choose implements Policy.
func (p *Estimating) Choose(now time.Time, candidates []Candidate) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shuffle(len(candidates))
	best := -1
	var bestCost float64
	for _, i := range p.order[:p.compared(candidates)] {
		cost := p.cost(now, candidates[i])
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// compared moves local candidates to the front of the order and returns how
// many are compared: all local ones up to choices, and one remote one.
func (p *Estimating) compared(candidates []Candidate) int {
	local := 0
	for at, i := range p.order {
		if !candidates[i].remote {
			p.order[local], p.order[at] = p.order[at], p.order[local]
			local++
		}
	}
	return min(max(min(local, choices-1)+1, choices), len(candidates))
}

func (p *Estimating) shuffle(n int) {
	p.order = p.order[:0]
	for i := range n {
		p.order = append(p.order, i)
	}
	p.rng.Shuffle(n, func(i, j int) { p.order[i], p.order[j] = p.order[j], p.order[i] })
}

// cost returns the expected time to an answer in seconds.
func (p *Estimating) cost(now time.Time, c Candidate) float64 {
	e, ok := p.stats[c.name]
	if !ok {
		return c.link.Seconds() + initialLatency.Seconds()
	}
	idle := math.Exp(-now.Sub(e.observed).Seconds() / forgetting.Seconds())
	usual := initialLatency.Seconds()
	latency := usual + (e.latency-usual)*idle
	latency = max(latency, e.meanAge(now).Seconds())
	failures := e.failures * idle
	load := e.load(now)
	limit := e.limit
	if limit < 1 {
		limit = float64(max(c.slots, 1))
	}
	// A server slows before its slots are full, and calls beyond the limit wait.
	utilisation := (load + 1) / limit
	wait := latency * max(0, utilisation-1)
	busy := latency * (1 + 0.5*min(utilisation, 1))
	return c.link.Seconds() + busy + wait + failures*failurePenalty.Seconds()
}

// load returns the expected number of calls at the upstream's gate.
func (e *estimate) load(now time.Time) float64 {
	age := now.Sub(e.reportedAt)
	fresh := math.Exp(-age.Seconds() / reportLifetime.Seconds())
	seen := max(0, e.reported+float64(e.sinceThen))
	return max(float64(e.inFlight), seen*fresh+float64(e.inFlight)*(1-fresh))
}

// meanAge returns the mean age of the calls in flight, which shows a stalled
// upstream before any of its answers does.
func (e *estimate) meanAge(now time.Time) time.Duration {
	if e.inFlight == 0 {
		return 0
	}
	return now.Sub(e.epoch) - e.startedSum/time.Duration(e.inFlight)
}

// Started implements Policy.
func (p *Estimating) Started(now time.Time, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.stats[name]
	if !ok {
		e = &estimate{epoch: now, latency: initialLatency.Seconds(), observed: now}
		p.stats[name] = e
	}
	e.inFlight++
	e.sinceThen++
	e.startedSum += now.Sub(e.epoch)
}

// Finished implements Policy.
func (p *Estimating) Finished(now time.Time, name string, result Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.stats[name]
	if !ok {
		return
	}
	e.inFlight--
	e.sinceThen--
	e.startedSum -= now.Add(-result.Elapsed).Sub(e.epoch)
	if result.Reason == call.ReasonCancelled {
		return
	}
	e.observe(now, result)
}

// observe updates the averages; a failure says nothing about latency, or a
// server that rejects everything quickly would attract calls.
func (e *estimate) observe(now time.Time, result Result) {
	failed := 0.0
	if result.Failed || result.Outcome != call.Answered {
		failed = 1
	}
	e.failures += failureWeight * (failed - e.failures)
	e.observed = now
	if failed == 0 {
		e.sample(result.Elapsed.Seconds())
	}
	if result.Load != nil {
		e.reported = float64(result.Load.Running + result.Load.Waiting)
		e.limit = float64(result.Load.Limit)
		e.reportedAt = now
		e.sinceThen = 0
	}
}

// sample moves the average; a rise counts twice as much as a fall.
func (e *estimate) sample(latency float64) {
	weight := latencyWeight
	if latency > e.latency {
		weight *= 2
	}
	e.latency += weight * (latency - e.latency)
}
