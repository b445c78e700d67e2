package admission

import (
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
	arrived  time.Time
	started  time.Time
	refusal  *call.Refusal

	class  class
	shares *shares
	share  *share
	// cost is the expected service time.
	cost time.Duration
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
func (p *Pass) Abandon() bool { return p.abandon(call.ReasonCancelled) }

// Expire is Abandon for a pass that has been queued for its longest wait, which counts as
// a call that there was no room for.
func (p *Pass) Expire() bool { return p.abandon(call.ReasonOverload) }

func (p *Pass) abandon(reason call.Reason) bool {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	if p.granted {
		return true
	}
	if p.refusal == nil {
		p.gate.shed(p, reason)
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
	// A call that holds its slot for longer than expected, as with a caller that reads
	// slowly, counts for as long as it did.
	p.share.start += min(max(now.Sub(p.started)-p.cost, 0), maxExcess*p.cost)
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

// delayed reports whether a nested call waited for so long that its run will be late.
func (p *Pass) delayed(now time.Time) bool {
	maxWait := p.request.MaxWait
	return p.class.depth > 0 && maxWait > 0 && float64(now.Sub(p.arrived)) > delayedShare*float64(maxWait)
}
