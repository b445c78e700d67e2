package routing

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/banyancross/banyancross/call"
)

const (
	// loadLifetime is how long a report of running calls is valid: more than two
	// intervals of the beacons that carry it.
	loadLifetime = 600 * time.Millisecond
	// slowdownLifetime is how long a reported slowdown is valid. The load of other
	// work on a shared host changes within that time.
	slowdownLifetime = 150 * time.Millisecond
	// remoteCost is the cost of another failure domain, in shares of an upstream's
	// capacity: two more link delays each way, and the heads of the messages.
	remoteCost = 0.3
	// DefaultTransferUnit is the default of WithTransferUnit.
	DefaultTransferUnit = 12 << 10
	// maxTransferCost bounds the cost of a long transfer, so that a remote upstream
	// still costs less than a failing one.
	maxTransferCost = 2
	// overloadLifetime is how long a report is valid for Overloaded.
	overloadLifetime = 100 * time.Millisecond
	// overloadSlowdown is the slowdown from which an upstream is overloaded: it
	// does half of its normal work or less, so that any other upstream with free
	// slots finishes sooner.
	overloadSlowdown = 2
	// failingCost is the cost of an upstream that mostly fails: more than load,
	// distance and slowdown together.
	failingCost = 4
	// coldCost is the cost of a cold upstream beside its load: more than that of another
	// failure domain, and less than that of a full upstream.
	coldCost = 0.5
	// connFailureCost is the penalty after a failed connection, more than the cost
	// of a full upstream. It halves every connFailureHalfLife, within which a
	// killed process has restarted.
	connFailureCost     = 1.5
	connFailureHalfLife = time.Second
	// maxUpstreams bounds the tracked upstreams. At the bound all are dropped: most
	// have left long before, and the others soon report again.
	maxUpstreams = 4096
	// groupSampleWeight is the weight of a report in the mean of its group, which thus
	// covers about the last 10 reports, and groupLifetime how long the mean is valid.
	groupSampleWeight = 0.1
	groupLifetime     = 3 * time.Second
	// maxGroupCost bounds a report in the mean of its group, so that one slow host
	// does not stand for all.
	maxGroupCost = 1.5
	// maxJitter spreads the choices of nodes with the same information; it is
	// about the load that one call adds to an upstream with few slots.
	maxJitter = 0.15
)

// LeastCost chooses the upstream with the least cost, which combines its reported
// load, this node's calls in flight, slowdown, failures and distance.
type LeastCost struct {
	transferUnit int64

	mu        sync.Mutex
	rng       *rand.Rand
	upstreams map[string]*upstreamState
	groups    map[string]*groupState
}

// Option configures a LeastCost.
type Option func(*LeastCost)

// WithTransferUnit sets the number of bytes whose transfer between failure domains
// costs as much as the whole capacity of an upstream.
func WithTransferUnit(bytes int64) Option { return func(p *LeastCost) { p.transferUnit = bytes } }

// groupState is the mean cost of the loads that the upstreams of a group reported. It
// stands for the load of those that did not report lately, as most do not in a large
// fleet.
type groupState struct {
	mean       float64
	reportedAt time.Time
}

// add adds a report to the mean.
func (g *groupState) add(now time.Time, cost float64) {
	weight := groupSampleWeight
	if now.Sub(g.reportedAt) > groupLifetime {
		weight = 1
	}
	g.mean += weight * (cost - g.mean)
	g.reportedAt = now
}

// upstreamState is the load and the failures of one upstream.
type upstreamState struct {
	inFlight   int
	load       call.Load
	reportedAt time.Time
	penalty    float64
	penaltyAt  time.Time
	group      string
}

// report records a load report of the upstream; p.mu must be held.
func (p *LeastCost) report(now time.Time, u *upstreamState, load call.Load) {
	u.load, u.reportedAt = load, now
	if u.group == "" || load.Limit == 0 {
		return
	}
	g := p.groups[u.group]
	if g == nil {
		g = &groupState{}
		p.groups[u.group] = g
	}
	g.add(now, min(loadCost(load), maxGroupCost))
}

// loadCost returns the cost of a load in shares of an upstream's capacity.
func loadCost(load call.Load) float64 {
	return float64(load.Running+load.Waiting)/float64(load.Limit) + slowdownCost(load)
}

// slowdownCost returns the cost of a host's slowdown in shares of an upstream's
// capacity.
func slowdownCost(load call.Load) float64 { return max(0, float64(load.Slowdown-1)) / 4 }

