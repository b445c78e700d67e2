package note

import (
	"slices"
	"time"

	"github.com/banyancross/banyancross/idempotency"
)

// The actions an operator can take with a note.
const (
	ActionPublish  = "publish"
	ActionAmend    = "amend"
	ActionWithdraw = "withdraw"
)

// ApplyOptions are the options of State.Apply.
type ApplyOptions struct {
	// Base is the revision that the note was written against.
	Base uint64
	// Now is the time of publishing.
	Now time.Time
	// Amends is the id of the note that this note replaces, or "".
	Amends string
}

// Apply returns the state that results from applying the note. If the note has
// been applied before, Apply returns s itself.
func (s *State) Apply(n *Note, options ApplyOptions) (*State, error) {
	existing, ok := s.Note(n.id)
	if ok && existing.Digest == n.digest {
		return s, nil
	}
	if ok {
		return nil, newError("apply", KindReused, "", "note %q was published with another content in revision %d",
			n.id, existing.Revision)
	}
	b := &builder{state: s.clone(), base: options.Base}
	b.state.Revision++
	action := ActionPublish
	if options.Amends != "" {
		action = ActionAmend
		if err := b.undo("amend", options.Amends); err != nil {
			return nil, err
		}
	}
	if err := b.applyEntries(n); err != nil {
		return nil, err
	}
	if err := b.finish(options.Now); err != nil {
		return nil, err
	}
	b.recordNote(AppliedNote{
		ID: n.id, Digest: n.digest, Revision: b.state.Revision, At: options.Now,
		Message: n.message, Action: action, Undo: &b.replaced,
	})
	return b.state, nil
}

// Withdraw returns the state that results from undoing the note with the given
// id, at a higher revision. If the note has been withdrawn before, Withdraw
// returns s itself.
func (s *State) Withdraw(id string, now time.Time) (*State, error) {
	withdrawalID := id + "-withdrawn"
	if _, ok := s.Note(withdrawalID); ok {
		return s, nil
	}
	b := &builder{state: s.clone(), base: s.Revision}
	b.state.Revision++
	if err := b.undo("withdraw", id); err != nil {
		return nil, err
	}
	if err := b.finish(now); err != nil {
		return nil, err
	}
	b.recordNote(AppliedNote{ID: withdrawalID, Revision: b.state.Revision, At: now, Action: ActionWithdraw, Undo: &b.replaced})
	return b.state, nil
}

// builder derives the next State from a clone of the present one.
type builder struct {
	state    *State
	base     uint64
	replaced Undo
}

// undo restores the entries that the note with the given id replaced.
func (b *builder) undo(op, id string) error {
	applied, ok := b.state.Note(id)
	if !ok {
		return newError(op, KindUnknown, "", "note %q does not exist", id)
	}
	if applied.Undo == nil {
		return newError(op, KindUnknown, "", "note %q is too old to %s", id, op)
	}
	// An entry that a later note changed is not overwritten: undo fails.
	appliedRevision := applied.Revision
	for _, entry := range applied.Undo.Services {
		i, found := b.state.serviceIndex(entry.Name)
		if found && b.state.Services[i].ModRevision > appliedRevision {
			return newError(op, KindConflict, "", "service %q was changed by revision %d after note %q",
				entry.Name, b.state.Services[i].ModRevision, id)
		}
		b.putService(entry)
	}
	for _, entry := range applied.Undo.Upstreams {
		i, found := b.state.upstreamIndex(entry.Name)
		if found && b.state.Upstreams[i].ModRevision > appliedRevision {
			return newError(op, KindConflict, "", "upstream %q was changed by revision %d after note %q",
				entry.Name, b.state.Upstreams[i].ModRevision, id)
		}
		b.putUpstream(entry)
	}
	return nil
}

func (b *builder) applyEntries(n *Note) error {
	for _, entry := range n.services {
		i, found := b.state.serviceIndex(entry.name)
		if found && b.changedAfterBase(b.state.Services[i].ModRevision) {
			return newError("apply", KindConflict, "", "service %q was changed by revision %d, after revision %d",
				entry.name, b.state.Services[i].ModRevision, b.base)
		}
		if entry.withdrawn && !found {
			return newError("apply", KindUnknown, "", "service %q does not exist", entry.name)
		}
		b.putService(ServiceEntry{Name: entry.name, Withdrawn: entry.withdrawn, Service: entry.service})
	}
	for _, entry := range n.upstreams {
		i, found := b.state.upstreamIndex(entry.name)
		if found && b.changedAfterBase(b.state.Upstreams[i].ModRevision) {
			return newError("apply", KindConflict, "", "upstream %q was changed by revision %d, after revision %d",
				entry.name, b.state.Upstreams[i].ModRevision, b.base)
		}
		if entry.withdrawn && !found {
			return newError("apply", KindUnknown, "", "upstream %q does not exist", entry.name)
		}
		b.putUpstream(UpstreamEntry{Name: entry.name, Withdrawn: entry.withdrawn, Upstream: entry.upstream})
	}
	return nil
}

