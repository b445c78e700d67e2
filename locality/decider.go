package locality

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// The decision in this file answers waves of demand that peak at different times in
// different failure domains, while the links between them are slow and charged by the
// byte: as many calls leave as the own domain lacks room for, to the nearest domains with
// room, and no more.

const (
	// fullUtilization is the utilization of a domain's slots, with what waits for them,
	// from which a call can expect to wait there.
	fullUtilization = 0.9
	// queueAllowance is by how much the utilization may exceed fullUtilization before a
	// call leaves whose way costs as much as a lost answer: within half of a run, a slot
	// becomes free.
	queueAllowance = 0.5
	// minSlackRuns and maxSlackRuns bound the runs that fit between the end of a run and
	// the latency objective. A call with less time to wait leaves earlier.
	minSlackRuns = 0.2
	maxSlackRuns = 1
	// hysteresis is how far the utilization falls below the level from which calls leave
	// before they return: about one call at a domain with few slots.
	hysteresis = 0.15
	// adjustTime is the time in which the share that stays falls to zero at a utilization
	// that is 1 too high: the interval of the load reports between domains, so that the
	// effect of a change is known before the next is complete.
	adjustTime = 450 * time.Millisecond
	// returnSpeed is how much faster calls return than leave: a call that is away for no
	// reason costs bytes, while one that came back too early waits for a part of a run.
	returnSpeed = 3
	// maxAdjustStep bounds the time that one adjustment covers, for calls that are rare.
	maxAdjustStep = 100 * time.Millisecond
	// minStayShare keeps a share at home that shows when there is room again.
	minStayShare = 0.02
	// reportHalfLife is the age at which a report of room counts for half.
	reportHalfLife = time.Second
	// maxStates bounds the routes and services with state. At the bound all are dropped.
	maxStates = 1024
)

// Reason is the kebab-case reason for which a call leaves its failure domain.
type Reason string

// The reasons.
const (
	// ReasonStays means that the call does not leave.
	ReasonStays Reason = ""
	// ReasonRoom means that the own domain lacks room.
	ReasonRoom Reason = "room"
	// ReasonNoUpstream means that the own domain has no upstream to choose.
	ReasonNoUpstream Reason = "no-upstream"
	// ReasonCost means that another upstream cost less for the first attempt.
	ReasonCost Reason = "cost"
	// ReasonRepeat means that an earlier attempt did not succeed.
	ReasonRepeat Reason = "repeat"
	// ReasonHedge means that the earlier attempt takes long.
	ReasonHedge Reason = "hedge"
)

// Call describes a call to place.
type Call struct {
	Service, Route string
	// Nested means that a run makes the call.
	Nested bool
	// Bytes is the expected length of the request and its response.
	Bytes int64
	// Objective is the latency objective, and RunTime the expected time of the run.
	Objective, RunTime time.Duration
}

// Domain describes the upstreams of the called service in a failure domain.
type Domain struct {
	Name string
	Way  Way
	// Delay is the round trip.
	Delay time.Duration
	// Load is the number of calls that run and wait there, and Limit the number that may
	// run, 0 if no upstream takes calls.
	Load, Limit float64
	// Age is the mean age of the reports of the load.
	Age time.Duration
	// NestedAway is the expected number of nested calls of the run that no upstream in
	// the domain answers.
	NestedAway float64
}

// utilization returns the load in shares of the limit.
func (d Domain) utilization() float64 { return d.Load / max(d.Limit, 1) }

// room returns how many more calls the domain can take before calls wait there. Old news
// count less, so that not all nodes choose a domain that was idle once.
func (d Domain) room() float64 {
	return max(0, fullUtilization*d.Limit-d.Load) * math.Exp2(-float64(d.Age)/float64(reportHalfLife))
}

// Option is a failure domain that a call may go to, with the parts of its cost in shares
// of a lost answer.
type Option struct {
	Domain       string
	Way          Way
	Delay        time.Duration
	DelayCost    float64
	TransferCost float64
	NestedCost   float64
	// Utilization is the load in shares of the limit, and Room the number of calls that
	// the domain can take.
	Utilization, Room float64
	// Threshold is the utilization of the own domain from which calls leave on this way.
	Threshold float64
	// Share is the probability with which the call goes there.
	Share float64
}

// Cost returns the sum of the parts.
func (o Option) Cost() float64 { return o.DelayCost + o.TransferCost + o.NestedCost }

// key identifies the calls with one state. Routes whose calls cost less on the way have
// a lower threshold and thus leave first.
type key struct {
	service, route string
	nested         bool
}

// state holds the shares of the calls with a key. domain and region are the shares that
// stay as far as the ways to domains of the region and to other regions are concerned;
// near is the share of the leaving ones that the own region takes.
type state struct {
	at                   time.Time
	domain, region, near float64
}

// Decider decides which calls leave their failure domain; it is safe for concurrent use.
type Decider struct {
	prices Prices

	mu     sync.Mutex
	rng    *rand.Rand
	states map[key]*state
}

// NewDecider returns a Decider that draws from rng.
func NewDecider(rng *rand.Rand, prices Prices) *Decider {
	return &Decider{prices: prices, rng: rng, states: map[key]*state{}}
}

// Choose returns the index of the failure domain for a call, and why the call leaves its
// own. domains is not empty.
func (d *Decider) Choose(now time.Time, call Call, domains []Domain) (int, Reason) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := key{call.Service, call.Route, call.Nested}
	st := d.states[k]
	if st == nil {
		if len(d.states) >= maxStates {
			clear(d.states)
		}
		st = &state{at: now, domain: 1, region: 1, near: 1}
		d.states[k] = st
	}
	st.adjust(now, d.measure(call, domains))
	options := d.weigh(st, call, domains)
	draw, chosen := d.rng.Float64(), max(indexOf(domains, Within), 0)
	for i, option := range options {
		if option.Share == 0 {
			continue
		}
		chosen = i
		if draw -= option.Share; draw < 0 {
			break
		}
	}
	switch {
	case options[chosen].Way == Within:
		return chosen, ReasonStays
	case homeOf(domains) < 0:
		return chosen, ReasonNoUpstream
	}
	return chosen, ReasonRoom
}

// Weigh returns how a call would be placed now, without a change of state.
func (d *Decider) Weigh(call Call, domains []Domain) []Option {
	d.mu.Lock()
	defer d.mu.Unlock()
	st := d.states[key{call.Service, call.Route, call.Nested}]
	if st == nil {
		st = &state{domain: 1, region: 1, near: 1}
	}
	return d.weigh(st, call, domains)
}

// LeavingShare returns the largest share of a kind of calls that leaves now for want of
// room.
func (d *Decider) LeavingShare() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	share := 0.0
	for _, st := range d.states {
		share = max(share, (1-st.domain)*st.near, (1-st.region)*(1-st.near))
	}
	return share
}

// WayCost returns the parts of the cost of sending a call to a domain.
func (d *Decider) WayCost(call Call, domain Domain) Option {
	option := Option{Domain: domain.Name, Way: domain.Way, Delay: domain.Delay, Utilization: domain.utilization(), Room: domain.room()}
	if domain.Way == Within {
		return option
	}
	option.DelayCost = float64(domain.Delay) / float64(max(call.Objective, time.Millisecond))
	option.TransferCost = d.prices.Cost(domain.Way, call.Bytes)
	// A nested call that leaves again takes about the same way.
	option.NestedCost = domain.NestedAway * option.DelayCost
	return option
}

// levels are the utilizations that the shares follow, with the thresholds from which
// calls leave the own domain for the region and for others.
type levels struct {
	home, near         float64
	hasHome, hasNear   bool
	toDomain, toRegion float64
}

// measure returns the levels for a call.
func (d *Decider) measure(call Call, domains []Domain) levels {
	var l levels
	nearLoad, nearLimit := 0.0, 0.0
	nearCost, farCost := math.Inf(1), math.Inf(1)
	for _, domain := range domains {
		cost := d.WayCost(call, domain).Cost()
		switch domain.Way {
		case Within:
			l.home, l.hasHome = domain.utilization(), domain.Limit > 0
		case BetweenDomains:
			nearLoad, nearLimit, l.hasNear = nearLoad+domain.Load, nearLimit+domain.Limit, true
			nearCost = min(nearCost, cost)
		case BetweenRegions:
			farCost = min(farCost, cost)
		}
	}
	l.near = nearLoad / max(nearLimit, 1)
	l.toDomain, l.toRegion = call.threshold(nearCost), call.threshold(farCost)
	// What the region is full for goes on if the rest of the way is worth it.
	return l
}

