package admission_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/banyancross/banyancross/admission"
	"github.com/banyancross/banyancross/call"
)

// kind is a kind of request of a replay.
type kind struct {
	name, service string
	// rate is in requests per second.
	rate      func(since time.Duration) float64
	work      time.Duration
	objective time.Duration
	timeout   time.Duration
	priority  int
	// nested is the service of the two calls that a run sends together and waits for,
	// each for nestedWork, "" for none.
	nested       string
	nestedWork   time.Duration
	organisation string
	// retries is how often callers repeat after a rejection, and atOnce that they do so
	// without regard to Retry-After.
	retries int
	atOnce  bool
}

// tally counts the requests that began in a period.
type tally struct {
	asked, served, late, rejected, failed int
	// wait is the total time from the first attempt to a rejection.
	wait time.Duration
}

// share returns the share served in time.
func (t tally) share() float64 { return float64(t.served) / float64(max(t.asked, 1)) }

// replay runs requests against gates on a simulated clock.
type replay struct {
	now    time.Time
	events eventQueue
	order  int
	rng    *rand.Rand
	gates  map[string][]*replayGate
	// entries are the levels of the entry nodes, nil to admit all requests.
	entries []*admission.Levels
	// sampled is the level of studio's nested calls at an entry node, each 100 ms.
	sampled []float64
	// ignoreObjectives means that gates order calls by deadline only.
	ignoreObjectives bool

	byKind         map[string]*tally
	byOrganisation map[string]*tally
	bySecond       map[int]*tally
	// work and wasted are the slot times of all runs and of those whose answer did not
	// reach a caller.
	work, wasted time.Duration
	// meanTimes is the mean duration of an attempt, by service.
	meanTimes map[string]time.Duration
}

type replayGate struct {
	gate          *admission.Gate
	service, name string
	// slow multiplies the service times; gone means that no call reaches it.
	slow   float64
	gone   bool
	queued []*attempt
}

// attempt is a call at a gate; done is called once with whether it was answered.
type attempt struct {
	gate    *replayGate
	pass    *admission.Pass
	work    time.Duration
	sent    time.Time
	started func(a *attempt)
	refused func(call.Reason)
	closed  bool
}

func newReplay(seed uint64) *replay {
	return &replay{
		now: now, rng: rand.New(rand.NewPCG(seed, seed)), gates: map[string][]*replayGate{},
		byKind: map[string]*tally{}, byOrganisation: map[string]*tally{}, bySecond: map[int]*tally{}, meanTimes: map[string]time.Duration{},
	}
}

func (r *replay) addGates(service string, count int) {
	const slots = 6
	for i := range count {
		r.gates[service] = append(r.gates[service], &replayGate{
			gate: admission.NewGate(slots, admission.WithMaxUtilization(1)), service: service, name: fmt.Sprint(service, i), slow: 1,
		})
	}
}

func (r *replay) since() time.Duration { return r.now.Sub(now) }

// after calls f at a later time.
func (r *replay) after(d time.Duration, f func()) {
	r.order++
	heap.Push(&r.events, &event{at: r.now.Add(d), order: r.order, f: f})
}

// offer starts a kind's requests until the end of the demand.
func (r *replay) offer(k *kind, end time.Duration) {
	gap := time.Duration(r.rng.ExpFloat64() / k.rate(r.since()) * float64(time.Second))
	r.after(gap, func() {
		if r.since() < end {
			r.request(k)
			r.offer(k, end)
		}
	})
}

// run plays all events.
func (r *replay) run() {
	for r.events.Len() > 0 {
		e := heap.Pop(&r.events).(*event)
		r.now = e.at
		e.f()
	}
}

// service returns a service time: 3 % of the runs take seven times as long.
func (r *replay) serviceTime(work time.Duration) time.Duration {
	if r.rng.IntN(100) < 3 {
		return 7 * work
	}
	return work
}

// choose returns the gate with the least load of three that were not tried, nil if none
// is left.
func (r *replay) choose(service string, tried map[*replayGate]bool) *replayGate {
	var left []*replayGate
	for _, g := range r.gates[service] {
		if !g.gone && !tried[g] {
			left = append(left, g)
		}
	}
	r.rng.Shuffle(len(left), func(i, j int) { left[i], left[j] = left[j], left[i] })
	var best *replayGate
	lowest := 0.0
	for _, g := range left[:min(3, len(left))] {
		load := g.gate.Load(r.now)
		cost := float64(load.Running+load.Waiting) / float64(load.Limit)
		if best == nil || cost < lowest {
			best, lowest = g, cost
		}
	}
	return best
}

// request begins a request of a caller.
func (r *replay) request(k *kind) {
	counts := []*tally{count(r.byKind, k.name), count(r.byOrganisation, k.organisation), count(r.bySecond, int(r.since()/time.Second))}
	for _, t := range counts {
		t.asked++
	}
	entry := 0
	if len(r.entries) > 0 {
		entry = r.rng.IntN(len(r.entries))
	}
	r.attempt(k, counts, r.now, k.retries, entry)
}

func count[K comparable](tallies map[K]*tally, key K) *tally {
	if tallies[key] == nil {
		tallies[key] = &tally{}
	}
	return tallies[key]
}

// retryAfter returns the Retry-After of a rejection.
func (r *replay) retryAfter() time.Duration {
	return 80*time.Millisecond + time.Duration(r.rng.Int64N(int64(120*time.Millisecond)))
}

