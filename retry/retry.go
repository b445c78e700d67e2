package retry

import (
	"sync"
	"time"

	"github.com/banyancross/banyancross/call"
)

const (
	// maxCredit is the number of retries in a full budget.
	maxCredit = 10.0
	// MaxAttempts bounds the attempts of one call, the first included.
	MaxAttempts = 4
)

// Budget limits retries to a share of first attempts; it is safe for concurrent
// use.
type Budget struct {
	mu      sync.Mutex
	share   float64
	credit  float64
	retries uint64
}

// NewBudget returns a full Budget that gains share retries per call.
func NewBudget(share float64) *Budget {
	return &Budget{share: share, credit: maxCredit}
}

// SetShare changes how many retries the budget gains per call.
func (b *Budget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
}

// Deposit adds the share of one first attempt to the budget.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.credit+b.share, maxCredit)
}

// Spend takes one retry from the budget and reports whether there was one.
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
	// Reason is why the attempt failed or was rejected.
	Reason call.Reason
	// Idempotent is set if the call may run more than once.
	Idempotent bool
	// Replayable is set if the request body can be sent again.
	Replayable bool
	// Depth is the number of calls above this one in its chain.
	Depth int
	// Remaining is the time left until the deadline.
	Remaining time.Duration
	// Expected is the expected duration of another attempt.
	Expected time.Duration
}

// Allowed reports whether the attempt may be followed by another, regardless of
// the budget.
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
	// At a depth above zero, the entry node of the outermost call retries a call
	// that may have run.
	return a.Outcome == call.Unknown && a.Idempotent && a.Depth == 0
}
