package admission

import (
	"sync"
	"time"

	"github.com/banyancross/banyancross/call"
)

const (
	// queueCapacityPerSlot is the queue's capacity in calls per slot. Nested calls go
	// beyond it as long as the measured drain rate serves them in time: they are short,
	// come in pulses, and each that is lost wastes the run that made it.
	queueCapacityPerSlot = 1.0
	// waitMargin is the ratio of the expected wait to the longest that is allowed from
	// which a call is rejected at once: the wait varies by half, as runs do.
	waitMargin = 1.5
	// nestedQueueShare is the share of its longest wait up to which a nested call is
	// queued beyond the capacity.
	nestedQueueShare = 0.5
	// coldStartShare is the share of the slots in use when a cold start begins.
	coldStartShare = 0.25
	// nestedThreshold is the share of nested calls from which a part of the
	// limit, nestedReserveShare, is reserved for them. Nested calls are short: a
	// fifth of the slots completes about as many of them as the rest completes
	// other calls.
	nestedThreshold    = 0.15
	nestedReserveShare = 0.2
	// nestedSampleWeight is the weight of one call in the moving average of the
	// share of nested calls, which thus covers about the last 50 calls.
	nestedSampleWeight = 0.02
	// serviceTimeWeight is the weight of a sample in the mean service time.
	serviceTimeWeight = 0.1
)

// Request describes a call that asks for admission.
type Request struct {
	// Deadline is the time by which the call must be answered.
	Deadline time.Time
	// Depth is the number of calls above this one in its chain.
	Depth int
	// Exclusive requires that no other call runs at the same time.
	Exclusive bool
	// Expected is the expected service time, 0 for the upstream's mean.
	Expected time.Duration
	// Priority orders calls of the same depth; lower is more urgent.
	Priority int
	// Organisation is the organisation of the caller, "" for none. Calls of the same
	// depth and priority share the gate by organisation.
	Organisation string
	// Immediate requires that the call starts at once or is rejected.
	Immediate bool
	// MaxWait is how long the call may be queued, 0 for no bound but the deadline.
	MaxWait time.Duration
	// Objective is the time by which an answer is in time, zero if late answers are as
	// good.
	Objective time.Time
}

// Gate admits calls to one upstream; it is safe for concurrent use.
type Gate struct {
	mu                sync.Mutex
	slots             int
	coldStartEnd      time.Time
	coldStartDuration time.Duration
	limiter           limiter
	maxUtilization    float64
	// nestedShare is the moving average of the share of nested calls.
	nestedShare      float64
	running          int
	exclusiveRunning bool
	queue            passQueue
	sequence         uint64
	draining         bool
	idle             chan struct{}
	idleClosed       bool
	// nested is the excess of nested calls.
	nested excess
}

// Option configures a Gate.
type Option func(*Gate)

// WithColdStart raises the limit linearly for duration, beginning at start.
func WithColdStart(start time.Time, duration time.Duration) Option {
	return func(g *Gate) {
		g.coldStartEnd = start.Add(duration)
		g.coldStartDuration = duration
	}
}

// WithMaxUtilization limits running calls to a share of the slots, above which
// the upstream would slow down. The limit does not adapt to the service time.
func WithMaxUtilization(share float64) Option {
	return func(g *Gate) {
		g.maxUtilization = share
		g.limiter.fixed = true
	}
}

// SetMaxUtilization changes the share of the slots that may be in use.
func (g *Gate) SetMaxUtilization(share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.maxUtilization = share
}

// NewGate returns a Gate for an upstream that runs up to slots calls at a time.
func NewGate(slots int, options ...Option) *Gate {
	g := &Gate{slots: max(slots, 1), maxUtilization: 1, idle: make(chan struct{})}
	g.limiter = newLimiter(g.slots)
	for _, option := range options {
		option(g)
	}
	return g
}

// Resize changes the number of slots; running calls continue.
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

// Admit returns a Pass, which may be queued, or the reason for rejecting the
// call.
func (g *Gate) Admit(now time.Time, request Request) (*Pass, *call.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return nil, call.Refuse(call.NotRun, call.ReasonLeaving)
	}
	if !request.Deadline.After(now) {
		return nil, call.Refuse(call.NotRun, call.ReasonDeadline)
	}
	g.observeNesting(request)
	g.nested.advance(now)
	g.sequence++
	pass := &Pass{gate: g, request: request, arrived: now, sequence: g.sequence, ready: make(chan struct{})}
	g.queue.join(pass, g.expectedServiceTime(request))
	if g.queue.Len() == 0 && g.canStart(now, request) {
		g.arrive(request)
		g.grant(now, pass)
		return pass, nil
	}
	if request.Immediate {
		return nil, call.Refuse(call.NotRun, call.ReasonOverload)
	}
	g.arrive(request)
	refusal := g.enqueue(now, pass)
	if refusal != nil {
		g.lose(request, refusal.Reason())
		return nil, refusal
	}
	return pass, nil
}

// arrive counts a call for the excess.
func (g *Gate) arrive(request Request) {
	if request.Depth > 0 {
		g.nested.arrivals++
	}
}

// lose counts a call for the excess that was not granted. What is shed for the share of its
// organisation, or whose caller left, is no sign that there is no room.
func (g *Gate) lose(request Request, reason call.Reason) {
	if request.Depth > 0 && (reason == call.ReasonOverload || reason == call.ReasonDeadline) {
		g.nested.lost++
	}
}

// LoseNested counts a nested call for the excess that the upstream has no room for by a
// limit other than its slots; admitted means that Admit has counted its arrival.
func (g *Gate) LoseNested(now time.Time, admitted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nested.advance(now)
	if !admitted {
		g.nested.arrivals++
	}
	g.nested.lost++
}

