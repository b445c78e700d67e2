package admission

import (
	"container/heap"
	"sync"
	"time"

	"github.com/banyancross/banyancross/call"
)

const (
	// queuePerSlot bounds the queue as a share of the slots.
	queuePerSlot = 1.0
	// coldShare is the share of the slots open at the start of a cold start.
	coldShare = 0.25
	// nestedShare is the share of nested calls from which part of the slots is
	// kept for them, and nestedReserve is that part. Nested calls are short: a
	// fifth of the slots runs about as many of them as the rest runs others.
	nestedShare   = 0.15
	nestedReserve = 0.2
	// nestedWeight is the weight of a call in the share of nested calls, which
	// thus is over the last fifty calls.
	nestedWeight = 0.02
	// serviceWeight is the weight of a new sample in the service time.
	serviceWeight = 0.1
)

// Request is what the gate needs to know about a call.
type Request struct {
	// Deadline is when the answer is no longer wanted.
	Deadline time.Time
	// Depth counts the calls above this one in its chain.
	Depth int
	// Exclusive asks that nothing else runs meanwhile.
	Exclusive bool
	// Expected is how long the call is expected to run, 0 for as long as calls
	// usually do.
	Expected time.Duration
	// Priority is lower for more urgent calls of the same depth.
	Priority int
}

// Gate admits calls to one upstream; it is safe for concurrent use.
type Gate struct {
	mu        sync.Mutex
	slots     int
	coldUntil time.Time
	coldSpan  time.Duration
	limiter   limiter
	knee      float64
	// nested is the share of nested calls among those that asked lately.
	nested      float64
	running     int
	aloneActive bool
	queue       passQueue
	sequence    uint64
	leaving     bool
	idle        chan struct{}
	idleClosed  bool
}

// Option configures a Gate.
type Option func(*Gate)

// WithColdStart makes the limit rise over span from start.
func WithColdStart(start time.Time, span time.Duration) Option {
	return func(g *Gate) {
		g.coldUntil = start.Add(span)
		g.coldSpan = span
	}
}

// WithMaxUtilization runs no more calls than a share of the slots, above which the
// upstream would slow down. The limit does not follow the service time.
func WithMaxUtilization(share float64) Option {
	return func(g *Gate) {
		g.knee = share
		g.limiter.fixed = true
	}
}

// SetMaxUtilization changes the share of the slots that are used.
func (g *Gate) SetMaxUtilization(share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.knee = share
}

// NewGate returns a Gate for an upstream that runs up to slots calls.
func NewGate(slots int, options ...Option) *Gate {
	g := &Gate{slots: max(slots, 1), knee: 1, idle: make(chan struct{})}
	g.limiter = newLimiter(g.slots)
	for _, option := range options {
		option(g)
	}
	return g
}

// Resize changes the number of slots; calls that run keep running.
func (g *Gate) Resize(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if slots < 1 || slots == g.slots {
		return
	}
	g.slots = slots
	fixed := g.limiter.fixed
	g.limiter = newLimiter(slots)
	g.limiter.fixed = fixed
}

// Admit returns a Pass, which may have to wait, or the refusal.
func (g *Gate) Admit(now time.Time, request Request) (*Pass, *call.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving {
		return nil, call.Refuse(call.NotRun, call.ReasonLeaving)
	}
	if !request.Deadline.After(now) {
		return nil, call.Refuse(call.NotRun, call.ReasonDeadline)
	}
	g.admitted(request)
	g.sequence++
	pass := &Pass{gate: g, request: request, sequence: g.sequence, ready: make(chan struct{})}
	if g.queue.Len() == 0 && g.fits(now, request) {
		g.grant(now, pass)
		return pass, nil
	}
	refusal := g.enqueue(now, pass)
	if refusal != nil {
		return nil, refusal
	}
	return pass, nil
}

