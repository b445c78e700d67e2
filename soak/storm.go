package soak

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Scenario names the faults of a run and the services of its fleet.
type Scenario string

const (
	// Mixed draws all kinds of events for a fleet with one service.
	Mixed Scenario = "mixed"
	// RepeatedRejections adds upstreams that reject requests and repeat responses to the
	// events of Mixed, for many callers whose requests mostly are not idempotent. With few
	// nodes, a request that all upstreams have rejected returns to one of them.
	RepeatedRejections Scenario = "repeated-rejections"
	// KillStorm kills nodes again and again, one or all at a time, while upstreams lose
	// answers. Runs of one service call another one.
	KillStorm Scenario = "kill-storm"
	// StoreRestores adds restores of the store from copies to the events of Mixed. After the
	// last one, all nodes must serve a new version of the configuration.
	StoreRestores Scenario = "store-restores"
)

const (
	// service is the service of callers' requests, apart from those on the route
	// standin.NestedPath.
	service = "stock"
	// calledService is the service that runs call in a KillStorm.
	calledService = "price"
	// nestedCallsPerRun is the number of calls that a run of service makes.
	nestedCallsPerRun = 2
	// stormLossShare is the share of answers that upstreams lose in a KillStorm.
	stormLossShare = 0.75
	// killsPerNode is the mean number of kills of single nodes, per node and second.
	killsPerNode = 0.3
	// killAllInterval is the time between two kills of all nodes.
	killAllInterval = 2 * time.Second
)

// service returns the service of a node.
func (o Options) service(index int) string {
	if o.Scenario == KillStorm && index%2 == 1 {
		return calledService
	}
	return service
}

// calledService returns the service that runs call, which is their own unless the
// scenario has two.
func (o Options) calledService() string {
	if o.Scenario == KillStorm {
		return calledService
	}
	return service
}

// drawKills returns the events of a KillStorm in the order of their offsets.
func drawKills(seed uint64, nodes int, duration time.Duration) []event {
	rng := rand.New(rand.NewPCG(seed, seed))
	var events []event
	meanInterval := float64(time.Second) / (killsPerNode * float64(nodes))
	for offset := time.Duration(0); offset < duration; offset += time.Duration(rng.ExpFloat64() * meanInterval) {
		events = append(events, event{offset: offset, kind: killProcess, node: rng.IntN(nodes)})
	}
	for offset := killAllInterval; offset < duration; offset += killAllInterval {
		for node := range nodes {
			events = append(events, event{offset: offset, kind: killProcess, node: node})
		}
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].offset < events[j].offset })
	return events
}

// setUpstreamLosses sets the share of answers that the upstreams lose.
func (f *fleet) setUpstreamLosses(share float64) {
	for _, n := range f.nodes {
		s, _ := n.currentServer()
		s.backend.SetLossShare(share)
	}
}
