package soak

import (
	"time"

	"github.com/banyancross/banyancross/standin"
)

// DrawEvents returns the events of a seed as text.
func DrawEvents(seed uint64, nodes int, duration time.Duration) []string {
	var events []string
	for _, e := range drawEvents(seed, nodes, duration) {
		events = append(events, e.String())
	}
	return events
}

// RequestRecord is what a caller saw of a request in a fleet of one node.
type RequestRecord struct {
	ID, Path   string
	AtMostOnce bool
	Version    int
	Answer     standin.CallerAnswer
	Err        error
	// SentAt and Elapsed are when the request was sent, after the start, and how long
	// it took.
	SentAt, Elapsed time.Duration
}

// Check returns what is violated if a caller saw these requests and the upstream
// ran those. The upstream's leaving was acknowledged at left, after the start,
// and nothing unplanned ever happened.
func Check(records []RequestRecord, upstream *standin.Backend, start time.Time, leftAt time.Duration) []string {
	s := &server{backend: upstream}
	if leftAt > 0 {
		s.leftAt = start.Add(leftAt)
	}
	f := &fleet{options: Options{CheckTiming: true}, nodes: []*node{{servers: []*server{s}}}}
	for range 3 {
		f.publishedAt = append(f.publishedAt, start)
	}
	for _, one := range records {
		f.records = append(f.records, record{
			id: one.ID, path: one.Path, atMostOnce: one.AtMostOnce, version: one.Version, answer: one.Answer, err: one.Err, sameProcess: true,
			sent: start.Add(one.SentAt), ended: start.Add(one.SentAt + one.Elapsed),
		})
	}
	f.check()
	return f.violations
}
