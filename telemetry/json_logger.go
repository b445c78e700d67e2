package telemetry

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strconv"

	"github.com/go-kit/log"
)

// jsonLogger writes each line as a JSON object: "time", "event", the fields after it in the
// caller's order, and last those before it, which the logger's context adds. Readers may keep
// only the start of a line.
type jsonLogger struct {
	w io.Writer
}

// field is a key of a line and its value.
type field struct {
	key   string
	value any
}

// Log implements log.Logger with one Write. The values are those of log.NewJSONLogger.
func (l *jsonLogger) Log(keyvals ...any) error {
	var line bytes.Buffer
	encoder := json.NewEncoder(&line)
	encoder.SetEscapeHTML(false)
	separator := byte('{')
	for _, f := range inLineOrder(fieldsOf(keyvals)) {
		_ = line.WriteByte(separator)
		separator = ','
		if err := writeJSON(&line, encoder, f.key); err != nil {
			return err
		}
		_ = line.WriteByte(':')
		if err := writeJSON(&line, encoder, f.value); err != nil {
			return err
		}
	}
	if separator == '{' {
		_ = line.WriteByte(separator)
	}
	_, _ = line.WriteString("}\n")
	_, err := l.w.Write(line.Bytes())
	return err
}

// writeJSON writes the JSON form of value to line, to which encoder writes too. The encoder,
// which uses reflection, is left to the types that are rare in lines.
func writeJSON(line *bytes.Buffer, encoder *json.Encoder, value any) error {
	switch v := value.(type) {
	case string:
		if plain(v) {
			_ = line.WriteByte('"')
			_, _ = line.WriteString(v)
			_ = line.WriteByte('"')
			return nil
		}
	case bool:
		_, _ = line.Write(strconv.AppendBool(line.AvailableBuffer(), v))
		return nil
	case int:
		_, _ = line.Write(strconv.AppendInt(line.AvailableBuffer(), int64(v), 10))
		return nil
	case int64:
		_, _ = line.Write(strconv.AppendInt(line.AvailableBuffer(), v, 10))
		return nil
	case uint64:
		_, _ = line.Write(strconv.AppendUint(line.AvailableBuffer(), v, 10))
		return nil
	}
	if err := encoder.Encode(value); err != nil {
		return err
	}
	// Encode ends with a newline.
	line.Truncate(line.Len() - 1)
	return nil
}

// plain reports whether a JSON string has text as it is.
func plain(text string) bool {
	for _, b := range []byte(text) {
		if b < ' ' || b > '~' || b == '"' || b == '\\' {
			return false
		}
	}
	return true
}

// fieldsOf returns the fields of a line, each key once, with its last value.
func fieldsOf(keyvals []any) []field {
	fields := make([]field, 0, (len(keyvals)+1)/2)
	for i := 0; i < len(keyvals); i += 2 {
		f := field{key: keyText(keyvals[i]), value: log.ErrMissingValue}
		if i+1 < len(keyvals) {
			f.value = keyvals[i+1]
		}
		f.value = jsonValue(f.value)
		if at := slices.IndexFunc(fields, func(g field) bool { return g.key == f.key }); at >= 0 {
			fields[at] = f
			continue
		}
		fields = append(fields, f)
	}
	return fields
}

// inLineOrder returns the fields in the order in which they are written.
func inLineOrder(fields []field) []field {
	var times, context, rest []field
	for _, f := range fields {
		switch {
		case f.key == "time":
			times = append(times, f)
		case f.key == "event" || rest != nil:
			rest = append(rest, f)
		default:
			context = append(context, f)
		}
	}
	return append(append(times, rest...), context...)
}

func keyText(key any) string {
	switch k := key.(type) {
	case string:
		return k
	case fmt.Stringer:
		return fmt.Sprint(safeText(k, func() string { return k.String() }, "NULL"))
	}
	return fmt.Sprint(key)
}

// jsonValue returns the text of errors and of values with a String method, unless they
// encode themselves.
func jsonValue(value any) any {
	switch v := value.(type) {
	case json.Marshaler, encoding.TextMarshaler:
		return value
	case error:
		return safeText(v, func() string { return v.Error() }, nil)
	case fmt.Stringer:
		return safeText(v, func() string { return v.String() }, "NULL")
	}
	return value
}

// safeText returns the result of text, which calls a method of value, or ifNil if it panics because
// value is a nil pointer.
func safeText(value any, text func() string, ifNil any) (result any) {
	defer func() {
		if cause := recover(); cause != nil {
			if v := reflect.ValueOf(value); v.Kind() == reflect.Pointer && v.IsNil() {
				result = ifNil
			} else {
				result = fmt.Sprintf("PANIC in a method of the value: %v", cause)
			}
		}
	}()
	return text()
}
