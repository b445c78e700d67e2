package ingress

import (
	"sync"
	"time"

	"github.com/banyancross/banyancross/fleet"
)

// RetryBudget bounds the sends of requests beyond the first of each, over all nodes
// and within any span of Window: Ratio for each request and Slack besides.
type RetryBudget struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// leafShare is the part of the budget that is spent on upstreams that call
	// no others. The nodes share the bound but not their counts, and a node
	// counts fewer nodes than there are while some are silent: the rest of the
	// budget covers a quarter of them.
	leafShare = 0.75
	// parentShare is that for upstreams that call others. The calls of a repeat
	// are repeats at the services that are called, which spend leafShare
	// themselves: together they stay below the bound.
	parentShare = 0.4
	// leafFanout is the number of calls to a run up to which an upstream counts
	// as one that calls no others.
	leafFanout = 0.1
	// buckets divide the window; a tenth of it is the error at its edge.
	buckets = 10
)

// budgets keeps this node's share of the budget for each service.
type budgets struct {
	bounds RetryBudget
	view   *fleet.View
	// origin is when the buckets begin; times of day may be set back.
	origin time.Time

	mu       sync.Mutex
	services map[string]*budget
}

func newBudgets(b RetryBudget, view *fleet.View) *budgets {
	return &budgets{bounds: b, view: view, services: map[string]*budget{}}
}

// budget counts one service's requests and repeats over the window.
type budget struct {
	calls   [buckets]float64
	repeats [buckets]float64
	bucket  int64
}

// service returns the budget of a service at now; b.mu is held.
func (b *budgets) service(now time.Time, name string) *budget {
	s := b.services[name]
	if s == nil {
		s = &budget{}
		b.services[name] = s
	}
	span := max(b.bounds.Window/buckets, time.Millisecond)
	if b.origin.IsZero() {
		b.origin = now
	}
	bucket := int64(now.Sub(b.origin) / span)
	for next := max(s.bucket+1, bucket-buckets+1); next <= bucket; next++ {
		s.calls[next%buckets], s.repeats[next%buckets] = 0, 0
	}
	if bucket > s.bucket {
		s.bucket = bucket
	}
	return s
}

// called records a request for a service.
func (b *budgets) called(now time.Time, name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(now, name)
	s.calls[s.bucket%buckets]++
}

// repeated records a call that a repeated run makes, which counts as a repeat.
func (b *budgets) repeated(now time.Time, name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(now, name)
	s.repeats[s.bucket%buckets]++
}

// spend takes one repeat, and tells whether there was one left. reserve is the
// part of the budget that must stay for others.
func (b *budgets) spend(now time.Time, name string, fanout float32, reserve float64) bool {
	peers := len(b.view.Peers()) + 1
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(now, name)
	calls, repeats := 0.0, 0.0
	for i := range buckets {
		calls += s.calls[i]
		repeats += s.repeats[i]
	}
	share := leafShare
	if fanout > leafFanout {
		share = parentShare
	}
	allowed := share * (b.bounds.Ratio*calls + b.bounds.Slack/float64(peers))
	if repeats+1 > allowed*(1-reserve) {
		return false
	}
	s.repeats[s.bucket%buckets]++
	return true
}

// refund returns a repeat that did not reach an upstream.
func (b *budgets) refund(now time.Time, name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(now, name)
	for i := range buckets {
		at := (s.bucket - int64(i) + buckets) % buckets
		if s.repeats[at] > 0 {
			s.repeats[at]--
			return
		}
	}
}
