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
	// Missing names the incarnations whose last counts never came, and the
	// failure domains that could not be read.
	Missing []string `cbor:"4,keyasint,omitempty"`
}

// SummaryRow holds a service's totals.
type SummaryRow struct {
	Row Row `cbor:"1,keyasint"`
	// Unreconciled is how many runs one side of the books counts and the other
	// does not, beyond the attempts whose outcome was lost.
	Unreconciled uint64 `cbor:"2,keyasint,omitempty"`
}

// Trusted tells whether the whole day reconciles and nothing is missing.
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

// DecodeSummary reads a Summary.
func DecodeSummary(data []byte) (*Summary, error) {
	var s Summary
	if err := decode(data, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// Scope says how much of a day a Summary is to cover.
type Scope struct {
	// Day is the name of the day.
	Day string
	// Through is the time until which every incarnation must have reported.
	Through time.Time
	// DayEnded tells that the day has ended.
	DayEnded bool
}

// Summarize adds up the values of all failure domains. absent names failure
// domains whose value could not be read.
func Summarize(scope Scope, days []Day, absent []string) *Summary {
	s := &Summary{Day: scope.Day}
	for _, failureDomain := range absent {
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

// reconcile compares the runs counted at the gates with those that the entry
// nodes saw. Each attempt without an answer may have been a run or not.
func (r *SummaryRow) reconcile() {
	seen, ran := r.Row.EntryRuns, r.Row.GateRuns
	switch {
	case ran < seen:
		r.Unreconciled = seen - ran
	case ran > seen+r.Row.Uncertain:
		r.Unreconciled = ran - seen - r.Row.Uncertain
	}
}