// changedAfterBase reports whether another note changed an entry after the base
// revision. A change in the revision being built is not a conflict: undo made it
// while amending.
func (b *builder) changedAfterBase(modRevision uint64) bool {
	return modRevision > b.base && modRevision != b.state.Revision
}

func (b *builder) putService(entry ServiceEntry) {
	entry.ModRevision = b.state.Revision
	i, found := b.state.serviceIndex(entry.Name)
	if !found {
		b.saveReplacedService(ServiceEntry{Name: entry.Name, Withdrawn: true, Service: entry.Service})
		b.state.Services = slices.Insert(b.state.Services, i, entry)
		return
	}
	old := b.state.Services[i]
	b.saveReplacedService(old)
	entry.ShardMaps = old.ShardMaps
	if entry.Withdrawn {
		entry.Service = old.Service
	}
	b.state.Services[i] = entry
}

func (b *builder) putUpstream(entry UpstreamEntry) {
	entry.ModRevision = b.state.Revision
	i, found := b.state.upstreamIndex(entry.Name)
	if !found {
		b.saveReplacedUpstream(UpstreamEntry{Name: entry.Name, Withdrawn: true, Upstream: entry.Upstream})
		b.state.Upstreams = slices.Insert(b.state.Upstreams, i, entry)
		return
	}
	old := b.state.Upstreams[i]
	b.saveReplacedUpstream(old)
	if entry.Withdrawn {
		entry.Upstream = old.Upstream
	}
	b.state.Upstreams[i] = entry
}

// saveReplacedService records the value to restore on undo, once per entry.
func (b *builder) saveReplacedService(entry ServiceEntry) {
	if entry.ModRevision == b.state.Revision {
		return
	}
	entry.ShardMaps = nil
	b.replaced.Services = append(b.replaced.Services, entry)
}

func (b *builder) saveReplacedUpstream(entry UpstreamEntry) {
	if entry.ModRevision == b.state.Revision {
		return
	}
	b.replaced.Upstreams = append(b.replaced.Upstreams, entry)
}

// finish checks that the service of each upstream exists and updates the shard
// maps.
func (b *builder) finish(now time.Time) error {
	for i := range b.state.Upstreams {
		entry := &b.state.Upstreams[i]
		if entry.Withdrawn {
			continue
		}
		if _, ok := b.state.Service(entry.Upstream.Service); !ok {
			return newError("apply", KindUnknown, "", "service %q of upstream %q does not exist",
				entry.Upstream.Service, entry.Name)
		}
	}
	for i := range b.state.Services {
		b.updateShardMaps(&b.state.Services[i], now)
	}
	return nil
}

// updateShardMaps adds a shard map if the service's list of upstreams has
// changed. The first one is valid at once, since no lease was granted under an
// earlier one.
func (b *builder) updateShardMaps(entry *ServiceEntry, now time.Time) {
	var names []string
	for _, upstream := range b.state.Upstreams {
		if !upstream.Withdrawn && upstream.Upstream.Service == entry.Name {
			names = append(names, upstream.Name)
		}
	}
	last := len(entry.ShardMaps) - 1
	if last >= 0 && slices.Equal(entry.ShardMaps[last].Upstreams, names) {
		return
	}
	from := now
	if last >= 0 {
		from = idempotency.ShardMapStart(now)
		if from.Before(entry.ShardMaps[last].From) {
			from = entry.ShardMaps[last].From
		}
	}
	shardMaps := slices.Clone(entry.ShardMaps)
	shardMaps = append(shardMaps, idempotency.ShardMap{From: from, Upstreams: names})
	entry.ShardMaps = pruneShardMaps(shardMaps, now)
}

// pruneShardMaps drops the shard maps that only apply to keys older than the
// retention.
func pruneShardMaps(shardMaps []idempotency.ShardMap, now time.Time) []idempotency.ShardMap {
	oldest := now.Add(-idempotency.DefaultRetention)
	for len(shardMaps) > 1 && shardMaps[1].From.Before(oldest) {
		shardMaps = shardMaps[1:]
	}
	return shardMaps
}

func (b *builder) recordNote(applied AppliedNote) {
	b.state.Notes = append(b.state.Notes, applied)
	if len(b.state.Notes) > maxAppliedNotes {
		b.state.Notes = b.state.Notes[len(b.state.Notes)-maxAppliedNotes:]
	}
	expired := len(b.state.Notes) - maxUndoNotes - 1
	if expired >= 0 {
		b.state.Notes[expired].Undo = nil
	}
}
