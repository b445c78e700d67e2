package http1

import (
	"errors"
	"fmt"
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// KindMalformed means that a message is not valid HTTP/1.x or has ambiguous
	// framing.
	KindMalformed Kind = "malformed message"
	// KindHeaderTooLarge means that the head of a message exceeds its limit.
	KindHeaderTooLarge Kind = "header too large"
	// KindBodyTooLarge means that a body exceeds its limit.
	KindBodyTooLarge Kind = "body too large"
	// KindNotSent means that no part of a request was sent.
	KindNotSent Kind = "not sent"
	// KindNoAnswer means that a request may have been sent, but no usable
	// response was received.
	KindNoAnswer Kind = "no answer"
	// KindBodyCut means that a part of a request was sent, and the rest of its body could
	// not be read.
	KindBodyCut Kind = "body cut"
)

// Error is the error type of this package.
type Error struct {
	op   string
	kind Kind
	err  error
}

func newError(op string, kind Kind, err error) *Error { return &Error{op: op, kind: kind, err: err} }

// Kind returns the kind of the error.
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

// KindOf returns the kind of the Error in err's chain, "" if there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return ""
}
