package ingress

import (
	"time"

	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/locality"
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
// empty, and reports whether its gate may decline the request, and why the attempt
// leaves the failure domain.
func (s *session) place(now time.Time, peers []fleet.Peer, hedge bool) (fleet.Peer, bool, locality.Reason) {
	if s.in.leaving.byRoom() {
		return s.placeByRoom(now, peers, hedge)
	}
	peer, declinable := s.placeByConstant(now, peers, hedge)
	return peer, declinable, s.leavingReason(peer, hedge, locality.ReasonCost)
}

// placeByConstant is place at a constant cost of the way to other failure domains.
func (s *session) placeByConstant(now time.Time, peers []fleet.Peer, hedge bool) (fleet.Peer, bool) {
	if free := s.mustStay(peers); len(free) > 0 {
		return s.choose(now, free), false
	}
	peer := s.choose(now, peers)
	return peer, hedge || s.declinable(now, peer, len(peers))
}

// mustStay returns the upstreams in the own failure domain to which a request with a long
// transfer is bound while they have free slots, none for other requests.
func (s *session) mustStay(peers []fleet.Peer) []fleet.Peer {
	if s.in.policy.TransferCost(s.transferBytes()) < localTransferCost {
		return nil
	}
	return s.freeLocalPeers(peers)
}

// declinable reports whether the gate of the chosen one out of a number of upstreams may
// decline the request. When no better upstream is left, queueing beats a refusal.
func (s *session) declinable(now time.Time, peer fleet.Peer, upstreams int) bool {
	return s.picks < maxDeclinablePicks && upstreams > 1 &&
		!s.declinedLocal[peer.Beacon().Host] && !s.in.policy.Overloaded(now, peer.Key())
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
	return peers[s.in.policy.Choose(now, s.routingCandidates(peers))]
}

// routingCandidates returns the upstreams as candidates at a constant cost of the way.
func (s *session) routingCandidates(peers []fleet.Peer) []routing.Candidate {
	bytes := s.transferBytes()
	candidates := make([]routing.Candidate, len(peers))
	for i, peer := range peers {
		b := peer.Beacon()
		candidates[i] = routing.NewCandidate(peer.Key(), b.Slots, 0, !s.local(peer)).
			WithTransferBytes(bytes).WithGroup(peer.Group())
	}
	return candidates
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
