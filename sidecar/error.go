package sidecar

import "fmt"

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	KindListen    Kind = "listen"
	KindMalformed Kind = "malformed"
)

// Error is the error type of this package.
type Error struct {
	op   string
	kind Kind
	err  error
}

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("sidecar %s: %s: %v", e.op, e.kind, e.err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }
