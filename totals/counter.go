package totals

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/banyancross/banyancross/call"
)

// DayLayout is the form of a day's name.
const DayLayout = "2006-01-02"

// keepDays is how many days a counter holds.
const keepDays = 3

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
	// EntryRuns counts attempts whose gate said that the upstream was sent the call.
	EntryRuns uint64 `cbor:"10,keyasint"`
	// Uncertain counts attempts whose gate's word was lost.
	Uncertain uint64 `cbor:"11,keyasint"`
	// GateRuns counts calls sent to the upstream, counted at its gate.
	GateRuns uint64 `cbor:"12,keyasint"`
}

// add sums the counts of two rows.
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

// InProgress returns how many calls were received and have not ended.
func (r *Row) InProgress() uint64 {
	return r.Calls - r.Answered - r.Failed - r.NotRun - r.Unknown
}

// Report holds one incarnation's counts of a day.
type Report struct {
	Host        string    `cbor:"1,keyasint"`
	Incarnation string    `cbor:"2,keyasint"`
	Sequence    uint64    `cbor:"3,keyasint"`
	Through     time.Time `cbor:"4,keyasint"`
	Final       bool      `cbor:"5,keyasint,omitempty"`
	Rows        []Row     `cbor:"6,keyasint,omitempty"`
}

// complete tells whether the report holds all that was to be counted until
// through; when over, the day has ended and no call may still be open.
func (r *Report) complete(through time.Time, over bool) bool {
	if r.Sequence == 0 {
		return false
	}
	if r.Final {
		return true
	}
	for i := range r.Rows {
		if over && r.Rows[i].InProgress() > 0 {
			return false
		}
	}
	return !r.Through.Before(through)
}

// Completion tells how a call ended.
type Completion struct {
	// Outcome is the call's outcome.
	Outcome call.Outcome
	// Failed tells that the upstream answered with a server error.
	Failed bool
	// Late tells that the answer came after the deadline.
	Late bool
}

// Attempt tells what the entry node learned of one attempt.
type Attempt struct {
	// Ran tells that the gate said the upstream was sent the call.
	Ran bool
	// Uncertain tells that the gate's word was lost.
	Uncertain bool
	// Retry tells that it was not the first attempt.
	Retry bool
}

// Counter counts for one incarnation; it is safe for concurrent use.
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
		c.forget()
	}
	row, ok := rows[service]
	if !ok {
		row = &Row{Service: service}
		rows[service] = row
	}
	return row
}

// forget drops the oldest days.
func (c *Counter) forget() {
	days := c.names()
	for len(days) > keepDays {
		delete(c.days, days[0])
		days = days[1:]
	}
}

func (c *Counter) names() []string {
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

// Completed counts the end of a call.
func (c *Counter) Completed(day, service string, ending Completion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	row := c.row(day, service)
	switch {
	case ending.Outcome == call.NotRun:
		row.NotRun++
	case ending.Outcome == call.Unknown:
		row.Unknown++
	case ending.Failed:
		row.Failed++
	default:
		row.Answered++
	}
	if ending.Outcome != call.Answered || ending.Failed {
		return
	}
	if ending.Late {
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

// Finish makes all further reports final; no call may be counted after it.
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

// Reports returns the reports of all days held; today is always among them.
func (c *Counter) Reports(now time.Time, today string) []DayReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.days[today]; !ok {
		c.days[today] = map[string]*Row{}
		c.forget()
	}
	c.sequence++
	var reports []DayReport
	for _, day := range c.names() {
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
