package http1

import (
	"errors"
	"fmt"
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// KindMalformed is a message that is not HTTP/1.1 or has ambiguous framing.
	KindMalformed Kind = "malformed message"
	// KindHeaderTooLarge is a head beyond the limit.
	KindHeaderTooLarge Kind = "header too large"
	// KindBodyTooLarge is a body beyond the limit.
	KindBodyTooLarge Kind = "body too large"
	// KindNotSent is a request of which nothing was sent.
	KindNotSent Kind = "not sent"
	// KindNoAnswer is a request that was sent and got no usable answer.
	KindNoAnswer Kind = "no answer"
)

// Error is the error type of this package.
type Error struct {
	op   string
	kind Kind
	err  error
}

func newError(op string, kind Kind, err error) *Error { return &Error{op: op, kind: kind, err: err} }

// Kind returns the class of the error.
func (e *Error) Kind() Kind { return e.kind }

// Error implements error.
func (e *Error) Error() string {
	if e.err == nil {
		return fmt.Sprintf("http1 %s: %s", e.op, e.kind)
	}
	return fmt.Sprintf("http1 %s: %s: %v", e.op, e.kind, e.err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// KindOf returns the kind of an error of this package, or "".
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return ""
}
