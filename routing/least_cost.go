package routing

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/banyancross/banyancross/call"
)

const (
	// reportLife is how long a report of running calls is believed: twice the
	// pause between the beacons that carry it.
	reportLife = 600 * time.Millisecond
	// slowdownLife is how long a report of a slowed host is believed. Work of
	// neighbours on a shared host comes and goes within such a time.
	slowdownLife = 150 * time.Millisecond
	// remoteWeight is what another failure domain costs, in shares of an
	// upstream's capacity: two more link delays each way are about a quarter of a
	// short run.
	remoteWeight = 0.25
	// transferUnit is how many bytes from another failure domain cost as much as
	// the whole capacity of an upstream: what a link charges for that many is
	// close to what a call is worth.
	transferUnit = 90 << 10
	// maxTransferWeight bounds the cost of a long answer, so that an upstream
	// elsewhere is still better than one that fails.
	maxTransferWeight = 2
	// busyLife is how long a report that an upstream is full is believed.
	busyLife = 100 * time.Millisecond
	// slow is the slowdown of an upstream that counts as busy: it does less than
	// half of what it could, so that any other with free slots is sooner done.
	slow = 2
	// failingWeight is what an upstream that mostly fails costs: more than any
	// load, distance and slowdown together.
	failingWeight = 4
	// lostWeight is what an attempt without an answer costs at first, more than
	// a full upstream, and lostHalfLife how soon half of that is forgotten: a
	// process that was killed is back within that time.
	lostWeight   = 1.5
	lostHalfLife = time.Second
	// maxReported bounds the upstreams that are remembered. When it is reached,
	// most have left long ago, and those that have not report again soon.
	maxReported = 4096
	// jitterWeight spreads the choices of nodes that know the same, by about the
	// load that one of a few running calls makes.
	jitterWeight = 0.15
)

// LeastCost chooses the upstream with the least expected wait, from its latest
// report and the calls that were sent there since.
type LeastCost struct {
	mu        sync.Mutex
	rng       *rand.Rand
	upstreams map[string]*reported
}

// reported is what is known of one upstream.
type reported struct {
	inFlight int
	load     call.Load
	at       time.Time
	lost     float64
	lostAt   time.Time
}

var _ Policy = (*LeastCost)(nil)

// NewLeastCost returns a LeastCost that breaks ties with rng.
func NewLeastCost(rng *rand.Rand) *LeastCost {
	return &LeastCost{rng: rng, upstreams: map[string]*reported{}}
}

// Choose implements Policy.
func (p *LeastCost) Choose(now time.Time, candidates []Candidate) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, lowest := 0, 0.0
	for i, candidate := range candidates {
		cost := p.cost(now, candidate) + jitterWeight*p.rng.Float64()
		if i == 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// cost is the expected wait in shares of an upstream's capacity; p.mu is held.
func (p *LeastCost) cost(now time.Time, candidate Candidate) float64 {
	cost := 0.0
	if candidate.remote {
		cost += remoteWeight + min(float64(candidate.bytes)/transferUnit, maxTransferWeight)
	}
	u := p.upstreams[candidate.name]
	if u == nil {
		return cost
	}
	running, limit := float64(u.inFlight), float64(max(candidate.slots, 1))
	age := now.Sub(u.at)
	if age < reportLife {
		running = max(running, float64(u.load.Running+u.load.Waiting))
		if u.load.Limit > 0 {
			limit = float64(u.load.Limit)
		}
	}
	cost += running / limit
	if age < slowdownLife && u.load.Slowdown > 1 {
		cost += float64(u.load.Slowdown-1) / 4
	}
	if age < reportLife && u.load.Failing {
		cost += failingWeight
	}
	return cost + u.remaining(now)
}

// remaining returns what is left of the cost of lost attempts.
func (u *reported) remaining(now time.Time) float64 {
	if u.lost == 0 {
		return 0
	}
	halves := int(now.Sub(u.lostAt) / lostHalfLife)
	if halves > 16 {
		return 0
	}
	return u.lost / float64(int(1)<<max(halves, 0))
}

// Overloaded tells whether an upstream is known to be full or slow at the moment.
func (p *LeastCost) Overloaded(now time.Time, name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.upstreams[name]
	if u == nil || now.Sub(u.at) > busyLife {
		return false
	}
	return u.load.Waiting > 0 || u.load.Running >= u.load.Limit || u.load.Slowdown >= slow
}

// Started implements Policy.
func (p *LeastCost) Started(_ time.Time, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstream(name).inFlight++
}

// Finished implements Policy.
func (p *LeastCost) Finished(now time.Time, name string, result Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.upstream(name)
	u.inFlight = max(u.inFlight-1, 0)
	if result.Load != nil {
		u.load, u.at = *result.Load, now
	}
	if result.Load == nil && (result.Reason == call.ReasonConnection || result.Reason == call.ReasonCut) {
		u.lost, u.lostAt = min(u.remaining(now)+lostWeight, 4*lostWeight), now
	}
}

// UpdateLoad takes what an upstream's node says of it.
func (p *LeastCost) UpdateLoad(now time.Time, name string, load call.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.upstream(name)
	u.load, u.at = load, now
}

func (p *LeastCost) upstream(name string) *reported {
	u := p.upstreams[name]
	if u == nil {
		if len(p.upstreams) >= maxReported {
			p.upstreams = map[string]*reported{}
		}
		u = &reported{}
		p.upstreams[name] = u
	}
	return u
}
