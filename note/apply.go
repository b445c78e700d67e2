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

// ApplyOptions says how a note is to be applied.
type ApplyOptions struct {
	// Base is the revision the operator saw.
	Base uint64
	// Now is the time of publishing.
	Now time.Time
	// Amends names the note whose entries are replaced, if any.
	Amends string
}

// Apply returns the state after the note. Applying a note that the state was
// already built from returns the state itself.
func (s *State) Apply(n *Note, change ApplyOptions) (*State, error) {
	known, ok := s.Note(n.id)
	if ok && known.Digest == n.digest {
		return s, nil
	}
	if ok {
		return nil, newError("apply", KindReused, "", "note %q was published with another content in revision %d",
			n.id, known.Revision)
	}
	b := &builder{state: s.clone(), base: change.Base}
	b.state.Revision++
	action := ActionPublish
	if change.Amends != "" {
		action = ActionAmend
		if err := b.undo("amend", change.Amends); err != nil {
			return nil, err
		}
	}
	if err := b.entries(n); err != nil {
		return nil, err
	}
	if err := b.finish(change.Now); err != nil {
		return nil, err
	}
	b.record(AppliedNote{
		ID: n.id, Digest: n.digest, Revision: b.state.Revision, At: change.Now,
		Message: n.message, Action: action, Undo: &b.replaced,
	})
	return b.state, nil
}

// Withdraw returns the state in which the entries of the note called id have
// the values they had before it, at a higher revision. Withdrawing it again
// returns the state itself.
func (s *State) Withdraw(id string, now time.Time) (*State, error) {
	identity := id + "-withdrawn"
	if _, ok := s.Note(identity); ok {
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
	b.record(AppliedNote{ID: identity, Revision: b.state.Revision, At: now, Action: ActionWithdraw, Undo: &b.replaced})
	return b.state, nil
}

// builder makes one State out of another.
type builder struct {
	state    *State
	base     uint64
	replaced Undo
}

// undo restores the entries that the note called id replaced.
func (b *builder) undo(op, id string) error {
	applied, ok := b.state.Note(id)
	if !ok {
		return newError(op, KindUnknown, "", "note %q does not exist", id)
	}
	if applied.Undo == nil {
		return newError(op, KindUnknown, "", "note %q is too old to %s", id, op)
	}
	// Entries that a later note changed stay as that note left them.
	limit := applied.Revision
	for _, entry := range applied.Undo.Services {
		i, found := b.state.serviceIndex(entry.Name)
		if found && b.state.Services[i].ModRevision > limit {
			return newError(op, KindClash, "", "service %q was changed by revision %d after note %q",
				entry.Name, b.state.Services[i].ModRevision, id)
		}
		b.putService(entry)
	}
	for _, entry := range applied.Undo.Upstreams {
		i, found := b.state.upstreamIndex(entry.Name)
		if found && b.state.Upstreams[i].ModRevision > limit {
			return newError(op, KindClash, "", "upstream %q was changed by revision %d after note %q",
				entry.Name, b.state.Upstreams[i].ModRevision, id)
		}
		b.putUpstream(entry)
	}
	return nil
}

func (b *builder) entries(n *Note) error {
	for _, entry := range n.services {
		i, found := b.state.serviceIndex(entry.name)
		if found && b.newer(b.state.Services[i].ModRevision) {
			return newError("apply", KindClash, "", "service %q was changed by revision %d, after revision %d",
				entry.name, b.state.Services[i].ModRevision, b.base)
		}
		if entry.withdrawn && !found {
			return newError("apply", KindUnknown, "", "service %q does not exist", entry.name)
		}
		b.putService(ServiceEntry{Name: entry.name, Withdrawn: entry.withdrawn, Service: entry.service})
	}
	for _, entry := range n.upstream {
		i, found := b.state.upstreamIndex(entry.name)
		if found && b.newer(b.state.Upstreams[i].ModRevision) {
			return newError("apply", KindClash, "", "upstream %q was changed by revision %d, after revision %d",
				entry.name, b.state.Upstreams[i].ModRevision, b.base)
		}
		if entry.withdrawn && !found {
			return newError("apply", KindUnknown, "", "upstream %q does not exist", entry.name)
		}
		b.putUpstream(UpstreamEntry{Name: entry.name, Withdrawn: entry.withdrawn, Upstream: entry.upstream})
	}
	return nil
}

// newer tells whether another note changed an entry after the base revision;
// what this note itself has just restored does not count.
func (b *builder) newer(changed uint64) bool {
	return changed > b.base && changed != b.state.Revision
}

func (b *builder) putService(entry ServiceEntry) {
	entry.ModRevision = b.state.Revision
	i, found := b.state.serviceIndex(entry.Name)
	if !found {
		b.rememberService(ServiceEntry{Name: entry.Name, Withdrawn: true, Service: entry.Service})
		b.state.Services = slices.Insert(b.state.Services, i, entry)
		return
	}
	old := b.state.Services[i]
	b.rememberService(old)
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
		b.rememberUpstream(UpstreamEntry{Name: entry.Name, Withdrawn: true, Upstream: entry.Upstream})
		b.state.Upstreams = slices.Insert(b.state.Upstreams, i, entry)
		return
	}
	old := b.state.Upstreams[i]
	b.rememberUpstream(old)
	if entry.Withdrawn {
		entry.Upstream = old.Upstream
	}
	b.state.Upstreams[i] = entry
}

// rememberService keeps the first value that this change replaces.
func (b *builder) rememberService(entry ServiceEntry) {
	if entry.ModRevision == b.state.Revision {
		return
	}
	entry.ShardMaps = nil
	b.replaced.Services = append(b.replaced.Services, entry)
}

func (b *builder) rememberUpstream(entry UpstreamEntry) {
	if entry.ModRevision == b.state.Revision {
		return
	}
	b.replaced.Upstreams = append(b.replaced.Upstreams, entry)
}

// finish checks the whole and updates the placements.
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
		b.place(&b.state.Services[i], now)
	}
	return nil
}

// place adds a placement when the service's list of upstreams has changed. The
// first one holds at once, since no tenure can rest on an earlier list.
func (b *builder) place(entry *ServiceEntry, now time.Time) {
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
	kept := slices.Clone(entry.ShardMaps)
	kept = append(kept, idempotency.ShardMap{From: from, Upstreams: names})
	entry.ShardMaps = prune(kept, now)
}

// prune drops the placements that only cover keys past their retention.
func prune(placements []idempotency.ShardMap, now time.Time) []idempotency.ShardMap {
	oldest := now.Add(-idempotency.DefaultRetention)
	for len(placements) > 1 && placements[1].From.Before(oldest) {
		placements = placements[1:]
	}
	return placements
}

func (b *builder) record(applied AppliedNote) {
	b.state.Notes = append(b.state.Notes, applied)
	if len(b.state.Notes) > maxApplied {
		b.state.Notes = b.state.Notes[len(b.state.Notes)-maxApplied:]
	}
	forget := len(b.state.Notes) - maxUndo - 1
	if forget >= 0 {
		b.state.Notes[forget].Undo = nil
	}
}
