package evacuation

import (
	"slices"
	"time"

	"github.com/banyancross/banyancross/timeline"
)

const (
	// keepTime is how long an evacuation that the copy lacks stays in force unless the
	// operators write it again. Calls to an evacuated domain do more harm than its absence.
	keepTime = time.Minute
	// ignoreTime is how long an evacuation that the copy has and that was not in force has
	// no effect. It is below the time within which a new one must take effect, since one that
	// the operators began right after the restore looks the same.
	ignoreTime = 3 * time.Second
)

// Hold keeps the evacuations that were in force when the store was restored from a copy. The
// zero Hold changes nothing.
type Hold struct {
	restoredAt time.Time
	// pending means that the store was not read since.
	pending bool
	// kept are the domains that the copy lacks, and ignored those that it has and that were
	// not evacuated.
	kept, ignored []string
}

// NewHold returns the Hold of a store that was restored at a time.
func NewHold(restoredAt time.Time) Hold { return Hold{restoredAt: restoredAt, pending: true} }

// Active reports whether the Hold may still change what the store says.
func (h *Hold) Active(now time.Time) bool {
	return h.pending && now.Sub(h.restoredAt) <= keepTime || len(h.kept)+len(h.ignored) > 0
}

// Next returns the Set to put in force, given that in force and the one that the store has,
// which is still known at a position.
func (h *Hold) Next(now time.Time, inForce, stored Set, position timeline.Position) Set {
	if h.pending {
		h.pending = false
		if !inForce.position.IsZero() {
			h.kept, h.ignored = without(inForce.domains, stored), without(stored.domains, inForce)
		}
	}
	// What another node has learned from the operators since is not held any more.
	if h.kept = without(within(h.kept, inForce), stored); now.Sub(h.restoredAt) > keepTime {
		h.kept = nil
	}
	if h.ignored = without(within(h.ignored, stored), inForce); now.Sub(h.restoredAt) > ignoreTime {
		h.ignored = nil
	}
	next := stored
	if len(h.kept)+len(h.ignored) > 0 {
		domains, _ := Usable(slices.Concat(without(stored.domains, Snapshot(stored.position, h.ignored...)), h.kept))
		next = Update(stored.position, domains...)
	}
	if !next.Same(inForce) {
		next = next.AsOf(position)
	}
	return next
}

// within returns the domains that a Set has, and without those that it does not have.
func within(domains []string, s Set) []string {
	return slices.DeleteFunc(slices.Clone(domains), func(d string) bool { return !s.Has(d) })
}

func without(domains []string, s Set) []string {
	return slices.DeleteFunc(slices.Clone(domains), s.Has)
}
