package losses

import (
	"encoding/json"
	"strings"

	"github.com/banyancross/banyancross/telemetry"
)

// The causes of a late answer.
const (
	causeQueue  = "waited at a gate"
	causeAway   = "turned away by gates"
	causeBroken = "attempts without an answer"
	causeSlow   = "slow host"
	causeRun    = "long run, or its calls"
)

const (
	// slowHost is the slowdown from which a host counts as slow, as at the
	// gates.
	slowHost = 2
	// mainShare is the least share of a request's time that makes something the
	// cause of its lateness: with four causes, what is below has an equal beside it.
	mainShare = 0.25
)

// request is a line of a log about a request that a caller sent.
type request struct {
	Event   string          `json:"event"`
	Class   string          `json:"class"`
	ID      string          `json:"request"`
	Reason  string          `json:"reason"`
	Status  int             `json:"status"`
	Elapsed int64           `json:"elapsed-ms"`
	Trail   telemetry.Trail `json:"trail"`
}

// lateCause returns what took most of the time of a request that was late.
func (r *request) lateCause() string {
	spent := map[string]float64{}
	for _, step := range r.Trail {
		took, waited := float64(step.ElapsedMS), float64(step.QueueTimeMS)
		spent[causeQueue] += waited
		switch {
		case step.NotRun():
			spent[causeAway] += took - waited
		case !step.Answered():
			spent[causeBroken] += took - waited
		case step.Slowdown >= slowHost:
			spent[causeSlow] += (took - waited) * float64(1-1/step.Slowdown)
		}
	}
	most := causeRun
	least := mainShare * float64(r.Elapsed)
	for _, cause := range []string{causeQueue, causeAway, causeBroken, causeSlow} {
		if spent[cause] > least {
			most, least = cause, spent[cause]
		}
	}
	return most
}

// causes counts the causes of late and of failed requests.
type causes struct {
	late, failed map[string]int
}

// readCauses reads a log of several nodes.
func readCauses(name string) (*causes, error) {
	found := &causes{late: map[string]int{}, failed: map[string]int{}}
	err := telemetry.ReadJSONLines(name, func(object string) {
		var r request
		if json.Unmarshal([]byte(object), &r) != nil || r.Event != "request" || strings.Contains(r.ID, ".") {
			// Not about a caller's request: calls of runs have a dot in their
			// identity.
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
	return found, nil
}

// failedCause returns why a request was not served.
func (r *request) failedCause() string {
	if r.Reason == "" {
		return "the upstream failed"
	}
	return r.Reason
}