// enqueue puts the pass in the queue unless its deadline cannot be met; a full
// queue sheds its shallowest call.
func (g *Gate) enqueue(now time.Time, pass *Pass) *call.Refusal {
	ahead := g.queue.ahead(pass)
	limit := g.limit(now)
	service := g.limiter.service
	wait := service * time.Duration(ahead+1) / time.Duration(limit)
	if now.Add(wait + g.expected(pass.request)).After(pass.request.Deadline) {
		return call.Refuse(call.NotRun, call.ReasonDeadline)
	}
	heap.Push(&g.queue, pass)
	if g.queue.Len() <= g.queueCapacity() {
		return nil
	}
	last := g.queue.last()
	if last == pass {
		heap.Remove(&g.queue, pass.index)
		return call.Refuse(call.NotRun, call.ReasonOverload)
	}
	g.shed(last, call.ReasonOverload)
	return nil
}

// expected returns how long a call is expected to run.
func (g *Gate) expected(request Request) time.Duration {
	if request.Expected > 0 {
		return request.Expected
	}
	return g.limiter.service
}

func (g *Gate) queueCapacity() int {
	return max(1, int(queuePerSlot*float64(g.slots)))
}

// shed refuses a pass that waits.
func (g *Gate) shed(pass *Pass, reason call.Reason) {
	heap.Remove(&g.queue, pass.index)
	pass.refusal = call.Refuse(call.NotRun, reason)
	close(pass.ready)
}

func (g *Gate) fits(now time.Time, request Request) bool {
	if g.aloneActive {
		return false
	}
	if request.Exclusive {
		return g.running == 0
	}
	return g.running < g.allowance(now, request)
}

// allowance returns how many calls may run beside and with the request. Part of
// them is kept for calls that other upstreams make while they hold a slot, if
// there are such.
func (g *Gate) allowance(now time.Time, request Request) int {
	limit := max(1, int(g.knee*float64(g.limit(now))))
	if g.knee == 1 || request.Depth > 0 || g.nested < nestedShare {
		return limit
	}
	return max(1, limit-int(nestedReserve*float64(limit)+0.5))
}

// admitted follows the share of nested calls.
func (g *Gate) admitted(request Request) {
	sample := 0.0
	if request.Depth > 0 {
		sample = 1
	}
	g.nested += nestedWeight * (sample - g.nested)
}

func (g *Gate) grant(now time.Time, pass *Pass) {
	g.running++
	g.aloneActive = pass.request.Exclusive
	pass.granted = true
	pass.started = now
	close(pass.ready)
}

// dispatch grants passes from the queue while they fit.
func (g *Gate) dispatch(now time.Time) {
	for g.queue.Len() > 0 {
		next := g.queue.passes[0]
		if next.request.Deadline.Before(now.Add(g.expected(next.request) / 2)) {
			g.shed(next, call.ReasonDeadline)
			continue
		}
		if !g.fits(now, next.request) {
			break
		}
		heap.Pop(&g.queue)
		g.grant(now, next)
	}
	if g.leaving && g.running == 0 && !g.idleClosed {
		g.idleClosed = true
		close(g.idle)
	}
}

// limit returns how many calls may run now, at least one.
func (g *Gate) limit(now time.Time) int {
	limit := g.limiter.limit
	if now.Before(g.coldUntil) {
		left := float64(g.coldUntil.Sub(now)) / float64(g.coldSpan)
		warm := float64(g.slots) * (1 - left*(1-coldShare))
		limit = min(limit, warm)
	}
	return max(1, int(limit))
}

// Drain refuses new calls and those that wait; calls that run go on. The
// channel is closed when the last of them has ended.
func (g *Gate) Drain(now time.Time) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	for g.queue.Len() > 0 {
		g.shed(g.queue.passes[0], call.ReasonLeaving)
	}
	g.dispatch(now)
	return g.idle
}

// Draining tells whether Leave was called.
func (g *Gate) Draining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaving
}

// Load returns the report sent with each answer.
func (g *Gate) Load(now time.Time) call.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return call.Load{
		Running:     uint32(g.running),
		Waiting:     uint32(g.queue.Len()),
		Limit:       uint32(g.allowance(now, Request{})),
		ServiceTime: g.limiter.service,
	}
}
