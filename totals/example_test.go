package totals_test

import (
	"fmt"
	"time"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/totals"
)

func ExampleCounter() {
	counter := totals.NewCounter("kasir-1", "incarnation-1")
	counter.Received("2026-12-04", "kasir")
	counter.Completed("2026-12-04", "kasir", totals.Completion{Outcome: call.Answered})
	now := time.Unix(0, 0)
	day := totals.Day{}
	for range 2 { // a repeated report counts once
		day.Merge(counter.Reports(now, "2026-12-04")[0].Report)
	}
	summary := totals.Summarize(totals.Scope{Day: "2026-12-04", Through: now}, []totals.Day{day}, nil)
	fmt.Println(summary.Rows[0].Row.Answered, summary.Trusted())
	// Output: 1 true
}
