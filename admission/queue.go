package admission

import (
	"time"

	"github.com/banyancross/banyancross/call"
)

// passQueue holds the queued passes. They are granted by depth of the call chain,
// deepest first, then by priority, share of the organisation, deadline and arrival.
// It is as short as the upstream has slots, so that it is searched from end to end.
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
func (q *passQueue) next() *Pass {
	next := q.passes[0]
	for _, pass := range q.passes[1:] {
		if before(pass, next) {
			next = pass
		}
	}
	return next
}

// last returns the pass to shed from a full queue: of the least urgent class, the last
// call of the organisation that holds most.
func (q *passQueue) last() *Pass {
	last := q.passes[0]
	for _, pass := range q.passes[1:] {
		if shedBefore(pass, last) {
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

// ahead estimates how many queued passes are granted before a pass that has joined.
func (q *passQueue) ahead(pass *Pass) int {
	count, own := 0, 0
	for _, other := range q.passes {
		other.share.rank = 0
		switch {
		case other.class != pass.class:
			if before(other, pass) {
				count++
			}
		case other.share == pass.share && before(other, pass):
			own++
		}
	}
	tag := pass.share.start + time.Duration(own)*pass.cost
	for _, other := range q.passes {
		if other.class != pass.class || other.share == pass.share {
			continue
		}
		if other.share.start+time.Duration(other.share.rank)*other.cost <= tag {
			count++
		}
		other.share.rank++
	}
	return count + own
}

// before reports whether a is granted before b.
func before(a, b *Pass) bool {
	if a.class != b.class {
		return a.class.before(b.class)
	}
	if a.share.start != b.share.start {
		return a.share.start < b.share.start
	}
	return earlier(a, b)
}

// shedBefore reports whether a is shed before b.
func shedBefore(a, b *Pass) bool {
	if a.class != b.class {
		return b.class.before(a.class)
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