// push queues a pass.
func (g *Gate) push(pass *Pass) {
	g.queue.push(pass)
	if pass.request.Depth > 0 {
		g.nested.queue(1)
	}
}

// remove takes a pass out of the queue.
func (g *Gate) remove(pass *Pass) {
	g.queue.remove(pass)
	if pass.request.Depth > 0 {
		g.nested.queue(-1)
	}
}

// enqueue queues the pass unless it would miss its deadline or wait for too long; a full
// queue sheds a call of the least depth, and there of the organisation that holds most.
func (g *Gate) enqueue(now time.Time, pass *Pass) *call.Refusal {
	limit := time.Duration(g.limit(now))
	ahead := g.queue.ahead(now, pass)
	if wait := (g.limiter.serviceTime + ahead) / limit; now.Add(wait + g.expectedServiceTime(pass.request)).After(pass.request.Deadline) {
		return call.Refuse(call.NotRun, call.ReasonDeadline)
	}
	maxWait := pass.request.MaxWait
	if maxWait > 0 && float64(ahead/limit) > waitMargin*float64(maxWait) {
		return call.Refuse(call.NotRun, call.ReasonOverload)
	}
	g.push(pass)
	if g.queue.Len() <= g.queueCapacity() {
		return nil
	}
	last := g.queue.last(now)
	if last.request.Depth > 0 && g.limiter.serviceTime > 0 && float64(ahead/limit) <= nestedQueueShare*float64(maxWait) {
		// Only nested calls are queued, which are bounded by their waits.
		return nil
	}
	reason := g.queue.shedReason(last)
	if last == pass {
		g.remove(pass)
		return call.Refuse(call.NotRun, reason)
	}
	g.shed(last, reason)
	return nil
}

// expectedServiceTime returns the request's own estimate or else the mean.
func (g *Gate) expectedServiceTime(request Request) time.Duration {
	if request.Expected > 0 {
		return request.Expected
	}
	return g.limiter.serviceTime
}

func (g *Gate) queueCapacity() int {
	return max(1, int(queueCapacityPerSlot*float64(g.slots)))
}

// shed rejects a queued pass.
func (g *Gate) shed(pass *Pass, reason call.Reason) {
	g.remove(pass)
	g.lose(pass.request, reason)
	pass.refusal = call.Refuse(call.NotRun, reason)
	close(pass.ready)
}

func (g *Gate) canStart(now time.Time, request Request) bool {
	if g.exclusiveRunning {
		return false
	}
	if request.Exclusive {
		return g.running == 0
	}
	return g.running < g.limitFor(now, request)
}

// limitFor returns how many calls may run, the request included. When nested
// calls are frequent, other calls leave them a part of the limit, because each
// nested call occupies a slot of another upstream while it waits.
func (g *Gate) limitFor(now time.Time, request Request) int {
	limit := max(1, int(g.maxUtilization*float64(g.limit(now))))
	if g.maxUtilization == 1 || request.Depth > 0 || g.nestedShare < nestedThreshold {
		return limit
	}
	return max(1, limit-int(nestedReserveShare*float64(limit)+0.5))
}

// observeNesting updates the share of nested calls.
func (g *Gate) observeNesting(request Request) {
	sample := 0.0
	if request.Depth > 0 {
		sample = 1
	}
	g.nestedShare += nestedSampleWeight * (sample - g.nestedShare)
}

func (g *Gate) grant(now time.Time, pass *Pass) {
	g.running++
	g.exclusiveRunning = pass.request.Exclusive
	pass.granted = true
	pass.started = now
	pass.shares.granted(pass.share, pass.cost)
	if pass.delayed(now) {
		g.nested.lost++
	}
	close(pass.ready)
}

// dispatch grants queued passes while the limit allows, and sheds those whose
// time left is less than half of their expected service time.
func (g *Gate) dispatch(now time.Time) {
	for g.queue.Len() > 0 {
		next := g.queue.next(now)
		if next.request.Deadline.Before(now.Add(g.expectedServiceTime(next.request) / 2)) {
			g.shed(next, call.ReasonDeadline)
			continue
		}
		if !g.canStart(now, next.request) {
			break
		}
		g.remove(next)
		g.grant(now, next)
	}
	if g.draining && g.running == 0 && !g.idleClosed {
		g.idleClosed = true
		close(g.idle)
	}
}

// limit returns the limit that follows from the service time and the cold
// start, at least one.
func (g *Gate) limit(now time.Time) int {
	limit := g.limiter.limit
	if now.Before(g.coldStartEnd) {
		remaining := float64(g.coldStartEnd.Sub(now)) / float64(g.coldStartDuration)
		coldLimit := float64(g.slots) * (1 - remaining*(1-coldStartShare))
		limit = min(limit, coldLimit)
	}
	return max(1, int(limit))
}

// Drain rejects new and queued calls; running calls continue. The channel is
// closed when the last of them has ended.
func (g *Gate) Drain(now time.Time) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	for last := g.queue.Len() - 1; last >= 0; last-- {
		g.shed(g.queue.passes[last], call.ReasonLeaving)
	}
	g.dispatch(now)
	return g.idle
}

// Draining reports whether Drain was called.
func (g *Gate) Draining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// Load returns the load report that is sent with each answer.
func (g *Gate) Load(now time.Time) call.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nested.advance(now)
	return call.Load{
		Running:      uint32(g.running),
		Waiting:      uint32(g.queue.Len()),
		Limit:        uint32(g.limitFor(now, Request{})),
		ServiceTime:  g.limiter.serviceTime,
		NestedExcess: float32(g.nested.rejected),
	}
}
