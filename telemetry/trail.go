package telemetry

import (
	"fmt"
	"strings"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/ingress"
)

// Trail holds the attempts of a request as they are logged.
type Trail []Attempt

// Attempt describes one attempt of a request. OffsetMS is the time from the receipt
// of the request to the attempt; QueueTimeMS is the part of ElapsedMS that the call
// spent queued at the admission gate. Running, Limit, Waiting and Slowdown are the
// load that the gate reported with its answer.
type Attempt struct {
	OffsetMS    int64   `json:"at-ms"`
	Host        string  `json:"host"`
	Upstream    string  `json:"upstream"`
	Hedge       bool    `json:"hedge,omitempty"`
	Outcome     string  `json:"outcome"`
	Reason      string  `json:"reason,omitempty"`
	ElapsedMS   int64   `json:"took-ms"`
	QueueTimeMS int64   `json:"waited-ms,omitempty"`
	Running     uint32  `json:"running"`
	Limit       uint32  `json:"limit"`
	Waiting     uint32  `json:"waiting,omitempty"`
	Slowdown    float32 `json:"slowdown,omitempty"`
}

// NewTrail converts the attempts of a request to a Trail.
func NewTrail(steps []ingress.AttemptRecord) Trail {
	trail := make(Trail, 0, len(steps))
	for _, s := range steps {
		trail = append(trail, Attempt{
			OffsetMS: s.Offset.Milliseconds(), Host: s.Host, Upstream: s.Upstream, Hedge: s.Hedge,
			Outcome: s.Outcome.String(), Reason: string(s.Reason), ElapsedMS: s.Elapsed.Milliseconds(), QueueTimeMS: s.QueueTime.Milliseconds(),
			Running: s.Load.Running, Limit: s.Load.Limit, Waiting: s.Load.Waiting, Slowdown: s.Load.Slowdown,
		})
	}
	return trail
}

// Answered reports whether the upstream answered the attempt.
func (s Attempt) Answered() bool { return s.Outcome == call.Answered.String() }

// NotRun reports whether no upstream ran the attempt.
func (s Attempt) NotRun() bool { return s.Outcome == call.NotRun.String() }

// Text returns a human-readable description of the attempt. It is not called
// String, because loggers would then write the text instead of the fields.
func (s Attempt) Text() string {
	kind, reason := "", ""
	if s.Hedge {
		kind = " hedge"
	}
	if s.Reason != "" {
		reason = " " + s.Reason
	}
	return fmt.Sprintf("+%dms %s/%s%s %s%s after %dms, %dms of them waiting, %d of %d running, %d waiting, slowdown %.1f",
		s.OffsetMS, s.Host, s.Upstream, kind, s.Outcome, reason, s.ElapsedMS, s.QueueTimeMS, s.Running, s.Limit, s.Waiting, s.Slowdown)
}

// Text returns a human-readable description of the attempts.
func (t Trail) Text() string {
	steps := make([]string, 0, len(t))
	for _, s := range t {
		steps = append(steps, s.Text())
	}
	return strings.Join(steps, "; ")
}
