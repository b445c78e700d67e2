package call

import (
	"fmt"
	"time"
)

// MaxDepth is the largest number of nested calls between services.
const MaxDepth = 19

// Outcome tells how a call ended.
type Outcome uint8

// The outcomes of a call.
const (
	Answered Outcome = iota + 1
	NotRun
	Unknown
)

// String returns the kebab-case name used in headers and tables.
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

// Reason is the kebab-case cause of a refusal.
type Reason string

// The reasons a call can be refused for.
const (
	ReasonOverload       Reason = "overload"
	ReasonDeadline       Reason = "deadline"
	ReasonLeaving        Reason = "leaving"
	ReasonNoUpstream     Reason = "no-upstream"
	ReasonUnknownService Reason = "unknown-service"
	ReasonMalformed      Reason = "malformed"
	ReasonTooDeep        Reason = "too-deep"
	ReasonTooLarge       Reason = "too-large"
	ReasonQuarantined    Reason = "quarantined"
	ReasonConnection     Reason = "connection"
	ReasonCut            Reason = "cut"
	ReasonCancelled      Reason = "cancelled"
	ReasonRejected       Reason = "rejected"
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
	ReasonSlowed         Reason = "slowed"
	ReasonFailing        Reason = "failing"
	ReasonGarbled        Reason = "garbled"
	ReasonFailed         Reason = "failed"
	ReasonUnfinished     Reason = "unfinished"
)

// Refusal is an answer that the system gives in place of the upstream.
type Refusal struct {
	outcome    Outcome
	reason     Reason
	retryAfter time.Duration
}

// Refuse builds a Refusal that may be retried after one second.
func Refuse(outcome Outcome, reason Reason) *Refusal {
	return &Refusal{outcome: outcome, reason: reason, retryAfter: time.Second}
}

// Outcome returns NotRun or Unknown.
func (r *Refusal) Outcome() Outcome { return r.outcome }

// Reason returns the cause.
func (r *Refusal) Reason() Reason { return r.reason }

// RetryAfter returns how long the caller should wait before another send.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Load is what a gate reports about its upstream on each answer.
type Load struct {
	Running     uint32        `cbor:"1,keyasint,omitempty"`
	Waiting     uint32        `cbor:"2,keyasint,omitempty"`
	Limit       uint32        `cbor:"3,keyasint,omitempty"`
	ServiceTime time.Duration `cbor:"4,keyasint,omitempty"`
	// Slowdown is how long work takes at the upstream relative to usual, 0
	// when it is not known.
	Slowdown float32 `cbor:"5,keyasint,omitempty"`
	// Failing tells that most of the upstream's recent answers were failures.
	Failing bool `cbor:"6,keyasint,omitempty"`
}