// threshold returns the utilization of the own domain from which a call leaves on a way
// of a cost: the wait that it then expects costs as much. A nested call stays near its
// run as long as it can wait at all.
func (c Call) threshold(cost float64) float64 {
	runs := float64(c.Objective-c.RunTime) / float64(max(c.RunTime, time.Millisecond))
	runs = min(max(runs, minSlackRuns), maxSlackRuns)
	if c.Nested {
		cost = 1
	}
	return fullUtilization + queueAllowance*min(cost, 1)*runs
}

// adjust moves the shares towards what the levels allow.
func (st *state) adjust(now time.Time, l levels) {
	step := float64(min(now.Sub(st.at), maxAdjustStep)) / float64(adjustTime)
	if step <= 0 {
		return
	}
	st.at = now
	if l.hasHome {
		st.domain = follow(st.domain, l.home, l.toDomain, step)
		st.region = follow(st.region, l.home, l.toRegion, step)
	}
	if l.hasNear {
		st.near = follow(st.near, l.near, fullUtilization+hysteresis, step)
	}
}

// follow returns a share of calls after a step, in shares of adjustTime: it shrinks while
// the utilization is above the threshold, and grows while it is below it by more than the
// hysteresis.
func follow(share, utilization, threshold, step float64) float64 {
	switch {
	case utilization > threshold:
		share -= step * min(utilization-threshold, 1)
	case utilization < threshold-hysteresis:
		share += returnSpeed * step * (threshold - hysteresis - utilization)
	}
	return min(max(share, minStayShare), 1)
}

// weigh returns the options of a call with their shares; d.mu must be held.
func (d *Decider) weigh(st *state, call Call, domains []Domain) []Option {
	options := make([]Option, len(domains))
	var room, limit [BetweenRegions + 1]float64
	for i, domain := range domains {
		options[i] = d.WayCost(call, domain)
		options[i].Threshold = call.threshold(options[i].Cost())
		room[domain.Way] += options[i].Room
		limit[domain.Way] += domain.Limit
	}
	home := homeOf(domains)
	l := d.measure(call, domains)
	near := st.near
	if limit[BetweenDomains] == 0 {
		near = 0
	}
	if room[BetweenRegions] == 0 && home < 0 && limit[BetweenDomains] > 0 {
		near = 1
	}
	leaving := [...]float64{0, near, 1 - near}
	if home >= 0 {
		// A utilization above the threshold acts at once by its excess, and on the
		// shares with time.
		leaving[BetweenDomains] *= 1 - st.domain*min(1, l.toDomain/max(l.home, fullUtilization))
		leaving[BetweenRegions] *= 1 - st.region*min(1, l.toRegion/max(l.home, fullUtilization))
	}
	left := 0.0
	for i, domain := range domains {
		if domain.Way == Within {
			continue
		}
		share := 0.0
		switch {
		case room[domain.Way] > 0:
			share = options[i].Room / room[domain.Way]
		case home < 0 && limit[domain.Way] > 0:
			share = domain.Limit / limit[domain.Way]
		}
		options[i].Share = leaving[domain.Way] * share
		left += options[i].Share
	}
	if home >= 0 {
		options[home].Share = max(0, 1-left)
	}
	return options
}

// homeOf returns the index of the own domain, -1 if it has no upstream that takes calls
// while another domain has one.
func homeOf(domains []Domain) int {
	home := indexOf(domains, Within)
	if home < 0 || domains[home].Limit > 0 {
		return home
	}
	for _, domain := range domains {
		if domain.Limit > 0 {
			return -1
		}
	}
	return home
}

// indexOf returns the index of the first domain on a kind of way, -1 if there is none.
func indexOf(domains []Domain, way Way) int {
	for i, domain := range domains {
		if domain.Way == way {
			return i
		}
	}
	return -1
}
