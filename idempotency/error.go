package idempotency

import "fmt"

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	KindMalformed      Kind = "malformed key"
	KindNotTimeOrdered Kind = "key is not a UUID of version 7"
	KindEntropy        Kind = "random number generator failed"
	KindHeld           Kind = "lease is held by another incarnation"
)

// Error is the error type of this package.
type Error struct {
	op   string
	kind Kind
	err  error
}

func newError(op string, kind Kind, err error) *Error {
	return &Error{op: op, kind: kind, err: err}
}

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// Error implements error.
func (e *Error) Error() string {
	if e.err == nil {
		return fmt.Sprintf("%s: %s", e.op, e.kind)
	}
	return fmt.Sprintf("%s: %s: %v", e.op, e.kind, e.err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }
