package organisation

import "fmt"

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	KindInvalid   Kind = "invalid"
	KindDuplicate Kind = "duplicate"
)

// Error is the error type of this package.
type Error struct {
	op      string
	kind    Kind
	message string
}

func newError(op string, kind Kind, format string, args ...any) *Error {
	return &Error{op: op, kind: kind, message: fmt.Sprintf(format, args...)}
}

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("organisation %s: %s: %s", e.op, e.kind, e.message)
}
