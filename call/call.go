package call

import (
	"fmt"
	"time"
)

// MaxDepth is the largest number of nested calls between services.
const MaxDepth = 19

// MaxSlots is the largest number of calls that an upstream may run at a time.
const MaxSlots = 1 << 16

// Outcome is how a call ended.
type Outcome uint8

// The outcomes of a call.
const (
	Answered Outcome = iota + 1
	NotRun
	Unknown
)

// String returns the kebab-case name that headers and tables use.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	}
	return fmt.Sprintf("outcome-%d", uint8(o))
}

// Reason is the kebab-case cause of a refusal or a failed attempt.
type Reason string

// The reasons for a refusal or a failed attempt.
const (
	ReasonOverload       Reason = "overload"
	ReasonDeadline       Reason = "deadline"
	ReasonLeaving        Reason = "leaving" // the upstream drains or has ended
	ReasonNoUpstream     Reason = "no-upstream"
	ReasonUnknownService Reason = "unknown-service"
	ReasonMalformed      Reason = "malformed"
	ReasonTooDeep        Reason = "too-deep"
	ReasonTooLarge       Reason = "too-large"
	ReasonQuarantined    Reason = "quarantined"
	ReasonConnection     Reason = "connection" // no connection, or it broke before the response
	ReasonCut            Reason = "cut"        // a message broke off or belongs to another attempt
	ReasonCancelled      Reason = "cancelled"
	ReasonRejected       Reason = "rejected" // refused by the upstream itself
	ReasonNotReady       Reason = "not-ready"
	ReasonKeyMalformed   Reason = "key-malformed"
	ReasonKeyRequired    Reason = "key-required"
	ReasonKeyExpired     Reason = "key-expired"
	ReasonKeyNotOwned    Reason = "key-not-owned"
	ReasonKeyReused      Reason = "key-reused"
	ReasonKeyTableFull   Reason = "key-table-full"
	ReasonAnswerNotKept  Reason = "answer-not-kept"
	ReasonNoRoute        Reason = "no-route"
	ReasonNoConfig       Reason = "no-configuration"
	ReasonSlowed         Reason = "slowed"        // declined because the host is slow
	ReasonFailing        Reason = "failing"       // declined because most recent calls failed
	ReasonGarbled        Reason = "garbled"       // no stamp of the upstream, a content encoding, or a rejection with a stamp
	ReasonFailed         Reason = "failed"        // the upstream answered with a server error
	ReasonFalsePromise   Reason = "false-promise" // the upstream ran the request and answered that it had not
	ReasonUnfinished     Reason = "unfinished"    // in flight when the request ended
	ReasonStopping       Reason = "stopping"      // the node would stop before the timeout
	ReasonUnknownKey     Reason = "unknown-key"   // the caller's key belongs to no organisation
	ReasonQuota          Reason = "quota"         // beyond the quota of the organisation
	ReasonShare          Reason = "share"         // beyond the organisation's share of a full service
	ReasonLevel          Reason = "level"         // less urgent than what the overloaded service admits
	ReasonWarming        Reason = "warming"       // beyond what the cold upstream tolerates
	ReasonEvacuated      Reason = "evacuated"     // the failure domain is evacuated
	ReasonNoRegion       Reason = "no-region"     // no upstream in the regions that the request may enter
	ReasonNoParent       Reason = "no-parent"     // the run that may have sent the call is not known yet
)

// Refusal is an answer that a node gives in place of the upstream.
type Refusal struct {
	outcome    Outcome
	reason     Reason
	retryAfter time.Duration
}

// Refuse returns a Refusal that asks the caller to wait one second before a
// retry.
func Refuse(outcome Outcome, reason Reason) *Refusal {
	return &Refusal{outcome: outcome, reason: reason, retryAfter: time.Second}
}

// Outcome returns NotRun or Unknown.
func (r *Refusal) Outcome() Outcome { return r.outcome }

// Reason returns the cause.
func (r *Refusal) Reason() Reason { return r.reason }

// RetryAfter returns how long the caller should wait before a retry.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Load is the load of an upstream that its gate reports with each answer.
type Load struct {
	Running     uint32        `cbor:"1,keyasint,omitempty"`
	Waiting     uint32        `cbor:"2,keyasint,omitempty"`
	Limit       uint32        `cbor:"3,keyasint,omitempty"`
	ServiceTime time.Duration `cbor:"4,keyasint,omitempty"`
	// Slowdown is the ratio of the duration of work at the upstream to its normal
	// duration, 0 if unknown.
	Slowdown float32 `cbor:"5,keyasint,omitempty"`
	// Failing is set if most of the upstream's recent answers were failures.
	Failing bool `cbor:"6,keyasint,omitempty"`
	// Cold is set while the upstream tolerates only a low rate of calls.
	Cold bool `cbor:"9,keyasint,omitempty"`
	// NestedExcess is the share of the nested calls that the upstream has no room for, 0
	// without overload.
	NestedExcess float32 `cbor:"8,keyasint,omitempty"`
}
