package soak

import "fmt"

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// KindSetup means that the fleet could not be started.
	KindSetup Kind = "setup"
	// KindNotServing means that the fleet did not serve before or after the
	// disturbances.
	KindNotServing Kind = "settle"
)

// Error is the error type of this package.
type Error struct {
	op   string
	kind Kind
	err  error
}

// Kind returns the class of the error.
func (e *Error) Kind() Kind { return e.kind }

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("soak %s: %s: %v", e.op, e.kind, e.err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }
