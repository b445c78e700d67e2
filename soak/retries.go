package soak

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/banyancross/banyancross/standin"
)

// The retry budget in the settings of all nodes.
const (
	retryRatio  = 0.2
	retrySlack  = 60
	retryWindow = 10 * time.Second
)

// arrival is the receipt of a request at an upstream.
type arrival struct {
	id, instance, service string
	at                    time.Time
}

// checkRetries checks the retry budget of each service in every window: the arrivals
// beyond the first of each request, and those of calls that a run beyond the first
// made, are bounded by a share of the callers' requests.
func (f *fleet) checkRetries() {
	requests := map[string][]time.Time{}
	for _, r := range f.records {
		requests[f.serviceOf(r.path)] = append(requests[f.serviceOf(r.path)], r.sent)
	}
	for _, times := range requests {
		slices.SortFunc(times, time.Time.Compare)
	}
	for service, retries := range f.retries() {
		from, worst, excess := 0, 0, 0.0
		for to := range retries {
			for retries[to].Sub(retries[from]) > retryWindow {
				from++
			}
			count := to - from + 1
			allowed := retryRatio*float64(requestsFor(requests[service], retries[to].Add(-retryWindow))) + retrySlack
			if over := float64(count) - allowed; over > excess {
				worst, excess = count, over
			}
		}
		if excess > 0 {
			f.recordViolation("%s got %d retries within %s, %.0f more than the retry budget allows", service, worst, retryWindow, excess)
		}
	}
}

// requestsFor returns the largest number of requests in the window from start, in the
// window before it, and in the one that begins half a window earlier.
func requestsFor(times []time.Time, start time.Time) int {
	most := 0
	for _, shift := range []time.Duration{0, -retryWindow / 2, -retryWindow} {
		first := sort.Search(len(times), func(i int) bool { return !times[i].Before(start.Add(shift)) })
		end := sort.Search(len(times), func(i int) bool { return times[i].After(start.Add(shift + retryWindow)) })
		most = max(most, end-first)
	}
	return most
}

// retries returns the times of the arrivals that count as retries, in order, by
// service.
func (f *fleet) retries() map[string][]time.Time {
	var all []arrival
	for _, n := range f.nodes {
		for _, s := range n.servers {
			for _, a := range s.backend.Arrivals() {
				all = append(all, arrival{id: a.ID, instance: s.backend.Instance(), service: n.service, at: a.At})
			}
		}
	}
	slices.SortFunc(all, func(a, b arrival) int { return a.at.Compare(b.at) })
	// first holds the instance at which each request arrived first.
	first := map[string]string{}
	retries := map[string][]time.Time{}
	for _, a := range all {
		_, arrived := first[a.id]
		if !arrived {
			first[a.id] = a.instance
		}
		parent, instance, nested := standin.NestedParent(a.id)
		if arrived || (nested && first[parent] != instance) {
			retries[a.service] = append(retries[a.service], a.at)
		}
	}
	return retries
}

// serviceOf returns the service of a caller's request.
func (f *fleet) serviceOf(path string) string {
	if strings.HasPrefix(path, standin.NestedPath) {
		return f.options.calledService()
	}
	return service
}
