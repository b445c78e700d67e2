package locality_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/locality"
	"github.com/banyancross/banyancross/routing"
)

// The replay: six domains in three regions, with 3 to 7 servers each, and waves of demand
// that peak one after the other, and a node beside each. Loads are reported every 225 ms at
// home and 450 ms elsewhere. The first gates decline a call that would wait, and two more
// one that would wait too long, as those of package ingress.

const (
	slots       = 4
	runTime     = 40 * time.Millisecond
	objective   = 300 * time.Millisecond
	maxWait     = 120 * time.Millisecond
	callBytes   = 5 << 10
	replayTime  = 12 * time.Second
	waveTime    = 12 * time.Second
	domainDelay = 500 * time.Microsecond
	regionDelay = 30 * time.Millisecond
	unit        = 12 << 10
	domainPrice = 1.0
	regionPrice = 2.0
)

type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type server struct {
	name             string
	domain           int
	running, waiting int
	// free holds when each slot becomes free.
	free [slots]time.Time
}

// rule chooses a server for a call at a node, after others rejected it.
type rule func(r *replay, now time.Time, node int, tried []*server) *server

type replay struct {
	choose rule
	// home holds the domain of each node.
	home     []int
	rng      *rand.Rand
	queue    events
	servers  []*server
	policies []*routing.LeastCost
	deciders []*locality.Decider
	calls    map[string]int
	times    []time.Duration
	domain   int
	region   int
}

var (
	serverCounts = []int{3, 7, 4, 6, 3, 5}
	domainNames  = []string{"d0", "d1", "d2", "d3", "d4", "d5"}
	regionNames  = []string{"r0", "r0", "r1", "r1", "r2", "r2"}
)

func way(a, b int) locality.Way {
	return locality.WayBetween(domainNames[a], regionNames[a], domainNames[b], regionNames[b])
}

func delay(a, b int) time.Duration {
	return [...]time.Duration{0, domainDelay, regionDelay}[way(a, b)]
}

func (r *replay) at(now time.Time, do func()) { heap.Push(&r.queue, event{now, do}) }

func (r *replay) candidates(node int, servers []*server, cost func(domain int) float64) []routing.Candidate {
	candidates := make([]routing.Candidate, len(servers))
	for i, s := range servers {
		candidates[i] = routing.NewCandidate(s.name, slots, 0, s.domain != r.home[node]).WithTransferBytes(callBytes).WithGroup(domainNames[s.domain])
		if cost != nil {
			candidates[i] = candidates[i].WithWayCost(cost(s.domain))
		}
	}
	return candidates
}

// arrive sends a call to a server, and to others after rejections; queued is how many of
// those might have queued it.
func (r *replay) arrive(now time.Time, node int, began time.Time, queued int, tried []*server) {
	s := r.choose(r, now, node, tried)
	p, d := r.policies[node], delay(r.home[node], s.domain)
	limit := time.Duration(0)
	if len(tried) >= 3 || p.Overloaded(now, s.name) {
		limit = maxWait
		queued++
	}
	p.Started(now, s.name)
	bytes := callBytes
	r.at(now.Add(d/2), func() {
		at := now.Add(d / 2)
		slot := 0
		for i, free := range s.free {
			if free.Before(s.free[slot]) {
				slot = i
			}
		}
		wait := max(0, s.free[slot].Sub(at))
		if wait > limit {
			bytes = 0
			r.at(at.Add(d/2), func() {
				end := at.Add(d / 2)
				p.Finished(end, s.name, routing.Result{Outcome: call.NotRun, Load: s.load()})
				if queued < 2 {
					r.arrive(end, node, began, queued, append(tried, s))
				} else {
					r.calls["rejected"]++
				}
			})
			return
		}
		run := time.Duration(float64(runTime) * (0.5 + r.rng.ExpFloat64()/2))
		if r.rng.Float64() < 0.03 {
			run *= 7
		}
		s.free[slot] = at.Add(wait + run)
		s.waiting++
		r.at(at.Add(wait), func() { s.waiting--; s.running++ })
		r.at(at.Add(wait+run), func() {
			s.running--
			done := at.Add(wait + run)
			load := s.load()
			r.at(done.Add(d/2), func() {
				end := done.Add(d / 2)
				p.Finished(end, s.name, routing.Result{Outcome: call.Answered, Load: load})
				r.times = append(r.times, end.Sub(began))
				if end.Sub(began) <= objective {
					r.calls["served"]++
				}
			})
		})
		switch way(r.home[node], s.domain) {
		case locality.BetweenDomains:
			r.domain += bytes
		case locality.BetweenRegions:
			r.region += bytes
		}
	})
}

