package ingress

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/locality"
	"github.com/banyancross/banyancross/routing"
)

// The decisions in this file answer waves of demand that a failure domain's own upstreams
// are at times too few for: package locality decides which first attempts leave. A later
// attempt or a hedge may leave at once, at the cost of its way.

// maxLearnedRoutes bounds the routes with a mean run time, and those with usual timeouts.
// At the bound all are dropped.
const maxLearnedRoutes = 1024

// leaving holds what an Ingress needs to decide on leaving its failure domain; it is safe
// for concurrent use.
type leaving struct {
	// prices is nil if the way costs a constant.
	prices  *locality.Prices
	decider *locality.Decider
	delays  *locality.Delays

	mu sync.Mutex
	// runTimes holds the mean time at the gate without the queue, by route.
	runTimes map[string]time.Duration
}

func newLeaving() *leaving {
	return &leaving{delays: locality.NewDelays(), runTimes: map[string]time.Duration{}}
}

// start creates the decider once the options are known.
func (l *leaving) start(rng *rand.Rand) {
	if l.prices != nil {
		l.decider = locality.NewDecider(rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())), *l.prices)
	}
}

// byRoom reports whether calls leave by the room in the failure domains.
func (l *leaving) byRoom() bool { return l.decider != nil }

// WithLeavingByRoom makes requests leave their failure domain by the room there and at
// the prices of the ways, in place of a constant cost.
func WithLeavingByRoom(prices locality.Prices) Option {
	return func(in *Ingress) { in.leaving.prices = &prices }
}

// Delays returns the estimated round trips to other failure domains, none if calls do not
// leave by room.
func (in *Ingress) Delays() map[string]time.Duration { return in.leaving.delays.All() }

// LeavingShare returns the largest share of a kind of calls that leaves now for want of
// room, 0 if calls do not leave by room.
func (in *Ingress) LeavingShare() float64 {
	if !in.leaving.byRoom() {
		return 0
	}
	return in.leaving.decider.LeavingShare()
}

// wayTo returns the way to a node.
func (in *Ingress) wayTo(peer fleet.Peer) locality.Way {
	return in.way(peer.Beacon().FailureDomain)
}

func (in *Ingress) way(failureDomain string) locality.Way {
	if failureDomain == in.failureDomain {
		return locality.Within
	}
	return locality.WayBetween(in.failureDomain, in.regionOf(in.failureDomain), failureDomain, in.regionOf(failureDomain))
}

// recordGateTime learns from the time that an answer says it took at the gate: the rest
// of the attempt was spent on the way.
func (in *Ingress) recordGateTime(a *attempt, elapsed time.Duration, meta hop.AnswerMeta, route string) {
	if meta.GateTime <= 0 {
		return
	}
	if a.way != locality.Within {
		in.leaving.delays.Observe(a.peer.Beacon().FailureDomain, elapsed-meta.GateTime)
	}
	if !meta.ReachedUpstream {
		return
	}
	run := max(meta.GateTime-meta.QueueTime, 0)
	l := in.leaving
	l.mu.Lock()
	defer l.mu.Unlock()
	mean, ok := l.runTimes[route]
	if !ok {
		if len(l.runTimes) >= maxLearnedRoutes {
			clear(l.runTimes)
		}
		mean = run
	}
	l.runTimes[route] = mean + time.Duration(sampleWeight*float64(run-mean))
}

// placeByRoom is place at the costs and the room of the failure domains.
func (s *session) placeByRoom(now time.Time, peers []fleet.Peer, hedge bool) (fleet.Peer, bool, locality.Reason) {
	placed := s.domainsOf(now, peers)
	if s.picks > 0 || hedge {
		peer := s.chooseByWay(now, peers, placed)
		return peer, hedge || s.declinable(now, peer, len(peers)), s.leavingReason(peer, hedge, locality.ReasonRepeat)
	}
	chosen, reason := s.in.leaving.decider.Choose(now, s.placedCall(), placed)
	peer := s.choose(now, inDomain(peers, placed[chosen].Name))
	return peer, s.declinable(now, peer, len(peers)), reason
}

