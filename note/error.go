package note

import "fmt"

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	KindSyntax   Kind = "syntax"
	KindInvalid  Kind = "invalid"
	KindConflict Kind = "conflict"
	KindUnknown  Kind = "unknown"
	KindReused   Kind = "id already used"
	KindTooLarge Kind = "too large"
)

// Error is the error type of this package.
type Error struct {
	op       string
	kind     Kind
	position string
	message  string
}

func newError(op string, kind Kind, position, format string, args ...any) *Error {
	return &Error{op: op, kind: kind, position: position, message: fmt.Sprintf(format, args...)}
}

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// Error implements error.
func (e *Error) Error() string {
	if e.position == "" {
		return fmt.Sprintf("%s: %s: %s", e.op, e.kind, e.message)
	}
	return fmt.Sprintf("%s: %s: %s", e.position, e.kind, e.message)
}
