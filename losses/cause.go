package losses

import (
	"encoding/json"
	"strings"

	"github.com/banyancross/banyancross/telemetry"
)

// The causes of a late answer.
const (
	causeQueue      = "waited in a gate queue"
	causeRejected   = "rejected by gates"
	causeUnanswered = "attempts without an answer"
	causeSlowdown   = "host slowdown"
	causeExecution  = "execution or nested calls"
)

const (
	// minSlowdown is the slowdown from which a host counts as slow. It equals
	// slowedRatio of package egress.
	minSlowdown = 2
	// minCauseShare is the share of a request's time that a cause must exceed to
	// explain its lateness: of four causes that make up the time, the largest
	// takes at least a quarter.
	minCauseShare = 0.25
)

// requestLine is a log line about a request from a caller.
type requestLine struct {
	Event   string          `json:"event"`
	Class   string          `json:"class"`
	ID      string          `json:"request"`
	Reason  string          `json:"reason"`
	Status  int             `json:"status"`
	Elapsed int64           `json:"elapsed-ms"`
	Trail   telemetry.Trail `json:"trail"`
}

// lateCause returns the cause with the largest share of a late request's time, or
// causeExecution if none exceeds minCauseShare.
func (r *requestLine) lateCause() string {
	timeByCause := map[string]float64{}
	for _, attempt := range r.Trail {
		elapsed, queued := float64(attempt.ElapsedMS), float64(attempt.QueueTimeMS)
		timeByCause[causeQueue] += queued
		switch {
		case attempt.NotRun():
			timeByCause[causeRejected] += elapsed - queued
		case !attempt.Answered():
			timeByCause[causeUnanswered] += elapsed - queued
		case attempt.Slowdown >= minSlowdown:
			timeByCause[causeSlowdown] += (elapsed - queued) * float64(1-1/attempt.Slowdown)
		}
	}
	mainCause := causeExecution
	largest := minCauseShare * float64(r.Elapsed)
	for _, cause := range []string{causeQueue, causeRejected, causeUnanswered, causeSlowdown} {
		if timeByCause[cause] > largest {
			mainCause, largest = cause, timeByCause[cause]
		}
	}
	return mainCause
}

// causes holds the counts of late and of failed requests by cause, and the
// megabytes transferred between failure domains by kind.
type causes struct {
	late, failed map[string]int
	transfers    map[string]float64
}

// readCauses reads a log of several nodes.
func readCauses(name string) (*causes, error) {
	found := &causes{late: map[string]int{}, failed: map[string]int{}}
	transfers := newTransferTotals()
	err := telemetry.ReadJSONLines(name, func(object string) {
		transfers.addLine(object)
		var r requestLine
		if json.Unmarshal([]byte(object), &r) != nil || r.Event != "request" || strings.Contains(r.ID, ".") {
			// Skip nested calls, which backend servers make for a request: their
			// request IDs contain a dot.
			return
		}
		switch r.Class {
		case "late":
			found.late[r.lateCause()]++
		case "failed":
			found.failed[r.failedCause()]++
		}
	})
	if err != nil {
		return nil, &Error{op: "read", kind: KindFile, err: err}
	}
	found.transfers = transfers.megabytes()
	return found, nil
}

// failedCause returns why a request was not served.
func (r *requestLine) failedCause() string {
	if r.Reason == "" {
		return "the upstream failed"
	}
	return r.Reason
}
