package ingress

import (
	"maps"
	"sync"

	"github.com/banyancross/banyancross/route"
)

const (
	// maxLeafCalls is the mean number of nested calls per run up to which a route counts
	// as one whose runs make none.
	maxLeafCalls = 0.1
	// minNestedSamples is the number of runs from which the mean is used instead of
	// assumedNestedCalls.
	minNestedSamples = 3
	// maxNestedSamples is the number of runs that the mean covers.
	maxNestedSamples = 100
	// assumedNestedCalls is the assumed number of calls that a run makes to each other
	// service, as long as its route has few samples.
	assumedNestedCalls = 1.0
)

// nestedCalls estimates how many calls to other services a run makes, from the counts
// that gates report with their answers; it is safe for concurrent use.
type nestedCalls struct {
	mu    sync.Mutex
	means map[nestedKey]*nestedMean
}

// nestedKey identifies the runs of a route at a service.
type nestedKey struct{ route, service string }

// nestedMean is the mean number of calls per run, by the called service.
type nestedMean struct {
	samples float64
	calls   map[string]float64
}

func newNestedCalls() *nestedCalls { return &nestedCalls{means: map[nestedKey]*nestedMean{}} }

// observe adds the calls of one run.
func (n *nestedCalls) observe(key nestedKey, calls map[string]int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	mean := n.means[key]
	if mean == nil {
		mean = &nestedMean{calls: map[string]float64{}}
		n.means[key] = mean
	}
	mean.samples = min(mean.samples+1, maxNestedSamples)
	for service, value := range mean.calls {
		mean.calls[service] = value - value/mean.samples
	}
	for service, count := range calls {
		mean.calls[service] += float64(count) / mean.samples
	}
}

// estimate returns the expected calls of a run, by the called service; the map is the
// caller's.
func (n *nestedCalls) estimate(key nestedKey, table *route.Table) map[string]float64 {
	expected := map[string]float64{}
	n.mu.Lock()
	defer n.mu.Unlock()
	mean := n.means[key]
	if mean == nil || mean.samples < minNestedSamples {
		for _, service := range table.ServiceNames() {
			if service != key.service {
				expected[service] = assumedNestedCalls
			}
		}
		return expected
	}
	for service, calls := range mean.calls {
		expected[service] = calls
	}
	return expected
}

// measured returns the mean number of calls of a run, by the called service, nil with too
// few samples; the map is the caller's.
func (n *nestedCalls) measured(key nestedKey) map[string]float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	mean := n.means[key]
	if mean == nil || mean.samples < minNestedSamples {
		return nil
	}
	return maps.Clone(mean.calls)
}

// expectedCalls returns the expected nested calls of a run of the request, by the
// called service.
func (s *session) expectedCalls() map[string]float64 {
	return s.in.nestedCalls.estimate(nestedKey{s.route.Name, s.service}, s.table)
}

// callsOthers reports whether runs of the request make nested calls.
func (s *session) callsOthers() bool { return callsAny(s.expectedCalls()) }

// callsAny reports whether the expected nested calls of a run, by the called service, are
// more than those of a route whose runs make none.
func callsAny(expected map[string]float64) bool {
	total := 0.0
	for _, calls := range expected {
		total += calls
	}
	return total > maxLeafCalls
}

// recordNestedCalls records the calls that a run of the request made. If the request is
// itself a nested call, they count as calls of the run that made it, too.
func (s *session) recordNestedCalls(calls map[string]int) {
	s.in.nestedCalls.observe(nestedKey{s.route.Name, s.service}, calls)
	for service, count := range calls {
		s.in.parentRun(s.headers.ParentID(), service, count)
	}
}
