package ingress

import (
	"time"

	"github.com/banyancross/banyancross/fleet"
)

// RetryBudgets is the retry budget of a node that knows no other one, for one service.
type RetryBudgets struct{ b *retryBudgets }

// NewRetryBudgets returns the RetryBudgets of a process.
func NewRetryBudgets(bounds RetryBudget, started time.Time) RetryBudgets {
	return RetryBudgets{newRetryBudgets(bounds, fleet.NewView(), started, 0)}
}

// Spend charges a retry at now, and returns nil if the budget does not allow it.
func (r RetryBudgets) Spend(now time.Time) *RetryCharge {
	c := newRetryCharge("stock", nil)
	if !r.b.spend(now, c, 0) {
		return nil
	}
	return &RetryCharge{c}
}

// RetryCharge is what a retry was charged.
type RetryCharge struct{ c *retryCharge }

// Refund returns a charge at now.
func (r RetryBudgets) Refund(now time.Time, c *RetryCharge) { r.b.refund(now, c.c) }

// SetMeanSize sets the mean length of a route's responses, in bytes.
func (in *Ingress) SetMeanSize(route string, bytes int64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.meanSizes[route] = bytes
}

// TakeUsage returns the usage since the latest call.
func (r RetryBudgets) TakeUsage(now time.Time) []RetryUsage { return r.b.takeUsage(now) }