var _ Policy = (*LeastCost)(nil)

// NewLeastCost returns a LeastCost that draws its jitter from rng.
func NewLeastCost(rng *rand.Rand, options ...Option) *LeastCost {
	p := &LeastCost{rng: rng, transferUnit: DefaultTransferUnit, upstreams: map[string]*upstreamState{}, groups: map[string]*groupState{}}
	for _, option := range options {
		option(p)
	}
	return p
}

// TransferCost returns the cost of transferring bytes between failure domains, in
// shares of an upstream's capacity.
func (p *LeastCost) TransferCost(bytes int64) float64 {
	return min(float64(bytes)/float64(p.transferUnit), maxTransferCost)
}

// Choose implements Policy.
func (p *LeastCost) Choose(now time.Time, candidates []Candidate) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, lowest := 0, 0.0
	for i, candidate := range candidates {
		cost := p.cost(now, candidate) + maxJitter*p.rng.Float64()
		if i == 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	p.upstream(candidates[best].name).group = candidates[best].group
	return best
}

// cost returns the cost of a candidate in shares of an upstream's capacity; p.mu
// must be held.
func (p *LeastCost) cost(now time.Time, candidate Candidate) float64 {
	return p.parts(now, candidate).Total()
}

// parts returns the parts of the cost of a candidate; p.mu must be held.
func (p *LeastCost) parts(now time.Time, candidate Candidate) Cost {
	var cost Cost
	switch {
	case candidate.priced:
		cost.Way = candidate.wayCost
	case candidate.remote:
		cost.Way = remoteCost + p.TransferCost(candidate.transferBytes)
	}
	u := p.upstreams[candidate.name]
	if u == nil {
		cost.Load = p.groupCost(now, candidate.group)
		return cost
	}
	running, limit := float64(u.inFlight), float64(max(candidate.slots, 1))
	age := now.Sub(u.reportedAt)
	if age >= loadLifetime {
		cost.Load = p.groupCost(now, candidate.group)
	} else {
		running = max(running, float64(u.load.Running+u.load.Waiting))
		if u.load.Limit > 0 {
			limit = float64(u.load.Limit)
		}
	}
	cost.Load += running / limit
	if age < slowdownLifetime {
		cost.Slowdown = slowdownCost(u.load)
	}
	if age < loadLifetime && u.load.Cold {
		cost.Cold = coldCost
	}
	if age < loadLifetime && u.load.Failing {
		cost.Failing = failingCost
	}
	cost.Connections = u.decayedPenalty(now)
	return cost
}

// groupCost returns the expected cost of the load of an upstream of a group that did
// not report lately; p.mu must be held.
func (p *LeastCost) groupCost(now time.Time, group string) float64 {
	g := p.groups[group]
	if g == nil || now.Sub(g.reportedAt) > groupLifetime {
		return 0
	}
	return g.mean
}

// decayedPenalty returns the present penalty for failed connections.
func (u *upstreamState) decayedPenalty(now time.Time) float64 {
	if u.penalty == 0 {
		return 0
	}
	halves := int(now.Sub(u.penaltyAt) / connFailureHalfLife)
	if halves > 16 {
		return 0
	}
	return u.penalty / float64(int(1)<<max(halves, 0))
}

// Overloaded reports whether an upstream's last report is recent and shows it
// full or slowed down.
func (p *LeastCost) Overloaded(now time.Time, name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.upstreams[name]
	if u == nil || now.Sub(u.reportedAt) > overloadLifetime {
		return false
	}
	return u.load.Waiting > 0 || u.load.Running >= u.load.Limit || u.load.Slowdown >= overloadSlowdown
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
		p.report(now, u, *result.Load)
	}
	if result.Load == nil && (result.Reason == call.ReasonConnection || result.Reason == call.ReasonCut) {
		u.penalty, u.penaltyAt = min(u.decayedPenalty(now)+connFailureCost, 4*connFailureCost), now
	}
}

// UpdateLoad records a load report from the upstream's node.
func (p *LeastCost) UpdateLoad(now time.Time, name string, load call.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report(now, p.upstream(name), load)
}

func (p *LeastCost) upstream(name string) *upstreamState {
	u := p.upstreams[name]
	if u == nil {
		if len(p.upstreams) >= maxUpstreams {
			p.upstreams, p.groups = map[string]*upstreamState{}, map[string]*groupState{}
		}
		u = &upstreamState{}
		p.upstreams[name] = u
	}
	return u
}