func (s *server) load() *call.Load {
	return &call.Load{Running: uint32(s.running), Waiting: uint32(s.waiting), Limit: slots}
}

// play plays the waves of a mean level, in shares of the capacity, that swing by a share
// of it. It returns the share of the calls served in time, the 99th
// percentile of the times, and the bytes between domains and between regions per call.
func play(choose rule, level, swing float64) (served float64, p99 time.Duration, domainBytes, regionBytes float64) {
	r := &replay{choose: choose, rng: rand.New(rand.NewPCG(1, 2)), calls: map[string]int{}}
	start := time.Unix(1_800_000_000, 0)
	first := []int{}
	for domain, count := range serverCounts {
		first = append(first, len(r.servers))
		for i := range count {
			r.home = append(r.home, domain)
			r.servers = append(r.servers, &server{name: fmt.Sprint(domain, "/", i), domain: domain})
			seed := uint64(len(r.servers))
			r.policies = append(r.policies, routing.NewLeastCost(rand.New(rand.NewPCG(3, seed))))
			r.deciders = append(r.deciders, locality.NewDecider(rand.New(rand.NewPCG(4, seed)), locality.NewPrices(unit, domainPrice, regionPrice)))
		}
	}
	for i, s := range r.servers {
		for node := range r.servers {
			interval := 225 * time.Millisecond
			if r.home[node] != s.domain {
				interval *= 2
			}
			for at := start.Add(time.Duration(i) * 17 * time.Millisecond); at.Before(start.Add(replayTime)); at = at.Add(interval) {
				r.at(at, func() { r.policies[node].UpdateLoad(at, s.name, *s.load()) })
			}
		}
	}
	total := 0
	for domain, count := range serverCounts {
		// A mean run takes 1.18 run times.
		capacity := float64(count*slots) / (1.18 * runTime.Seconds())
		for at := start; at.Before(start.Add(replayTime)); {
			phase := 2 * math.Pi * (at.Sub(start).Seconds()/waveTime.Seconds() + float64(domain)/float64(len(serverCounts)))
			rate := capacity * level * (1 + swing*math.Sin(phase))
			at = at.Add(time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second)))
			node := first[domain] + r.rng.IntN(count)
			r.at(at, func() { r.arrive(at, node, at, 0, nil) })
			total++
		}
	}
	for len(r.queue) > 0 {
		heap.Pop(&r.queue).(event).do()
	}
	slices.Sort(r.times)
	return float64(r.calls["served"]) / float64(total), r.times[len(r.times)*99/100],
		float64(r.domain) / float64(total), float64(r.region) / float64(total)
}

func without(servers, tried []*server) []*server {
	return slices.DeleteFunc(slices.Clone(servers), func(s *server) bool { return slices.Contains(tried, s) })
}

// byConstant is the rule with a constant cost of another domain.
func byConstant(r *replay, now time.Time, node int, tried []*server) *server {
	servers := without(r.servers, tried)
	return servers[r.policies[node].Choose(now, r.candidates(node, servers, nil))]
}

var theCall = locality.Call{Service: "s", Route: "r", Bytes: callBytes, Objective: objective, RunTime: runTime}

