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
	// initialLatency stands for a service that was never observed.
	initialLatency = 5 * time.Millisecond
	// usualWeight is the weight of a new sample in the service's average, which
	// stands for an upstream of which nothing is known.
	usualWeight = 0.05
	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.1
	// forgetting is the time constant with which estimates of an idle
	// upstream return to what is usual, so that it is tried again.
	forgetting = 2 * time.Second
	// reportLifetime is the time constant with which a load report fades.
	reportLifetime = 100 * time.Millisecond
	// fullSlowing is how much longer a call takes when all slots are in use.
	fullSlowing = 0.5
	// failurePenalty is the cost of an attempt that is certain to fail.
	failurePenalty = 500 * time.Millisecond
	// failureWeight is the weight of a new sample in the failure share.
	failureWeight = 0.2
)

// LeastLatency compares a few candidates by the time each is expected to take,
// which is the power of d choices (Mitzenmacher, 2001) on age-discounted
// estimates with peak-sensitive moving averages.
type LeastLatency struct {
	mu    sync.Mutex
	rng   *rand.Rand
	stats map[string]*estimate
	order []int
	usual float64 // latency of the service's answers, in seconds
}

// estimate is what is known about one upstream.
type estimate struct {
	inFlight   int
	startedSum time.Duration // sum of start times of calls in flight since epoch
	epoch      time.Time
	link       time.Duration
	latency    float64 // of own calls without the link, in seconds
	failures   float64 // share
	observed   time.Time
	service    float64 // reported service time, in seconds
	reported   float64 // reported calls running and waiting
	limit      float64
	reportedAt time.Time
	sinceThen  int // own calls started minus finished since the report
}

// NewLeastLatency returns a LeastLatency policy that samples from rng.
func NewLeastLatency(rng *rand.Rand) *LeastLatency {
	return &LeastLatency{rng: rng, stats: map[string]*estimate{}, usual: initialLatency.Seconds()}
}

// Choose implements Policy.
func (p *LeastLatency) Choose(now time.Time, candidates []Candidate) int {
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
func (p *LeastLatency) compared(candidates []Candidate) int {
	local := 0
	for at, i := range p.order {
		if !candidates[i].remote {
			p.order[local], p.order[at] = p.order[at], p.order[local]
			local++
		}
	}
	return min(max(min(local, choices-1)+1, choices), len(candidates))
}

func (p *LeastLatency) shuffle(n int) {
	p.order = p.order[:0]
	for i := range n {
		p.order = append(p.order, i)
	}
	p.rng.Shuffle(n, func(i, j int) { p.order[i], p.order[j] = p.order[j], p.order[i] })
}

// cost returns the expected time to an answer in seconds.
func (p *LeastLatency) cost(now time.Time, c Candidate) float64 {
	e, ok := p.stats[c.name]
	if !ok {
		return c.link.Seconds() + p.usual
	}
	e.link = c.link
	limit := e.limit
	if limit < 1 {
		limit = float64(max(c.slots, 1))
	}
	idle := math.Exp(-now.Sub(e.observed).Seconds() / forgetting.Seconds())
	fresh := e.fresh(now)
	latency := e.expected(now, p.usual, idle, fresh)
	utilisation := (e.load(fresh) + 1) / limit
	// A server slows before its slots are full, and calls beyond the limit wait.
	slowing := 1 + fullSlowing*min(utilisation*utilisation, 1)
	waiting := max(0, utilisation-1)
	return c.link.Seconds() + latency*(slowing+waiting) + e.failures*idle*failurePenalty.Seconds()
}

// fresh is the weight of the last report, which falls with its age.
func (e *estimate) fresh(now time.Time) float64 {
	if e.reportedAt.IsZero() {
		return 0
	}
	return math.Exp(-now.Sub(e.reportedAt).Seconds() / reportLifetime.Seconds())
}

// expected returns the service time to expect. The gate's report rests on the
// calls of all entry nodes and is preferred while it is fresh; calls in flight
// that have lasted longer overrule it.
func (e *estimate) expected(now time.Time, usual, idle, fresh float64) float64 {
	own := usual + (e.latency-usual)*idle
	latency := own
	if e.service > 0 {
		latency += fresh * (e.service - own)
	}
	return max(latency, (e.meanAge(now) - e.link).Seconds())
}

// load returns the expected number of calls at the upstream's gate.
func (e *estimate) load(fresh float64) float64 {
	seen := max(0, e.reported+float64(e.sinceThen))
	own := float64(e.inFlight)
	return max(own, own+fresh*(seen-own))
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
func (p *LeastLatency) Started(now time.Time, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.stats[name]
	if !ok {
		e = &estimate{epoch: now, latency: p.usual, observed: now}
		p.stats[name] = e
	}
	e.inFlight++
	e.sinceThen++
	e.startedSum += now.Sub(e.epoch)
}

// Finished implements Policy.
func (p *LeastLatency) Finished(now time.Time, name string, result Result) {
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
		// It would have taken at least as long.
		e.sample(max(e.latency, (result.Elapsed - e.link).Seconds()))
		e.observed = now
		return
	}
	e.observe(now, result)
	if result.Outcome == call.Answered && !result.ServerError {
		p.usual += usualWeight * ((result.Elapsed - e.link).Seconds() - p.usual)
	}
}

// observe updates the averages. A failure says nothing about latency, or a
// server that rejects everything quickly would attract calls; a refusal for want
// of room says nothing about health, and its report tells the load.
func (e *estimate) observe(now time.Time, result Result) {
	e.observed = now
	switch {
	case result.ServerError || broken(result):
		e.failures += failureWeight * (1 - e.failures)
	case result.Outcome == call.Answered:
		e.failures -= failureWeight * e.failures
		e.sample((result.Elapsed - e.link).Seconds())
	}
	if result.Load == nil {
		return
	}
	e.reported = float64(result.Load.Running + result.Load.Waiting)
	e.limit = float64(result.Load.Limit)
	e.service = result.Load.ServiceTime.Seconds()
	e.reportedAt = now
	e.sinceThen = 0
}

// broken tells an attempt that failed from one that the gate had no room for.
func broken(result Result) bool {
	if result.Outcome == call.Answered {
		return false
	}
	return result.Reason != call.ReasonOverload && result.Reason != call.ReasonDeadline
}

// sample moves the average.
func (e *estimate) sample(latency float64) {
	e.latency += latencyWeight * (latency - e.latency)
}
