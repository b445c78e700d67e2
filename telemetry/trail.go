package telemetry

import (
	"fmt"
	"strings"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/ingress"
	"github.com/banyancross/banyancross/locality"
)

// Trail holds the attempts of a request as they are logged.
type Trail []Attempt

// Attempt describes one attempt of a request. Retry means that it was charged to the
// retry budget. OffsetMS is the time from the receipt
// of the request to the attempt; QueueTimeMS is the part of ElapsedMS that the call
// spent queued at the admission gate. Running, Limit, Waiting and Slowdown are the
// load that the gate reported with its answer. Connection and Exchange number the
// upstream's response if it is not passed on. Way is the way to another failure domain,
// and Leaving why the attempt took it.
type Attempt struct {
	OffsetMS    int64   `json:"at-ms"`
	Host        string  `json:"host"`
	Upstream    string  `json:"upstream"`
	Hedge       bool    `json:"hedge,omitempty"`
	Retry       bool    `json:"retry,omitempty"`
	Outcome     string  `json:"outcome"`
	Reason      string  `json:"reason,omitempty"`
	ElapsedMS   int64   `json:"took-ms"`
	QueueTimeMS int64   `json:"waited-ms,omitempty"`
	Running     uint32  `json:"running"`
	Limit       uint32  `json:"limit"`
	Waiting     uint32  `json:"waiting,omitempty"`
	Slowdown    float32 `json:"slowdown,omitempty"`
	Connection  uint64  `json:"connection,omitempty"`
	Exchange    uint64  `json:"exchange,omitempty"`
	Way         string  `json:"way,omitempty"`
	Leaving     string  `json:"left-for,omitempty"`
}

// NewTrail converts the attempts of a request to a Trail.
func NewTrail(attempts []ingress.AttemptRecord) Trail {
	trail := make(Trail, 0, len(attempts))
	for _, a := range attempts {
		trail = append(trail, Attempt{
			OffsetMS: a.Offset.Milliseconds(), Host: a.Host, Upstream: a.Upstream, Hedge: a.Hedge, Retry: a.Retry,
			Outcome: a.Outcome.String(), Reason: string(a.Reason), ElapsedMS: a.Elapsed.Milliseconds(), QueueTimeMS: a.QueueTime.Milliseconds(),
			Running: a.Load.Running, Limit: a.Load.Limit, Waiting: a.Load.Waiting, Slowdown: a.Load.Slowdown,
			Connection: a.Connection, Exchange: a.Exchange,
			Way: wayName(a), Leaving: string(a.Leaving),
		})
	}
	return trail
}

// wayName returns the name of an attempt's way, "" within a failure domain.
func wayName(a ingress.AttemptRecord) string {
	if a.Way == locality.Within {
		return ""
	}
	return a.Way.String()
}

// Answered reports whether the upstream answered the attempt.
func (a Attempt) Answered() bool { return a.Outcome == call.Answered.String() }

// NotRun reports whether no upstream ran the attempt.
func (a Attempt) NotRun() bool { return a.Outcome == call.NotRun.String() }

// Text returns a human-readable description of the attempt. It is not called
// String, because loggers would then write the text instead of the fields.
func (a Attempt) Text() string {
	kind, reason := "", ""
	if a.Hedge {
		kind = " hedge"
	} else if a.Retry {
		kind = " retry"
	}
	if a.Reason != "" {
		reason = " " + a.Reason
	}
	left := ""
	if a.Leaving != "" {
		left = ", " + a.Way + " for " + a.Leaving
	}
	if a.Connection != 0 {
		left += fmt.Sprintf(", connection %d, exchange %d", a.Connection, a.Exchange)
	}
	return fmt.Sprintf("+%dms %s/%s%s %s%s after %dms, %dms of them waiting, %d of %d running, %d waiting, slowdown %.1f%s",
		a.OffsetMS, a.Host, a.Upstream, kind, a.Outcome, reason, a.ElapsedMS, a.QueueTimeMS, a.Running, a.Limit, a.Waiting, a.Slowdown, left)
}

// Text returns a human-readable description of the attempts.
func (t Trail) Text() string {
	texts := make([]string, 0, len(t))
	for _, attempt := range t {
		texts = append(texts, attempt.Text())
	}
	return strings.Join(texts, "; ")
}
