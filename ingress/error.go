package ingress

import "fmt"

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// KindNoConfiguration means that no configuration is in force.
	KindNoConfiguration Kind = "no configuration"
	// KindUnknown means that the configuration lacks what a query names.
	KindUnknown Kind = "unknown"
)

// Error is the error type of this package.
type Error struct {
	op      string
	kind    Kind
	message string
}

// newError returns an Error of Where.
func newError(kind Kind, message string) *Error {
	return &Error{op: "where", kind: kind, message: message}
}

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %s", e.op, e.kind, e.message) }
