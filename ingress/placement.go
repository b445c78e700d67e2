package ingress

import (
	"time"

	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/routing"
)

// The decisions in this file answer load that shifts between failure domains while
// the links between them are charged by the byte: a request leaves its failure
// domain when waiting there costs more than the transfer of its bytes.

const (
	// localTransferCost is the cost of a transfer between failure domains, in
	// shares of an upstream's capacity, from which a request stays in its own
	// domain while an upstream there has free slots, even on a slow host.
	localTransferCost = 1.0
	// queueTransferCost is the same cost from which a request that was declined in
	// its own domain may return there to be queued.
	queueTransferCost = 0.4
	// assumedLongResponse is the assumed length, in bytes, of a response of a route
	// with long responses before the first one.
	assumedLongResponse = 64 << 10
)

// place chooses the upstream for the next attempt out of peers, which is not
// empty, and reports whether its gate may decline the request.
func (s *session) place(now time.Time, peers []fleet.Peer, hedge bool) (fleet.Peer, bool) {
	transferCost := s.in.policy.TransferCost(s.transferBytes())
	if transferCost >= localTransferCost {
		if free := s.freeLocalPeers(peers); len(free) > 0 {
			return s.choose(now, free), false
		}
	}
	peer := s.choose(now, peers)
	b := peer.Beacon()
	// When no better upstream is left, queueing beats a refusal.
	declinable := s.picks < maxDeclinablePicks && len(peers) > 1 &&
		!s.declinedLocal[b.Host] && !s.in.policy.Overloaded(now, peer.Key())
	return peer, hedge || declinable
}

// candidates returns the upstreams to choose from. A hedge of a request with a long
// transfer stays in the own failure domain. When all have been tried, one
// more attempt, which is not declinable, may go to any of them, since the cause of
// a refusal may have passed.
func (s *session) candidates(all []fleet.Peer, hedge bool) []fleet.Peer {
	transferCost := s.in.policy.TransferCost(s.transferBytes())
	mayReturn := !hedge && transferCost >= queueTransferCost
	mustStay := hedge && transferCost >= localTransferCost
	all = s.withoutWarming(all)
	untried := make([]fleet.Peer, 0, len(all))
	for _, peer := range all {
		if mustStay && !s.local(peer) {
			continue
		}
		host := peer.Beacon().Host
		if !s.tried[host] || (mayReturn && s.declinedLocal[host]) {
			untried = append(untried, peer)
		}
	}
	if len(untried) > 0 || hedge || s.picks > maxDeclinablePicks {
		return untried
	}
	s.picks = maxDeclinablePicks
	return all
}

func (s *session) choose(now time.Time, peers []fleet.Peer) fleet.Peer {
	bytes := s.transferBytes()
	candidates := make([]routing.Candidate, len(peers))
	for i, peer := range peers {
		b := peer.Beacon()
		candidates[i] = routing.NewCandidate(peer.Key(), b.Slots, 0, !s.local(peer)).
			WithTransferBytes(bytes).WithGroup(peer.Group())
	}
	return peers[s.in.policy.Choose(now, candidates)]
}

// transferBytes returns the expected number of bytes that the request and its
// response transfer to and from an upstream. The part of a body that is streamed
// has no known length.
func (s *session) transferBytes() int64 {
	response := s.in.meanSize(s.route.Name)
	if response == 0 && s.route.LongResponses {
		response = assumedLongResponse
	}
	return int64(len(s.request.Content)) + response
}

// freeLocalPeers returns those in the own failure domain that have free slots.
func (s *session) freeLocalPeers(peers []fleet.Peer) []fleet.Peer {
	var free []fleet.Peer
	for _, peer := range peers {
		load := peer.Beacon().Load
		if s.local(peer) && !peer.Silent() && !load.Failing && load.Running < load.Limit && (!load.Cold || load.Waiting == 0) {
			free = append(free, peer)
		}
	}
	return free
}

// local reports whether a node is in the own failure domain.
func (s *session) local(peer fleet.Peer) bool {
	return peer.Beacon().FailureDomain == s.in.failureDomain
}

// minSlowdown returns the lowest slowdown that upstreams report, 0 if none does.
// Gates compare with it: when all upstreams of a service are slow, for example
// because all have just started, none of them declines calls as slow.
func minSlowdown(peers []fleet.Peer) float32 {
	lowest := float32(0)
	for _, peer := range peers {
		if slowdown := peer.Beacon().Load.Slowdown; slowdown >= 1 && (lowest == 0 || slowdown < lowest) {
			lowest = slowdown
		}
	}
	return lowest
}
