package ingress

import (
	"sync"
	"time"

	"github.com/banyancross/banyancross/fleet"
)

// Budget bounds the sends of requests beyond the first of each, over all nodes
// and within any span of Window: Ratio for each request and Slack besides.
type Budget struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// ratioShare is the part of the ratio that a node spends itself. Calls that
	// a repeated run makes count as repeats too, and no node sees them as such.
	ratioShare = 0.6
	// slackShare is the part of the slack that the nodes spend together. A node
	// that does not see all others would take too large a share.
	slackShare = 0.6
	// buckets divide the window.
	buckets = 10
)

// budgets keeps this node's share of the budget for each service.
type budgets struct {
	bounds Budget
	view   *fleet.View

	mu       sync.Mutex
	services map[string]*budget
	started  time.Time
}

func newBudgets(b Budget, view *fleet.View) *budgets {
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
	bucket := now.UnixNano() / int64(span)
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

// spend takes one repeat, and tells whether there was one left. reserve is the
// part of the budget that must stay for others.
func (b *budgets) spend(now time.Time, name string, reserve float64) bool {
	peers := len(b.view.Peers()) + 1
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(now, name)
	calls, repeats := 0.0, 0.0
	for i := range buckets {
		calls += s.calls[i]
		repeats += s.repeats[i]
	}
	allowed := ratioShare*b.bounds.Ratio*calls + slackShare*b.bounds.Slack/float64(peers)
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
