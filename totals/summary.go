package totals

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Summary is a day's totals over all failure domains.
type Summary struct {
	Day    string       `cbor:"1,keyasint"`
	Closed time.Time    `cbor:"2,keyasint,omitempty"`
	Rows   []SummaryRow `cbor:"3,keyasint"`
	// Missing lists the incarnations whose reports are incomplete and the failure
	// domains that could not be read.
	Missing []string `cbor:"4,keyasint,omitempty"`
}

// SummaryRow holds a service's totals.
type SummaryRow struct {
	Row Row `cbor:"1,keyasint"`
	// Unreconciled is the difference between the runs counted by entry nodes and
	// by gates that uncertain attempts cannot explain.
	Unreconciled uint64 `cbor:"2,keyasint,omitempty"`
}

// Trusted reports whether all rows reconcile, no call is in progress and nothing
// is missing.
func (s *Summary) Trusted() bool {
	if len(s.Missing) > 0 {
		return false
	}
	for _, row := range s.Rows {
		if row.Unreconciled > 0 || row.Row.InProgress() > 0 {
			return false
		}
	}
	return true
}

// Encode returns the CBOR form.
func (s *Summary) Encode() ([]byte, error) { return encode(s) }

// DecodeSummary parses the CBOR form of a Summary.
func DecodeSummary(data []byte) (*Summary, error) {
	var s Summary
	if err := decode(data, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// Scope selects the part of a day that a Summary covers.
type Scope struct {
	// Day is the name of the day.
	Day string
	// Through is the time until which the counts of each incarnation must be
	// included.
	Through time.Time
	// DayEnded is true if the day has ended.
	DayEnded bool
}

// Summarize adds up the days of all failure domains. unreadable lists the failure
// domains whose day could not be read.
func Summarize(scope Scope, days []Day, unreadable []string) *Summary {
	s := &Summary{Day: scope.Day}
	for _, failureDomain := range unreadable {
		s.Missing = append(s.Missing, fmt.Sprintf("failure domain %s could not be read", failureDomain))
	}
	for i := range days {
		s.addDay(&days[i], scope)
	}
	for i := range s.Rows {
		s.Rows[i].reconcile()
	}
	return s
}

func (s *Summary) addDay(day *Day, scope Scope) {
	for i := range day.Reports {
		report := &day.Reports[i]
		for _, row := range report.Rows {
			s.row(row.Service).add(row)
		}
		switch {
		case report.complete(scope.Through, scope.DayEnded):
		case report.Sequence == 0:
			s.Missing = append(s.Missing, fmt.Sprintf("host %s (%s) never reported", report.Host, report.Incarnation))
		default:
			s.Missing = append(s.Missing, fmt.Sprintf("host %s (%s) last reported at %s",
				report.Host, report.Incarnation, report.Through.UTC().Format(time.RFC3339)))
		}
	}
}

func (s *Summary) row(service string) *Row {
	i, ok := slices.BinarySearchFunc(s.Rows, service, func(r SummaryRow, service string) int {
		return cmp.Compare(r.Row.Service, service)
	})
	if !ok {
		s.Rows = slices.Insert(s.Rows, i, SummaryRow{Row: Row{Service: service}})
	}
	return &s.Rows[i].Row
}

// reconcile compares the runs counted by gates with those counted by entry
// nodes. Each uncertain attempt may or may not have been a run.
func (r *SummaryRow) reconcile() {
	entryRuns, gateRuns := r.Row.EntryRuns, r.Row.GateRuns
	switch {
	case gateRuns < entryRuns:
		r.Unreconciled = entryRuns - gateRuns
	case gateRuns > entryRuns+r.Row.Uncertain:
		r.Unreconciled = gateRuns - entryRuns - r.Row.Uncertain
	}
}
