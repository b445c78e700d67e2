package fleet

import "fmt"

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	KindMalformed Kind = "malformed"
)

// Error is the error type of this package.
type Error struct {
	op   string
	kind Kind
	err  error
}

func malformed(op string, err error) *Error { return &Error{op: op, kind: KindMalformed, err: err} }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("fleet %s: %s: %v", e.op, e.kind, e.err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }
