package totals

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/banyancross/banyancross/codec"
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	KindCodec Kind = "malformed value"
	KindDay   Kind = "malformed day"
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
func (e *Error) Error() string { return fmt.Sprintf("totals %s: %s: %v", e.op, e.kind, e.err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Day holds the reports of one failure domain's incarnations.
type Day struct {
	FailureDomain string   `cbor:"1,keyasint"`
	Reports       []Report `cbor:"2,keyasint"`
}

// Merge adds a report, unless the day holds the same or a later one of that
// incarnation, and reports whether the day changed.
func (d *Day) Merge(report Report) bool {
	i, ok := slices.BinarySearchFunc(d.Reports, report.Incarnation, func(r Report, incarnation string) int {
		return cmp.Compare(r.Incarnation, incarnation)
	})
	if !ok {
		d.Reports = slices.Insert(d.Reports, i, report)
		return true
	}
	if report.Sequence <= d.Reports[i].Sequence {
		return false
	}
	d.Reports[i] = report
	return true
}

// MergeDay merges all reports of another value of the same day and reports
// whether the day changed.
func (d *Day) MergeDay(other Day) bool {
	changed := false
	for _, report := range other.Reports {
		changed = d.Merge(report) || changed
	}
	return changed
}

// Clone returns a copy with a Reports slice of its own.
func (d *Day) Clone() Day {
	return Day{FailureDomain: d.FailureDomain, Reports: slices.Clone(d.Reports)}
}

// Encode returns the CBOR form.
func (d *Day) Encode() ([]byte, error) { return encode(d) }

// DecodeDay parses the CBOR form of a Day; empty data is the zero Day.
func DecodeDay(data []byte) (Day, error) {
	var d Day
	if len(data) == 0 {
		return d, nil
	}
	err := decode(data, &d)
	return d, err
}

func encode(value any) ([]byte, error) {
	data, err := codec.Marshal(value)
	if err != nil {
		return nil, &Error{op: "encode", kind: KindCodec, err: err}
	}
	return data, nil
}

func decode(data []byte, target any) error {
	if err := codec.Unmarshal(data, target); err != nil {
		return &Error{op: "decode", kind: KindCodec, err: err}
	}
	return nil
}

// EndOfDay returns the time at which the named day ends in the location.
func EndOfDay(day string, location *time.Location) (time.Time, error) {
	start, err := time.ParseInLocation(DayLayout, day, location)
	if err != nil {
		return time.Time{}, &Error{op: "parse", kind: KindDay, err: err}
	}
	return start.AddDate(0, 0, 1), nil
}