// attempt sends a request that came first at begun.
func (r *replay) attempt(k *kind, counts []*tally, begun time.Time, retries, entry int) {
	deadline := begun.Add(k.timeout)
	reject := func(after time.Duration) {
		left := deadline.Sub(r.now)
		if k.atOnce {
			after = time.Millisecond
		}
		after = min(after, left/3)
		if retries > 0 && after > 0 {
			r.after(after, func() { r.attempt(k, counts, begun, retries-1, entry) })
			return
		}
		for _, t := range counts {
			t.rejected++
			t.wait += r.now.Sub(begun)
		}
	}
	if !r.withinLevel(k, begun, entry) {
		reject(r.retryAfter())
		return
	}
	request := admission.Request{
		Deadline: deadline, Priority: k.priority, Organisation: k.organisation, Expected: k.work,
		Objective: begun.Add(k.objective),
	}
	started := func(a *attempt) { r.execute(k, a, counts, begun) }
	r.call(k.service, request, k.work, begun, begun.Add(k.objective), started, func(call.Reason) { reject(150 * time.Millisecond) })
}

// call sends a call to up to two gates that may queue it.
func (r *replay) call(service string, request admission.Request, work time.Duration, begun, objective time.Time, started func(*attempt), refused func(call.Reason)) {
	tried := map[*replayGate]bool{}
	var next func(call.Reason)
	next = func(reason call.Reason) {
		g := r.choose(service, tried)
		if len(tried) == 2 || g == nil || !request.Deadline.After(r.now) {
			refused(reason)
			return
		}
		tried[g] = true
		wait := request.Deadline.Sub(r.now) / 2
		if request.Depth == 0 {
			left := objective.Sub(begun)
			wait = min(wait, max(objective.Sub(r.now)-r.meanTimes[service], left*15/100), left*4/10)
		}
		r.admit(&attempt{gate: g, work: work, started: started, refused: next}, request, wait)
	}
	next(call.ReasonOverload)
}

// admit asks a gate and waits up to wait for its pass.
func (r *replay) admit(a *attempt, request admission.Request, wait time.Duration) {
	request.MaxWait = wait
	if r.ignoreObjectives {
		request.Objective = time.Time{}
	}
	pass, refusal := a.gate.gate.Admit(r.now, request)
	if refusal != nil {
		r.settle(a.gate)
		r.answered(a.gate)
		a.refused(refusal.Reason())
		return
	}
	a.pass, a.sent = pass, r.now
	a.gate.queued = append(a.gate.queued, a)
	r.settle(a.gate)
	if !a.closed {
		r.after(wait, func() {
			if !a.closed {
				a.closed = true
				pass.Expire()
				r.answered(a.gate)
				a.refused(call.ReasonOverload)
			}
		})
	}
}

// settle starts the granted calls of a gate and ends the shed ones.
func (r *replay) settle(g *replayGate) {
	var left, ready []*attempt
	for _, a := range g.queued {
		if a.closed {
			continue
		}
		select {
		case <-a.pass.Ready():
			a.closed = true
			ready = append(ready, a)
		default:
			left = append(left, a)
		}
	}
	g.queued = left
	for _, a := range ready {
		if refusal := a.pass.Refusal(); refusal != nil {
			a.refused(refusal.Reason())
		} else {
			a.started(a)
		}
	}
}

// end frees the slot of a call that ran since started.
func (r *replay) end(a *attempt, started time.Time, useful bool) {
	a.pass.End(r.now, true)
	r.answered(a.gate)
	r.work += r.now.Sub(started)
	if !useful {
		r.wasted += r.now.Sub(started)
	}
	r.settle(a.gate)
}

// execute runs a request: its own work, then its nested calls, both at once.
func (r *replay) execute(k *kind, a *attempt, counts []*tally, begun time.Time) {
	started, deadline := r.now, begun.Add(k.timeout)
	open, failed := 1, false
	finish := func(ok bool) {
		open--
		failed = failed || !ok
		if open > 0 {
			return
		}
		elapsed := r.now.Sub(begun)
		r.meanTimes[k.service] += (r.now.Sub(a.sent) - r.meanTimes[k.service]) / 20
		r.end(a, started, !failed && elapsed < k.timeout)
		for _, t := range counts {
			switch {
			case failed || elapsed >= k.timeout:
				t.failed++
			case elapsed > k.objective:
				t.late++
			default:
				t.served++
			}
		}
	}
	own := time.Duration(a.gate.slow * float64(r.serviceTime(k.work)))
	r.after(own, func() {
		if k.nested == "" {
			finish(true)
			return
		}
		open = 2
		for range 2 {
			nested := admission.Request{Deadline: earliest(deadline, r.now.Add(300*time.Millisecond)), Depth: 1, Expected: k.nestedWork}
			r.call(k.nested, nested, k.nestedWork, r.now, nested.Deadline, func(b *attempt) {
				began := r.now
				r.after(time.Duration(b.gate.slow*float64(r.serviceTime(k.nestedWork))), func() {
					r.end(b, began, true)
					finish(r.now.Before(nested.Deadline))
				})
			}, func(call.Reason) { finish(false) })
		}
	})
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// within adds up the tallies of the seconds from, up to to.
func (r *replay) within(from, to int) tally {
	sum := tally{}
	for i := from; i < to; i++ {
		if t := r.bySecond[i]; t != nil {
			sum.asked, sum.served = sum.asked+t.asked, sum.served+t.served
		}
	}
	return sum
}

// worst returns the least share served in time in two seconds of the demand.
func (r *replay) worst() float64 {
	lowest := 1.0
	for i := range len(r.bySecond) - 1 {
		lowest = min(lowest, r.within(i, i+2).share())
	}
	return lowest
}

// event is a call of f at a time.
type event struct {
	at    time.Time
	order int
	f     func()
}

// eventQueue is a heap of events by time.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
