package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ring returns the members that may be alive in the failure domain and the one
// whose host is always, ordered by a hash of their hosts, so that neighbours
// are spread over racks.
func ring(members []Member, failureDomain, always string) []Member {
	var found []Member
	for _, member := range members {
		if member.FailureDomain == failureDomain && (member.Status <= Suspect || member.Host == always) {
			found = append(found, member)
		}
	}
	slices.SortFunc(found, func(a, b Member) int {
		return cmp.Compare(xxhash.Sum64String(a.Host), xxhash.Sum64String(b.Host))
	})
	return found
}

// Contacts returns the members that self probes and passes news to: those at
// distances 1, 2, 4 and so on in its own failure domain's ring, and one in each
// other failure domain.
func (s *Snapshot) Contacts(self Member) []Member {
	var contacts []Member
	own := ring(s.members, self.FailureDomain, self.Host)
	at := slices.IndexFunc(own, func(m Member) bool { return m.Host == self.Host })
	if at < 0 {
		return nil
	}
	for distance := 1; distance < len(own); distance *= 2 {
		contacts = append(contacts, own[(at+distance)%len(own)])
	}
	for _, failureDomain := range s.FailureDomains() {
		if failureDomain == self.FailureDomain {
			continue
		}
		other := ring(s.members, failureDomain, "")
		if len(other) > 0 {
			contacts = append(contacts, other[at%len(other)])
		}
	}
	return contacts
}

// Relays returns the count members of the failure domain that speak for it to
// the platform.
func (s *Snapshot) Relays(failureDomain string, count int) []Member {
	own := ring(s.members, failureDomain, "")
	return own[:min(count, len(own))]
}

// Probes returns the next count contacts to probe, in turn.
func (v *View) Probes(count int) []Member {
	contacts := v.Snapshot().Contacts(v.Self())
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

// Lost returns one member that is down, chosen at random, to be tried again.
func (v *View) Lost() (Member, bool) {
	return v.pick(func(m Member) bool { return m.Status == Down })
}

// Helper returns a member, chosen at random, that can probe another for us.
func (v *View) Helper(target Member) (Member, bool) {
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
