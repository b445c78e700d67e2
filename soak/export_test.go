package soak

import (
	"time"

	"github.com/banyancross/banyancross/standin"
)

// Draw returns the events of a seed as text.
func Draw(seed uint64, nodes int, span time.Duration) []string {
	var events []string
	for _, e := range draw(seed, nodes, span) {
		events = append(events, e.String())
	}
	return events
}

// Seen is what a caller saw of a request in a fleet of one node.
type Seen struct {
	ID, Path string
	Once     bool
	Version  int
	Answer   standin.CallerAnswer
	Err      error
	// Sent and Took are when the request was sent, after the start, and how long
	// it took.
	Sent, Took time.Duration
}

// Check returns what is violated if a caller saw these requests and the upstream
// ran those. The upstream's leaving was acknowledged at left, after the start,
// and nothing unplanned ever happened.
func Check(seen []Seen, upstream *standin.Backend, start time.Time, left time.Duration) []string {
	s := &server{backend: upstream}
	if left > 0 {
		s.left = start.Add(left)
	}
	f := &fleet{options: Options{CheckTiming: true}, nodes: []*node{{servers: []*server{s}}}}
	for range 3 {
		f.published = append(f.published, start)
	}
	for _, one := range seen {
		f.records = append(f.records, record{
			id: one.ID, path: one.Path, once: one.Once, version: one.Version, answer: one.Answer, err: one.Err, same: true,
			sent: start.Add(one.Sent), ended: start.Add(one.Sent + one.Took),
		})
	}
	f.check()
	return f.violations
}
