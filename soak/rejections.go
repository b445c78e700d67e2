package soak

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

const (
	// rejectionStream is the random stream of the phases of rejections, apart from those
	// of the other events and of the callers.
	rejectionStream = 1 << 32
	// The shares of requests that upstreams reject, and of responses that they repeat.
	minRejectShare, maxRejectShare = 0.2, 0.5
	minRepeatShare, maxRepeatShare = 0.1, 0.4
	// breakShare is the share of the repeated responses that break off.
	breakShare = 0.3
	// allRejectProbability is the probability that all upstreams reject in a phase.
	allRejectProbability = 0.6
	// mixedPhaseGap and phaseGap are the mean times between two phases, in Mixed and in
	// RepeatedRejections.
	mixedPhaseGap, phaseGap = 2 * time.Second, 200 * time.Millisecond
	// manyCallersPerNode is the number of callers that connect to each node in
	// RepeatedRejections.
	manyCallersPerNode = 8
)

// callersPerNode returns the number of callers that connect to each node.
func (o Options) callersPerNode() int {
	if o.Scenario == RepeatedRejections {
		return manyCallersPerNode
	}
	return callersPerNode
}

// drawMixed returns the events of a Mixed run in the order of their offsets.
func drawMixed(seed uint64, nodes int, duration time.Duration) []event {
	events := drawEvents(seed, nodes, duration)
	if !slices.ContainsFunc(events, event.failsRequests) {
		return events
	}
	return merge(events, drawRejections(seed, nodes, duration, mixedPhaseGap))
}

// drawRepeatedRejections returns the events of a RepeatedRejections run in the order of
// their offsets.
func drawRepeatedRejections(seed uint64, nodes int, duration time.Duration) []event {
	return merge(drawEvents(seed, nodes, duration), drawRejections(seed, nodes, duration, phaseGap))
}

func merge(events, others []event) []event {
	events = append(events, others...)
	sort.SliceStable(events, func(i, j int) bool { return events[i].offset < events[j].offset })
	return events
}

// drawRejections returns the phases, one after the other, in which all or some upstreams
// reject requests and repeat responses.
func drawRejections(seed uint64, nodes int, duration, meanGap time.Duration) []event {
	rng := rand.New(rand.NewPCG(seed, rejectionStream))
	gap := func() time.Duration { return time.Duration(rng.ExpFloat64() * float64(meanGap)) }
	var events []event
	for offset := gap(); offset < duration; {
		phase := event{
			offset: offset, kind: upstreamRejects,
			duration:    minDuration + time.Duration(rng.Int64N(int64(maxDuration-minDuration))),
			rejectShare: minRejectShare + rng.Float64()*(maxRejectShare-minRejectShare),
			repeatShare: minRepeatShare + rng.Float64()*(maxRepeatShare-minRepeatShare),
		}
		all, always := rng.Float64() < allRejectProbability, rng.IntN(nodes)
		for node := range nodes {
			if all || node == always || rng.IntN(2) == 0 {
				phase.node = node
				events = append(events, phase)
			}
		}
		offset += phase.duration + minDuration + gap()
	}
	return events
}

// setRejections sets the shares of requests that the node's upstream rejects, and of
// responses that it repeats, also for one that replaces it.
func (n *node) setRejections(rejectShare, repeatShare float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rejectShare, n.repeatShare = rejectShare, repeatShare
	current := n.servers[len(n.servers)-1].backend
	current.SetRejectShare(rejectShare)
	current.SetRepeatShare(repeatShare)
}
