package admission

import (
	"container/heap"
	"time"

	"github.com/banyancross/banyancross/call"
)

// Pass is a call that the admission gate has queued or granted.
type Pass struct {
	gate     *Gate
	request  Request
	sequence uint64
	index    int
	ready    chan struct{}
	granted  bool
	ended    bool
	started  time.Time
	refusal  *call.Refusal
}

// Ready is closed when the pass is granted or rejected.
func (p *Pass) Ready() <-chan struct{} { return p.ready }

// Refusal returns why the pass was rejected, nil when it was granted; it is set
// once Ready is closed.
func (p *Pass) Refusal() *call.Refusal {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	return p.refusal
}

// Abandon removes the pass from the queue when its caller stops waiting. It
// reports whether the pass was already granted; then End must still be called.
func (p *Pass) Abandon() bool {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	if p.granted {
		return true
	}
	if p.refusal == nil {
		p.gate.shed(p, call.ReasonCancelled)
	}
	return false
}

// End frees the slot; if answered, the call's run time is a sample of the
// service time.
func (p *Pass) End(now time.Time, answered bool) {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if !p.granted || p.ended {
		return
	}
	p.ended = true
	if answered {
		g.limiter.observe(now, now.Sub(p.started), g.running)
	}
	g.running--
	if p.request.Exclusive {
		g.exclusiveRunning = false
	}
	g.dispatch(now)
}

// Restart sets the start of the run, for a call that is sent later than it was granted.
func (p *Pass) Restart(now time.Time) {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.started = now
}

// passQueue is a heap ordered by depth, deepest first, then by priority,
// deadline and arrival.
type passQueue struct {
	passes []*Pass
}

var _ heap.Interface = (*passQueue)(nil)

// Len implements heap.Interface.
func (q *passQueue) Len() int { return len(q.passes) }

// Less implements heap.Interface.
func (q *passQueue) Less(i, j int) bool { return before(q.passes[i], q.passes[j]) }

// Swap implements heap.Interface.
func (q *passQueue) Swap(i, j int) {
	q.passes[i], q.passes[j] = q.passes[j], q.passes[i]
	q.passes[i].index = i
	q.passes[j].index = j
}

// Push implements heap.Interface.
func (q *passQueue) Push(x any) {
	pass := x.(*Pass)
	pass.index = len(q.passes)
	q.passes = append(q.passes, pass)
}

// Pop implements heap.Interface.
func (q *passQueue) Pop() any {
	last := len(q.passes) - 1
	pass := q.passes[last]
	q.passes[last] = nil
	q.passes = q.passes[:last]
	return pass
}

// ahead counts the passes that would be granted before pass.
func (q *passQueue) ahead(pass *Pass) int {
	count := 0
	for _, other := range q.passes {
		if before(other, pass) {
			count++
		}
	}
	return count
}

// last returns the pass that would be granted last.
func (q *passQueue) last() *Pass {
	last := q.passes[0]
	for _, pass := range q.passes[1:] {
		if before(last, pass) {
			last = pass
		}
	}
	return last
}

func before(a, b *Pass) bool {
	if a.request.Depth != b.request.Depth {
		return a.request.Depth > b.request.Depth
	}
	if a.request.Priority != b.request.Priority {
		return a.request.Priority < b.request.Priority
	}
	if !a.request.Deadline.Equal(b.request.Deadline) {
		return a.request.Deadline.Before(b.request.Deadline)
	}
	return a.sequence < b.sequence
}
