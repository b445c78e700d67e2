package totals

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/banyancross/banyancross/call"
)

// DayLayout is the layout of a day's name, as in package time.
const DayLayout = "2006-01-02"

// maxDays is the number of days that a Counter holds.
const maxDays = 3

// Row holds the counts of one service on one day.
type Row struct {
	Service  string `cbor:"1,keyasint"`
	Calls    uint64 `cbor:"2,keyasint"`
	Answered uint64 `cbor:"3,keyasint"`
	Failed   uint64 `cbor:"4,keyasint"`
	NotRun   uint64 `cbor:"5,keyasint"`
	Unknown  uint64 `cbor:"6,keyasint"`
	OnTime   uint64 `cbor:"7,keyasint"`
	Late     uint64 `cbor:"8,keyasint"`
	Retries  uint64 `cbor:"9,keyasint"`
	// EntryRuns counts, at the entry node, attempts that a gate reported as sent to
	// its upstream.
	EntryRuns uint64 `cbor:"10,keyasint"`
	// Uncertain counts, at the entry node, attempts without a report from the gate.
	Uncertain uint64 `cbor:"11,keyasint"`
	// GateRuns counts, at the gate, calls that it sent to its upstream.
	GateRuns uint64 `cbor:"12,keyasint"`
}

// add adds the counts of another row.
func (r *Row) add(other Row) {
	r.Calls += other.Calls
	r.Answered += other.Answered
	r.Failed += other.Failed
	r.NotRun += other.NotRun
	r.Unknown += other.Unknown
	r.OnTime += other.OnTime
	r.Late += other.Late
	r.Retries += other.Retries
	r.EntryRuns += other.EntryRuns
	r.Uncertain += other.Uncertain
	r.GateRuns += other.GateRuns
}

// InProgress returns the number of calls that were received and not completed.
func (r *Row) InProgress() uint64 {
	return r.Calls - r.Answered - r.Failed - r.NotRun - r.Unknown
}

// Report holds one incarnation's counts of a day; Sequence is 0 if the incarnation
// has not reported yet.
type Report struct {
	Host        string    `cbor:"1,keyasint"`
	Incarnation string    `cbor:"2,keyasint"`
	Sequence    uint64    `cbor:"3,keyasint"`
	Through     time.Time `cbor:"4,keyasint"`
	Final       bool      `cbor:"5,keyasint,omitempty"`
	Rows        []Row     `cbor:"6,keyasint,omitempty"`
}

// complete reports whether the report includes all counts until through. If
// dayEnded, no call may be in progress.
func (r *Report) complete(through time.Time, dayEnded bool) bool {
	if r.Sequence == 0 {
		return false
	}
	if r.Final {
		return true
	}
	for i := range r.Rows {
		if dayEnded && r.Rows[i].InProgress() > 0 {
			return false
		}
	}
	return !r.Through.Before(through)
}

// Completion is the result of a call.
type Completion struct {
	// Outcome is the call's outcome.
	Outcome call.Outcome
	// Failed is true if the upstream responded with a server error.
	Failed bool
	// Late is true if the response arrived after the deadline.
	Late bool
}

// Attempt is the result of one attempt, as the entry node received it.
type Attempt struct {
	// Ran is true if the gate reported that it sent the call to its upstream.
	Ran bool
	// Uncertain is true if no report of the gate arrived.
	Uncertain bool
	// Retry is true unless it was the first attempt.
	Retry bool
}

// Counter counts the calls of one incarnation; it is safe for concurrent use.
type Counter struct {
	mu          sync.Mutex
	host        string
	incarnation string
	sequence    uint64
	final       bool
	days        map[string]map[string]*Row
}

// NewCounter returns the empty Counter of a host's incarnation.
func NewCounter(host, incarnation string) *Counter {
	return &Counter{host: host, incarnation: incarnation, days: map[string]map[string]*Row{}}
}

func (c *Counter) row(day, service string) *Row {
	rows, ok := c.days[day]
	if !ok {
		rows = map[string]*Row{}
		c.days[day] = rows
		c.dropOldDays()
	}
	row, ok := rows[service]
	if !ok {
		row = &Row{Service: service}
		rows[service] = row
	}
	return row
}

// dropOldDays deletes the oldest days beyond maxDays.
func (c *Counter) dropOldDays() {
	days := c.dayNames()
	for len(days) > maxDays {
		delete(c.days, days[0])
		days = days[1:]
	}
}

func (c *Counter) dayNames() []string {
	var days []string
	for day := range c.days {
		days = append(days, day)
	}
	slices.Sort(days)
	return days
}

// Received counts a call that a caller sent.
func (c *Counter) Received(day, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.row(day, service).Calls++
}

// Attempted counts an attempt of a call.
func (c *Counter) Attempted(day, service string, attempt Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	row := c.row(day, service)
	if attempt.Ran {
		row.EntryRuns++
	}
	if attempt.Uncertain {
		row.Uncertain++
	}
	if attempt.Retry {
		row.Retries++
	}
}

// Completed counts a completed call.
func (c *Counter) Completed(day, service string, completion Completion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	row := c.row(day, service)
	switch {
	case completion.Outcome == call.NotRun:
		row.NotRun++
	case completion.Outcome == call.Unknown:
		row.Unknown++
	case completion.Failed:
		row.Failed++
	default:
		row.Answered++
	}
	if completion.Outcome != call.Answered || completion.Failed {
		return
	}
	if completion.Late {
		row.Late++
	} else {
		row.OnTime++
	}
}

// Ran counts a call that was sent to this node's upstream.
func (c *Counter) Ran(day, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.row(day, service).GateRuns++
}

// Finish marks all further reports as final; no call may be counted afterwards.
func (c *Counter) Finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.final = true
}

// DayReport is the report of one day.
type DayReport struct {
	Day    string `cbor:"1,keyasint"`
	Report Report `cbor:"2,keyasint"`
}

// Reports returns the reports of all days held, always including today.
func (c *Counter) Reports(now time.Time, today string) []DayReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.days[today]; !ok {
		c.days[today] = map[string]*Row{}
		c.dropOldDays()
	}
	c.sequence++
	var reports []DayReport
	for _, day := range c.dayNames() {
		report := Report{
			Host: c.host, Incarnation: c.incarnation, Sequence: c.sequence,
			Through: now, Final: c.final,
		}
		for _, row := range c.days[day] {
			report.Rows = append(report.Rows, *row)
		}
		slices.SortFunc(report.Rows, func(a, b Row) int { return cmp.Compare(a.Service, b.Service) })
		reports = append(reports, DayReport{Day: day, Report: report})
	}
	return reports
}
