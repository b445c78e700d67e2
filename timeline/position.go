package timeline

// Position is a place in the history of a store; the zero Position is before all others.
type Position struct {
	// timeline is 0 if the store does not number its timelines.
	timeline uint64
	revision uint64
}

// NewPosition returns the Position of a revision in a timeline, 0 for that of a store that
// does not number its timelines.
func NewPosition(timeline, revision uint64) Position {
	return Position{timeline: timeline, revision: revision}
}

// Timeline returns the number of the timeline, 0 if the store does not number them.
func (p Position) Timeline() uint64 { return p.timeline }

// Revision returns the revision, which counts the changes of the store.
func (p Position) Revision() uint64 { return p.revision }

// IsZero reports whether p is the zero Position.
func (p Position) IsZero() bool { return p == Position{} }

// Before reports whether p is in an earlier timeline than other, or at a lower revision of
// the same one.
func (p Position) Before(other Position) bool {
	return p.timeline < other.timeline || p.timeline == other.timeline && p.revision < other.revision
}