// inDomain returns the upstreams in a failure domain.
func inDomain(peers []fleet.Peer, name string) []fleet.Peer {
	inside := make([]fleet.Peer, 0, len(peers))
	for _, peer := range peers {
		if peer.Beacon().FailureDomain == name {
			inside = append(inside, peer)
		}
	}
	return inside
}

// leavingReason returns why an attempt leaves the failure domain; first is the reason for
// a first attempt.
func (s *session) leavingReason(peer fleet.Peer, hedge bool, first locality.Reason) locality.Reason {
	switch {
	case s.local(peer):
		return locality.ReasonStays
	case hedge:
		return locality.ReasonHedge
	case s.picks > 0:
		return locality.ReasonRepeat
	}
	return first
}

// placedCall describes the request for the decision.
func (s *session) placedCall() locality.Call {
	l := s.in.leaving
	l.mu.Lock()
	runTime := l.runTimes[s.route.Name]
	l.mu.Unlock()
	return locality.Call{
		Service: s.service, Route: s.route.Name, Nested: s.depth > 0, Bytes: s.transferBytes(),
		Objective: s.objective(), RunTime: runTime,
	}
}

// domainsOf returns the failure domains of the upstreams with their loads.
func (s *session) domainsOf(now time.Time, peers []fleet.Peer) []locality.Domain {
	var domains []locality.Domain
	var counts []time.Duration
	for i, known := range s.in.policy.Loads(now, s.routingCandidates(peers)) {
		name := peers[i].Beacon().FailureDomain
		at := indexOfDomain(domains, name)
		if at < 0 {
			at = len(domains)
			way := s.in.way(name)
			domains = append(domains, locality.Domain{Name: name, Way: way, Delay: s.in.leaving.delays.Estimate(name, way)})
			counts = append(counts, 0)
		}
		domains[at].Load += known.Calls
		domains[at].Limit += known.Limit
		domains[at].Age += known.Age
		counts[at]++
	}
	for i := range domains {
		domains[i].Age /= counts[i]
	}
	s.addNestedCalls(domains)
	return domains
}

// addNestedCalls adds the nested calls that a run has answered in the own failure domain
// and would have to send away from another one.
func (s *session) addNestedCalls(domains []locality.Domain) {
	if len(domains) == 1 {
		return
	}
	expected := s.expectedCalls()
	if !callsAny(expected) {
		return
	}
	for service, calls := range expected {
		serving := s.in.view.ServingDomains(service)
		if !slices.Contains(serving, s.in.failureDomain) {
			continue
		}
		for i := range domains {
			if !slices.Contains(serving, domains[i].Name) {
				domains[i].NestedAway += calls
			}
		}
	}
}

// chooseByWay returns the upstream with the least cost, each at the cost of its way.
func (s *session) chooseByWay(now time.Time, peers []fleet.Peer, domains []locality.Domain) fleet.Peer {
	return peers[s.in.policy.Choose(now, s.pricedCandidates(peers, domains))]
}

// pricedCandidates returns the upstreams as candidates at the costs of their ways.
func (s *session) pricedCandidates(peers []fleet.Peer, domains []locality.Domain) []routing.Candidate {
	placed := s.placedCall()
	costs := make([]float64, len(domains))
	for i, domain := range domains {
		costs[i] = s.in.leaving.decider.WayCost(placed, domain).Cost()
	}
	candidates := s.routingCandidates(peers)
	for i, peer := range peers {
		candidates[i] = candidates[i].WithWayCost(costs[indexOfDomain(domains, peer.Beacon().FailureDomain)])
	}
	return candidates
}

// indexOfDomain returns the index of the named failure domain, -1 if there is none.
func indexOfDomain(domains []locality.Domain, name string) int {
	for i := range domains {
		if domains[i].Name == name {
			return i
		}
	}
	return -1
}
