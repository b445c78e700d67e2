package admission

import (
	"time"

	"github.com/banyancross/banyancross/call"
)

// passQueue holds the queued passes. They are granted by depth of the call chain,
// deepest first, then by priority, whether they can be in time, share of the
// organisation, deadline and arrival. It is short, so that it is searched from end to end.
type passQueue struct {
	passes  []*Pass
	classes map[class]*shares
}

// Len returns the number of queued passes.
func (q *passQueue) Len() int { return len(q.passes) }

// join sets the share that the pass counts for. Nested calls count for one share, since
// their runs have been admitted already.
func (q *passQueue) join(pass *Pass, cost time.Duration) {
	pass.class = class{depth: pass.request.Depth, priority: pass.request.Priority}
	pass.cost = max(cost, minCost)
	if q.classes == nil {
		q.classes = map[class]*shares{}
	}
	pass.shares = q.classes[pass.class]
	if pass.shares == nil {
		pass.shares = newShares()
		q.classes[pass.class] = pass.shares
	}
	organisation := pass.request.Organisation
	if pass.request.Depth > 0 {
		organisation = ""
	}
	pass.share = pass.shares.of(organisation)
}

// push adds a pass that has joined.
func (q *passQueue) push(pass *Pass) {
	pass.index = len(q.passes)
	q.passes = append(q.passes, pass)
	pass.share.waiting++
	pass.share.held += pass.cost
}

// remove takes a pass out of the queue.
func (q *passQueue) remove(pass *Pass) {
	last := len(q.passes) - 1
	q.passes[pass.index] = q.passes[last]
	q.passes[pass.index].index = pass.index
	q.passes[last] = nil
	q.passes = q.passes[:last]
	pass.share.waiting--
	pass.share.held -= pass.cost
}

// next returns the pass that is granted next; the queue is not empty.
func (q *passQueue) next(now time.Time) *Pass {
	next := q.passes[0]
	for _, pass := range q.passes[1:] {
		if before(now, pass, next) {
			next = pass
		}
	}
	return next
}

// last returns the pass to shed from a full queue: of the least urgent class, one that is
// late, or else the last call of the organisation that holds most.
func (q *passQueue) last(now time.Time) *Pass {
	last := q.passes[0]
	for _, pass := range q.passes[1:] {
		if shedBefore(now, pass, last) {
			last = pass
		}
	}
	return last
}

// shedReason returns why a pass is shed from a full queue.
func (q *passQueue) shedReason(last *Pass) call.Reason {
	for _, pass := range q.passes {
		if pass.class == last.class && pass.share != last.share {
			return call.ReasonShare
		}
	}
	return call.ReasonOverload
}

// ahead estimates the service time of the queued passes that are granted before a pass
// that has joined.
func (q *passQueue) ahead(now time.Time, pass *Pass) time.Duration {
	sum, own := time.Duration(0), time.Duration(0)
	for _, other := range q.passes {
		other.share.ranked = 0
		switch {
		case other.class != pass.class || other.late(now) != pass.late(now):
			if before(now, other, pass) {
				sum += other.cost
			}
		case other.share == pass.share && before(now, other, pass):
			own += other.cost
		}
	}
	tag := pass.share.start + own
	for _, other := range q.passes {
		if other.class != pass.class || other.late(now) != pass.late(now) || other.share == pass.share {
			continue
		}
		if other.share.start+other.share.ranked <= tag {
			sum += other.cost
		}
		other.share.ranked += other.cost
	}
	return sum + own
}

// late reports whether a call that is not nested will miss its latency objective even if
// it starts now.
func (p *Pass) late(now time.Time) bool {
	return p.class.depth == 0 && !p.request.Objective.IsZero() && now.Add(p.cost).After(p.request.Objective)
}

// before reports whether a is granted before b.
func before(now time.Time, a, b *Pass) bool {
	if a.class != b.class {
		return a.class.before(b.class)
	}
	if late := a.late(now); late != b.late(now) {
		return !late
	}
	if a.share.start != b.share.start {
		return a.share.start < b.share.start
	}
	return earlier(a, b)
}

// shedBefore reports whether a is shed before b.
func shedBefore(now time.Time, a, b *Pass) bool {
	if a.class != b.class {
		return b.class.before(a.class)
	}
	if late := a.late(now); late != b.late(now) {
		return late
	}
	if a.share.held != b.share.held {
		return a.share.held > b.share.held
	}
	if a.share.start != b.share.start {
		return a.share.start > b.share.start
	}
	return earlier(b, a)
}

// before reports whether the calls of c are granted before those of other.
func (c class) before(other class) bool {
	if c.depth != other.depth {
		return c.depth > other.depth
	}
	return c.priority < other.priority
}

// earlier orders calls by deadline and arrival.
func earlier(a, b *Pass) bool {
	if !a.request.Deadline.Equal(b.request.Deadline) {
		return a.request.Deadline.Before(b.request.Deadline)
	}
	return a.sequence < b.sequence
}
