package routing

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/banyancross/banyancross/call"
)

const (
	// choices is the number of candidates compared for each call.
	choices = 3
	// initialLatency is the assumed latency of a service without observations.
	initialLatency = 5 * time.Millisecond
	// serviceLatencyWeight is the weight of a sample in the service's mean
	// latency, the estimate for an upstream without observations.
	serviceLatencyWeight = 0.05
	// latencyWeight is the weight of a sample in an upstream's mean latency.
	latencyWeight = 0.1
	// idleTimeConstant is the time constant with which the estimates of an idle
	// upstream return to the service's mean, so that it is tried again.
	idleTimeConstant = 2 * time.Second
	// reportTimeConstant is the time constant with which a load report decays.
	reportTimeConstant = 100 * time.Millisecond
	// saturationSlowdown is the relative increase of the latency when all slots
	// are in use.
	saturationSlowdown = 0.5
	// failurePenalty is the cost of an attempt that is certain to fail.
	failurePenalty = 500 * time.Millisecond
	// failureWeight is the weight of a sample in the failure ratio.
	failureWeight = 0.2
)

// LeastLatency chooses the candidate with the least expected latency among a few
// random ones: the power of d choices (Mitzenmacher, 2001) on age-discounted
// moving averages, with the mean age of the calls in flight as a lower bound.
type LeastLatency struct {
	mu             sync.Mutex
	rng            *rand.Rand
	stats          map[string]*estimate
	order          []int
	serviceLatency float64 // mean over all upstreams, in seconds
}

// estimate holds the observations of one upstream.
type estimate struct {
	inFlight       int
	startedSum     time.Duration // sum over the calls in flight of start time minus epoch
	epoch          time.Time
	rtt            time.Duration
	latency        float64 // mean of own calls without the round trip, in seconds
	failureRatio   float64 // moving average
	observedAt     time.Time
	serviceTime    float64 // reported service time, in seconds
	reportedCalls  float64 // reported calls running and waiting
	limit          float64
	reportedAt     time.Time
	inFlightChange int // own calls started minus finished since the report
}

// NewLeastLatency returns a LeastLatency policy that samples from rng.
func NewLeastLatency(rng *rand.Rand) *LeastLatency {
	return &LeastLatency{rng: rng, stats: map[string]*estimate{}, serviceLatency: initialLatency.Seconds()}
}

// Choose implements Policy.
func (p *LeastLatency) Choose(now time.Time, candidates []Candidate) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shuffle(len(candidates))
	best := -1
	var bestCost float64
	for _, i := range p.order[:p.selectChoices(candidates)] {
		cost := p.cost(now, candidates[i])
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// selectChoices moves the local candidates to the front of the order and returns
// how many to compare from there: remote ones only if fewer than choices are
// local.
func (p *LeastLatency) selectChoices(candidates []Candidate) int {
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

// cost returns the expected time to an answer, in seconds.
func (p *LeastLatency) cost(now time.Time, c Candidate) float64 {
	e, ok := p.stats[c.name]
	if !ok {
		return c.rtt.Seconds() + p.serviceLatency
	}
	e.rtt = c.rtt
	limit := e.limit
	if limit < 1 {
		limit = float64(max(c.slots, 1))
	}
	ownWeight := math.Exp(-now.Sub(e.observedAt).Seconds() / idleTimeConstant.Seconds())
	reportWeight := e.reportWeight(now)
	latency := e.expectedLatency(now, p.serviceLatency, ownWeight, reportWeight)
	utilisation := (e.expectedCalls(reportWeight) + 1) / limit
	// An upstream slows down before all slots are in use, and calls above the
	// limit are queued.
	slowdown := 1 + saturationSlowdown*min(utilisation*utilisation, 1)
	queueing := max(0, utilisation-1)
	return c.rtt.Seconds() + latency*(slowdown+queueing) + e.failureRatio*ownWeight*failurePenalty.Seconds()
}

// reportWeight returns the weight of the last report, which decays with its age.
func (e *estimate) reportWeight(now time.Time) float64 {
	if e.reportedAt.IsZero() {
		return 0
	}
	return math.Exp(-now.Sub(e.reportedAt).Seconds() / reportTimeConstant.Seconds())
}

// expectedLatency returns the expected service time in seconds. The gate's
// report covers the calls of all entry nodes, so a recent one outweighs own
// samples; the mean age of the calls in flight is a lower bound.
func (e *estimate) expectedLatency(now time.Time, serviceLatency, ownWeight, reportWeight float64) float64 {
	own := serviceLatency + (e.latency-serviceLatency)*ownWeight
	latency := own
	if e.serviceTime > 0 {
		latency += reportWeight * (e.serviceTime - own)
	}
	return max(latency, (e.meanAge(now) - e.rtt).Seconds())
}

// expectedCalls estimates the calls running and queued at the upstream's gate.
func (e *estimate) expectedCalls(reportWeight float64) float64 {
	reported := max(0, e.reportedCalls+float64(e.inFlightChange))
	own := float64(e.inFlight)
	return max(own, own+reportWeight*(reported-own))
}

// meanAge returns the mean age of the calls in flight, which reveals a stalled
// upstream before it answers.
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
		e = &estimate{epoch: now, latency: p.serviceLatency, observedAt: now}
		p.stats[name] = e
	}
	e.inFlight++
	e.inFlightChange++
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
	e.inFlightChange--
	e.startedSum -= now.Add(-result.Elapsed).Sub(e.epoch)
	if result.Reason == call.ReasonCancelled {
		// The elapsed time of a cancelled call is a lower bound of its latency.
		e.addLatency(max(e.latency, (result.Elapsed - e.rtt).Seconds()))
		e.observedAt = now
		return
	}
	e.observe(now, result)
	if result.Outcome == call.Answered && !result.ServerError {
		p.serviceLatency += serviceLatencyWeight * ((result.Elapsed - e.rtt).Seconds() - p.serviceLatency)
	}
}

// observe updates the averages. A failure is no latency sample, because a server
// that rejects everything quickly would then attract calls. A rejection by the
// gate for overload or deadline is no failure sample, but updates the load.
func (e *estimate) observe(now time.Time, result Result) {
	e.observedAt = now
	switch {
	case result.ServerError || isFailure(result):
		e.failureRatio += failureWeight * (1 - e.failureRatio)
	case result.Outcome == call.Answered:
		e.failureRatio -= failureWeight * e.failureRatio
		e.addLatency((result.Elapsed - e.rtt).Seconds())
	}
	if result.Load == nil {
		return
	}
	e.reportedCalls = float64(result.Load.Running + result.Load.Waiting)
	e.limit = float64(result.Load.Limit)
	e.serviceTime = result.Load.ServiceTime.Seconds()
	e.reportedAt = now
	e.inFlightChange = 0
}

// isFailure reports whether an attempt without an answer failed, and was not
// rejected by the gate for overload, share or deadline.
func isFailure(result Result) bool {
	if result.Outcome == call.Answered {
		return false
	}
	return result.Reason != call.ReasonOverload && result.Reason != call.ReasonShare && result.Reason != call.ReasonDeadline
}

// addLatency adds a latency sample, in seconds, to the mean.
func (e *estimate) addLatency(latency float64) {
	e.latency += latencyWeight * (latency - e.latency)
}
