package membership

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// rings holds the alive and suspect members of each failure domain, ordered by a
// hash of their hosts, so that neighbours are spread over racks.
type rings struct {
	once    sync.Once
	domains map[string][]Member
}

// ring returns the ring of a failure domain; the first call builds all rings.
func (s *Snapshot) ring(failureDomain string) []Member {
	s.rings.once.Do(func() {
		s.rings.domains = map[string][]Member{}
		for _, member := range s.members {
			if member.Status <= Suspect {
				s.rings.domains[member.FailureDomain] = append(s.rings.domains[member.FailureDomain], member)
			}
		}
		for _, members := range s.rings.domains {
			slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(ringPosition(a), ringPosition(b)) })
		}
	})
	return s.rings.domains[failureDomain]
}

// ringPosition returns the hash that orders a member on its ring.
func ringPosition(m Member) uint64 { return xxhash.Sum64String(m.Host) }

// Neighbours returns the members that self probes and sends changed records to:
// those at distances 1, 2, 4 and so on in its own failure domain's ring, and one
// in each other failure domain.
func (s *Snapshot) Neighbours(self Member) []Member {
	var neighbours []Member
	own := s.ring(self.FailureDomain)
	at, _ := slices.BinarySearchFunc(own, ringPosition(self), func(m Member, at uint64) int {
		return cmp.Compare(ringPosition(m), at)
	})
	for distance := 1; distance < len(own); distance *= 2 {
		neighbour := own[(at+distance)%len(own)]
		if neighbour.Host != self.Host {
			neighbours = append(neighbours, neighbour)
		}
	}
	for _, failureDomain := range s.FailureDomains() {
		if failureDomain == self.FailureDomain {
			continue
		}
		other := s.ring(failureDomain)
		if len(other) > 0 {
			neighbours = append(neighbours, other[at%len(other)])
		}
	}
	return neighbours
}

// Relays returns the first count members of the failure domain's ring. These
// exchange configuration and daily totals with the platform for the whole domain.
func (s *Snapshot) Relays(failureDomain string, count int) []Member {
	own := s.ring(failureDomain)
	return own[:min(count, len(own))]
}

// NextProbeTargets returns the next count neighbours to probe, in turn.
func (v *View) NextProbeTargets(count int) []Member {
	neighbours := v.Snapshot().Neighbours(v.Self())
	if len(neighbours) == 0 {
		return nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	var chosen []Member
	for range min(count, len(neighbours)) {
		chosen = append(chosen, neighbours[v.nextProbe%len(neighbours)])
		v.nextProbe++
	}
	return chosen
}

// RandomDownMember returns a random member that is down, to be probed again.
func (v *View) RandomDownMember() (Member, bool) {
	return v.randomMember(func(m Member) bool { return m.Status == Down })
}

// IndirectProber returns a random alive member that can probe target for this
// node.
func (v *View) IndirectProber(target Member) (Member, bool) {
	self := v.Self()
	return v.randomMember(func(m Member) bool {
		return m.Status == Alive && m.Host != target.Host && m.Host != self.Host
	})
}

func (v *View) randomMember(matches func(Member) bool) (Member, bool) {
	var candidates []Member
	for _, member := range v.Snapshot().Members() {
		if matches(member) {
			candidates = append(candidates, member)
		}
	}
	if len(candidates) == 0 {
		return Member{}, false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return candidates[v.rng.IntN(len(candidates))], true
}
