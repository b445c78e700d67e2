package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/retry"
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

func attempt(change func(*retry.Attempt)) retry.Attempt {
	a := retry.Attempt{
		Number: 1, Outcome: call.NotRun, Reason: call.ReasonOverload, Replayable: true,
		Remaining: time.Second, Expected: time.Millisecond,
	}
	change(&a)
	return a
}

var _ = DescribeTable("another attempt is allowed",
	func(change func(*retry.Attempt), allowed bool) {
		Expect(retry.Allowed(attempt(change))).To(Equal(allowed))
	},
	Entry("after not-run", func(*retry.Attempt) {}, true),
	Entry("after not-run deep in a chain", func(a *retry.Attempt) { a.Depth = 9 }, true),
	Entry("not after unknown", func(a *retry.Attempt) { a.Outcome = call.Unknown }, false),
	Entry("after unknown when idempotent", func(a *retry.Attempt) { a.Outcome = call.Unknown; a.Idempotent = true }, true),
	Entry("not after unknown inside a chain", func(a *retry.Attempt) {
		a.Outcome, a.Idempotent, a.Depth = call.Unknown, true, 1
	}, false),
	Entry("not without the body", func(a *retry.Attempt) { a.Replayable = false }, false),
	Entry("not without time for another attempt", func(a *retry.Attempt) { a.Remaining = time.Millisecond }, false),
	Entry("not after the last attempt", func(a *retry.Attempt) { a.Number = retry.MaxAttempts }, false),
	Entry("not when quarantined", func(a *retry.Attempt) { a.Reason = call.ReasonQuarantined }, false),
)

var _ = Describe("a budget", func() {
	It("allows retries for a share of the calls, and a burst", func() {
		budget := retry.NewBudget(0.1)
		spent := 0
		for range 1000 {
			budget.Deposit()
			if budget.Spend() {
				spent++
			}
		}
		Expect(spent).To(BeNumerically("<=", 110))
		Expect(spent).To(BeNumerically(">=", 100))
	})
})

var _ = Describe("hedging", func() {
	It("starts after enough samples, with a delay that follows them", func() {
		var hedge retry.HedgeEstimator
		_, ok := hedge.Delay()
		Expect(ok).To(BeFalse())
		for range 200 {
			hedge.Observe(40 * time.Millisecond)
		}
		delay, ok := hedge.Delay()
		Expect(ok).To(BeTrue())
		Expect(delay).To(BeNumerically("~", 40*time.Millisecond, 5*time.Millisecond))
	})
})
