package membership

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// rings holds the members of each failure domain that may be alive, ordered by a
// hash of their hosts, so that neighbours are spread over racks.
type rings struct {
	once    sync.Once
	domains map[string][]Member
}

// ring returns the ring of a failure domain, built at the first use.
func (s *Snapshot) ring(failureDomain string) []Member {
	s.rings.once.Do(func() {
		s.rings.domains = map[string][]Member{}
		for _, member := range s.members {
			if member.Status <= Suspect {
				s.rings.domains[member.FailureDomain] = append(s.rings.domains[member.FailureDomain], member)
			}
		}
		for _, members := range s.rings.domains {
			slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(place(a), place(b)) })
		}
	})
	return s.rings.domains[failureDomain]
}

// place is a member's position on its ring.
func place(m Member) uint64 { return xxhash.Sum64String(m.Host) }

// Neighbours returns the members that self probes and passes news to: those at
// distances 1, 2, 4 and so on in its own failure domain's ring, and one in each
// other failure domain.
func (s *Snapshot) Neighbours(self Member) []Member {
	var contacts []Member
	own := s.ring(self.FailureDomain)
	at, _ := slices.BinarySearchFunc(own, place(self), func(m Member, at uint64) int {
		return cmp.Compare(place(m), at)
	})
	for distance := 1; distance < len(own); distance *= 2 {
		contact := own[(at+distance)%len(own)]
		if contact.Host != self.Host {
			contacts = append(contacts, contact)
		}
	}
	for _, failureDomain := range s.FailureDomains() {
		if failureDomain == self.FailureDomain {
			continue
		}
		other := s.ring(failureDomain)
		if len(other) > 0 {
			contacts = append(contacts, other[at%len(other)])
		}
	}
	return contacts
}

// Relays returns the count members of the failure domain that speak for it to
// the platform.
func (s *Snapshot) Relays(failureDomain string, count int) []Member {
	own := s.ring(failureDomain)
	return own[:min(count, len(own))]
}

// NextProbeTargets returns the next count contacts to probe, in turn.
func (v *View) NextProbeTargets(count int) []Member {
	contacts := v.Snapshot().Neighbours(v.Self())
	if len(contacts) == 0 {
		return nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	var chosen []Member
	for range min(count, len(contacts)) {
		chosen = append(chosen, contacts[v.next%len(contacts)])
		v.next++
	}
	return chosen
}

// RandomDownMember returns one member that is down, chosen at random, to be tried again.
func (v *View) RandomDownMember() (Member, bool) {
	return v.pick(func(m Member) bool { return m.Status == Down })
}

// IndirectProber returns a member, chosen at random, that can probe another for us.
func (v *View) IndirectProber(target Member) (Member, bool) {
	self := v.Self()
	return v.pick(func(m Member) bool {
		return m.Status == Alive && m.Host != target.Host && m.Host != self.Host
	})
}

func (v *View) pick(wanted func(Member) bool) (Member, bool) {
	var found []Member
	for _, member := range v.Snapshot().Members() {
		if wanted(member) {
			found = append(found, member)
		}
	}
	if len(found) == 0 {
		return Member{}, false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return found[v.rng.IntN(len(found))], true
}
