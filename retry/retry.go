package retry

import (
	"sync"
	"time"

	"github.com/banyancross/banyancross/call"
)

const (
	// burst is how many retries a full budget holds.
	burst = 10.0
	// MaxAttempts bounds the attempts of one call, the first included.
	MaxAttempts = 4
)

// Budget bounds retries to a share of first attempts.
type Budget struct {
	mu      sync.Mutex
	share   float64
	credit  float64
	retries uint64
}

// NewBudget returns a full Budget that grows by share, in retries per call.
func NewBudget(share float64) *Budget {
	return &Budget{share: share, credit: burst}
}

// SetShare changes the growth of the budget, in retries per call.
func (b *Budget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
}

// Deposit records a first attempt.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.credit+b.share, burst)
}

// Spend takes one retry from the budget and tells whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < 1 {
		return false
	}
	b.credit--
	b.retries++
	return true
}

// Retries returns how many retries were spent.
func (b *Budget) Retries() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retries
}

// Attempt describes a failed attempt.
type Attempt struct {
	// Number counts attempts from 1.
	Number int
	// Outcome is how the attempt ended.
	Outcome call.Outcome
	// Reason is why it was refused.
	Reason call.Reason
	// Idempotent tells whether a second run is harmless.
	Idempotent bool
	// Replayable tells whether the request body can be sent again.
	Replayable bool
	// Depth counts the calls above this one in its chain.
	Depth int
	// Remaining is the time left until the deadline.
	Remaining time.Duration
	// Expected is the time another attempt is expected to take.
	Expected time.Duration
}

// Allowed tells whether the attempt may be followed by another, budget aside.
func Allowed(a Attempt) bool {
	if a.Number >= MaxAttempts {
		return false
	}
	if !a.Replayable || a.Remaining <= a.Expected {
		return false
	}
	if a.Reason == call.ReasonCancelled || a.Reason == call.ReasonQuarantined {
		return false
	}
	if a.Outcome == call.NotRun {
		return true
	}
	// Above depth zero the caller's own entry node retries an unproven failure.
	return a.Outcome == call.Unknown && a.Idempotent && a.Depth == 0
}
