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

// DrawMixed returns the events of a seed of Mixed as text, those in which upstreams
// reject requests apart.
func DrawMixed(seed uint64, nodes int, duration time.Duration) (others, rejections []string) {
	for _, e := range drawMixed(seed, nodes, duration) {
		if e.kind == upstreamRejects {
			rejections = append(rejections, e.String())
		} else {
			others = append(others, e.String())
		}
	}
	return others, rejections
}

// RequestRecord is one request as the caller observed it, in a fleet of one node.
type RequestRecord struct {
	ID, Path   string
	AtMostOnce bool
	Version    int
	Answer     standin.CallerAnswer
	Err        error
	// SentAt is the time from the start to the sending of the request, Elapsed the
	// time from there to its end.
	SentAt, Elapsed time.Duration
}

// Check returns the violations for the given records and the runs of the upstream,
// without any fault. The deregistration of the upstream was acknowledged leftAt after
// the start, or never if leftAt is 0.
func Check(observed []RequestRecord, upstream *standin.Backend, start time.Time, leftAt time.Duration) []string {
	s := &server{backend: upstream}
	if leftAt > 0 {
		s.leftAt = start.Add(leftAt)
	}
	f := &fleet{options: Options{CheckTiming: true}, nodes: []*node{{service: service, servers: []*server{s}}}}
	for range 3 {
		f.publishedAt = append(f.publishedAt, start)
	}
	for _, r := range observed {
		f.records = append(f.records, record{
			id: r.ID, path: r.Path, atMostOnce: r.AtMostOnce, version: r.Version, answer: r.Answer, err: r.Err, sameProcess: true,
			sent: start.Add(r.SentAt), ended: start.Add(r.SentAt + r.Elapsed),
		})
	}
	f.check()
	return f.violations
}
