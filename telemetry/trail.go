package telemetry

import (
	"fmt"
	"strings"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/ingress"
)

// Trail is the attempts of a request, as a line of the log holds them.
type Trail []Attempt

// Attempt is one attempt. Times are in milliseconds, OffsetMS since the request came;
// Running, Limit, Waiting and Slowdown are what the gate reported as it answered.
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

// NewTrail returns the Trail of the attempts of a request.
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

// Answered tells whether the upstream answered the attempt.
func (s Attempt) Answered() bool { return s.Outcome == call.Answered.String() }

// NotRun tells whether no upstream ran the attempt.
func (s Attempt) NotRun() bool { return s.Outcome == call.NotRun.String() }

// Text describes the attempt for a reader. It is no Stringer, since loggers would
// then write the text in place of the fields.
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

// Text describes the attempts for a reader.
func (t Trail) Text() string {
	steps := make([]string, 0, len(t))
	for _, s := range t {
		steps = append(steps, s.Text())
	}
	return strings.Join(steps, "; ")
}
