package evacuation

import (
	"slices"

	"github.com/banyancross/banyancross/timeline"
)

const (
	// maxNameBytes is the longest name of a failure domain: that of a DNS label.
	maxNameBytes = 63
	// maxTotalBytes bounds the names of a Set together, so that a beacon with one
	// still fits into one packet. It holds twenty names of the usual length.
	maxTotalBytes = 400
)

// Set is the evacuated failure domains as of a position of the store; it is immutable.
// The zero Set is older than all others and has no domains.
type Set struct {
	position timeline.Position
	// domains is sorted.
	domains []string
	// relevant means that the set has domains, or replaced a set that had some.
	relevant bool
}

// Snapshot returns the Set of all failure domains that are evacuated as of a position.
func Snapshot(position timeline.Position, domains ...string) Set {
	sorted := slices.Compact(slices.Sorted(slices.Values(domains)))
	return Set{position: position, domains: sorted, relevant: len(sorted) > 0}
}

// Update returns the Set after an evacuation began or ended at a position, as the store
// or another node tells.
func Update(position timeline.Position, domains ...string) Set {
	s := Snapshot(position, domains...)
	s.relevant = position.Revision() > 0
	return s
}

// Merge returns the Set of the later position. Sets of one position differ only after the
// store was restored, and then all their domains count.
func (s Set) Merge(other Set) Set {
	latest := s
	switch {
	case s.position.Before(other.position):
		latest = other
	case s.position == other.position:
		latest = Snapshot(s.position, slices.Concat(s.domains, other.domains)...)
	}
	// A node that holds a replaced set must hear that it was replaced.
	latest.relevant = s.relevant || other.relevant
	return latest
}

// Has reports whether a failure domain is evacuated.
func (s Set) Has(domain string) bool {
	_, found := slices.BinarySearch(s.domains, domain)
	return found
}

// Same reports whether two sets have the same failure domains.
func (s Set) Same(other Set) bool { return slices.Equal(s.domains, other.domains) }

// Position returns the position of the store at which the Set was known.
func (s Set) Position() timeline.Position { return s.position }

// AsOf returns the Set as one that is still known at a later position.
func (s Set) AsOf(position timeline.Position) Set {
	if s.position.Before(position) {
		s.position = position
	}
	return s
}

// Domains returns the evacuated failure domains, sorted; they must not be changed.
func (s Set) Domains() []string { return s.domains }

// Announcement returns what other nodes must know: the zero Position and nil if there
// never was an evacuation.
func (s Set) Announcement() (position timeline.Position, domains []string) {
	if !s.relevant {
		return timeline.Position{}, nil
	}
	return s.position, s.domains
}

// Usable returns the first names, in order, that a Set may hold, and the others: those
// that name no failure domain or exceed the bound of all names together.
func Usable(domains []string) (usable, unusable []string) {
	total := 0
	for _, domain := range slices.Sorted(slices.Values(domains)) {
		if domain == "" || len(domain) > maxNameBytes || total+len(domain) > maxTotalBytes {
			unusable = append(unusable, domain)
			continue
		}
		total += len(domain)
		usable = append(usable, domain)
	}
	return usable, unusable
}
