package toml

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	KindSyntax     Kind = "syntax"
	KindUnknownKey Kind = "unknown key"
)

// Error is the error type of this package.
type Error struct {
	op      string
	kind    Kind
	name    string
	line    int
	message string
}

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.name, e.line, e.kind, e.message)
}

// Decode parses a document into target and rejects unknown keys; name is the
// file name used in errors.
func Decode(name string, data []byte, target any) error {
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	if err == nil {
		return nil
	}
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) && len(missing.Errors) > 0 {
		first := missing.Errors[0]
		line, _ := first.Position()
		message := fmt.Sprintf("key %q does not exist", strings.Join(first.Key(), "."))
		return &Error{op: "decode", kind: KindUnknownKey, name: name, line: line, message: message}
	}
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		line, _ := syntax.Position()
		message := strings.TrimPrefix(syntax.Error(), "toml: ")
		if len(syntax.Key()) > 0 {
			message = fmt.Sprintf("key %q: %s", strings.Join(syntax.Key(), "."), message)
		}
		return &Error{op: "decode", kind: KindSyntax, name: name, line: line, message: message}
	}
	return &Error{op: "decode", kind: KindSyntax, name: name, line: 1, message: err.Error()}
}

// Lines maps the dotted path of each table and key of a document to its line.
type Lines struct {
	name  string
	lines map[string]int
}

// IndexLines returns the lines of a document that Decode accepted; name is the
// file name used in positions.
func IndexLines(name string, data []byte) *Lines {
	found := &Lines{name: name, lines: map[string]int{}}
	parser := unstable.Parser{}
	parser.Reset(data)
	var table []string
	for parser.NextExpression() {
		expression := parser.Expression()
		if expression.Kind != unstable.Table && expression.Kind != unstable.ArrayTable &&
			expression.Kind != unstable.KeyValue {
			continue
		}
		path, line := keyPath(&parser, expression)
		if expression.Kind == unstable.KeyValue {
			path = append(append([]string{}, table...), path...)
		} else {
			table = path
		}
		key := strings.Join(path, ".")
		if _, ok := found.lines[key]; !ok {
			found.lines[key] = line
		}
	}
	return found
}

func keyPath(parser *unstable.Parser, expression *unstable.Node) ([]string, int) {
	var path []string
	line := 0
	keys := expression.Key()
	for keys.Next() {
		node := keys.Node()
		path = append(path, string(node.Data))
		if line == 0 {
			line = parser.Shape(node.Raw).Start.Line
		}
	}
	return path, line
}

// Position returns "name:line" for the longest prefix of the path that is in the
// document, or line 1 if there is none.
func (l *Lines) Position(path ...string) string {
	for n := len(path); n > 0; n-- {
		line, ok := l.lines[strings.Join(path[:n], ".")]
		if ok {
			return fmt.Sprintf("%s:%d", l.name, line)
		}
	}
	return l.name + ":1"
}
