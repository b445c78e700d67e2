package ingress

import (
	"time"

	"github.com/banyancross/banyancross/fleet"
)

// The decisions in this file answer a failure domain whose upstreams return cold under a
// herd of calls: a call goes on to the upstreams that are warm, and once it is clear that
// there are none, it is rejected at once.

const (
	// maxWarmingPicks bounds the rejections by gates of cold upstreams that do not count
	// as picks: as many as the upstreams of a service in one failure domain typically are.
	maxWarmingPicks = 8
	// minWarmingPicks is the number of such rejections from which the reports of the
	// other upstreams are believed: those are older than an answer.
	minWarmingPicks = 2
)

// recordWarming records that the gate of a cold upstream rejected an attempt, and when it
// has room again. The attempt does not count as a pick, as the upstream is neither full
// nor slow.
func (s *session) recordWarming(a *attempt, roomIn time.Duration) {
	if s.warming == nil {
		s.warming = map[string]bool{}
	}
	if host := a.peer.Beacon().Host; !s.warming[host] && len(s.warming) < maxWarmingPicks {
		s.warming[host] = true
		s.picks--
		if !a.declinable {
			s.queuedPicks--
		}
	}
	if s.roomIn == 0 || roomIn < s.roomIn {
		s.roomIn = roomIn
	}
}

// withoutWarming returns the upstreams that did not reject the request as cold, and none
// if several did and all others report that they are cold and can be sent no more.
func (s *session) withoutWarming(peers []fleet.Peer) []fleet.Peer {
	if len(s.warming) == 0 {
		return peers
	}
	left := make([]fleet.Peer, 0, len(peers))
	warm := len(s.warming) < minWarmingPicks
	for _, peer := range peers {
		b := peer.Beacon()
		if s.warming[b.Host] {
			continue
		}
		left = append(left, peer)
		warm = warm || !b.Load.Cold || b.Load.Waiting == 0
	}
	if !warm {
		return nil
	}
	return left
}