// byPrice is the rule that chooses each call's server by the cost of its way.
func byPrice(r *replay, now time.Time, node int, tried []*server) *server {
	servers := without(r.servers, tried)
	cost := func(domain int) float64 {
		return r.deciders[node].WayCost(theCall, locality.Domain{Way: way(r.home[node], domain), Delay: delay(r.home[node], domain)}).Cost()
	}
	return servers[r.policies[node].Choose(now, r.candidates(node, servers, cost))]
}

// domains returns the loads of the domains as a node knows them.
func (r *replay) domains(now time.Time, node int) []locality.Domain {
	domains := make([]locality.Domain, len(serverCounts))
	for i, known := range r.policies[node].Loads(now, r.candidates(node, r.servers, nil)) {
		d := r.servers[i].domain
		domains[d].Name, domains[d].Way, domains[d].Delay = domainNames[d], way(r.home[node], d), delay(r.home[node], d)
		domains[d].Load += known.Calls
		domains[d].Limit += known.Limit
		domains[d].Age += known.Age / time.Duration(serverCounts[d])
	}
	return domains
}

func (r *replay) inDomain(domain int) []*server {
	return slices.DeleteFunc(slices.Clone(r.servers), func(s *server) bool { return s.domain != domain })
}

// byThreshold is the rule that sends all calls away from a full domain until it has room.
func byThreshold() rule {
	away := map[int]bool{}
	return func(r *replay, now time.Time, node int, tried []*server) *server {
		if len(tried) > 0 {
			return byPrice(r, now, node, tried)
		}
		domains := r.domains(now, node)
		utilization := domains[r.home[node]].Load / domains[r.home[node]].Limit
		away[node] = utilization > 1 || (away[node] && utilization > 0.75)
		if !away[node] {
			servers := r.inDomain(r.home[node])
			return servers[r.policies[node].Choose(now, r.candidates(node, servers, nil))]
		}
		servers := slices.DeleteFunc(slices.Clone(r.servers), func(s *server) bool { return s.domain == r.home[node] })
		return byPrice(&replay{home: r.home, servers: servers, policies: r.policies, deciders: r.deciders}, now, node, tried)
	}
}

// byRoom is the rule of this package.
func byRoom(r *replay, now time.Time, node int, tried []*server) *server {
	if len(tried) > 0 {
		return byPrice(r, now, node, tried)
	}
	domain, _ := r.deciders[node].Choose(now, theCall, r.domains(now, node))
	servers := r.inDomain(domain)
	return servers[r.policies[node].Choose(now, r.candidates(node, servers, nil))]
}

// cost returns the losses and the priced bytes of a play per call, in lost answers.
func cost(served, domainBytes, regionBytes float64) float64 {
	return 1 - served + (domainPrice*domainBytes+regionPrice*regionBytes)/unit
}

// The rule that leaves by the missing room costs less than the others that were weighed,
// and serves as many in time as the present one, up to one call in 200.
func TestLeavingByRoomCostsLeastInWavesOfDemand(t *testing.T) {
	for _, level := range []float64{0.65, 1} {
		costs, shares := map[string]float64{}, map[string]float64{}
		for name, choose := range map[string]rule{"constant": byConstant, "price": byPrice, "threshold": byThreshold(), "room": byRoom} {
			served, p99, domainBytes, regionBytes := play(choose, level, 0.55)
			costs[name], shares[name] = cost(served, domainBytes, regionBytes), served
			t.Logf("level %.2f %-9s: served in time %.4f, p99 %v, bytes a call between domains %.0f and between regions %.0f, cost %.4f",
				level, name, served, p99.Round(time.Millisecond), domainBytes, regionBytes, costs[name])
		}
		g := NewWithT(t)
		g.Expect(shares["room"]).To(BeNumerically(">=", shares["constant"]-0.005))
		for _, name := range []string{"constant", "price", "threshold"} {
			g.Expect(costs["room"]).To(BeNumerically("<", costs[name]), name)
		}
	}
}
