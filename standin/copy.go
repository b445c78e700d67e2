package standin

import (
	"maps"
	"slices"
)

// timelineHeader is the header of all answers with the number of the store's timeline.
const timelineHeader = "Store-Era"

// Copy is a copy of the contents of a Platform.
type Copy struct {
	revision  uint64
	values    map[string]value
	history   []event
	compacted uint64
	lastLease uint64
}

// SetTimeline sets the number in all answers, 0 for none as from an earlier version.
func (p *Platform) SetTimeline(number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timeline = number
}

// Copy returns a copy of the contents.
func (p *Platform) Copy() Copy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Copy{
		revision: p.revision, values: maps.Clone(p.values), history: slices.Clone(p.history),
		compacted: p.compactedRevision, lastLease: p.lastLease,
	}
}

// Restore replaces the contents by those of a copy without the keys that had a lease: all leases
// have ended. Revisions and numbers of leases go on from those of the copy, the next timeline
// begins, and pending watches are cut. The Platform answers again if it was down.
func (p *Platform) Restore(c Copy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timeline++
	p.revision, p.values, p.history = c.revision, maps.Clone(c.values), slices.Clone(c.history)
	p.compactedRevision, p.lastLease = c.compacted, c.lastLease
	p.leases = map[uint64]*lease{}
	maps.DeleteFunc(p.values, func(_ string, v value) bool { return v.lease != 0 })
	p.down = false
	p.notifyWatches()
}
