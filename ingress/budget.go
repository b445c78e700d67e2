package ingress

import (
	"sync"
	"time"

	"github.com/banyancross/banyancross/fleet"
)

// RetryBudget bounds the retries and hedges that all nodes together send within
// any span of Window.
type RetryBudget struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of retries allowed in addition.
	Slack  float64
	Window time.Duration
}

const (
	// leafShare is the share of the budget that is spent on upstreams that call
	// no others. The nodes share the bound but not their counts, and each divides
	// the slack by the number of nodes in its view: the rest of the budget covers
	// a view that lacks a quarter of the nodes because they are silent.
	leafShare = 0.75
	// parentShare is the same for upstreams that call others. The nested calls of
	// a retry count as retries of the called services, which spend leafShare
	// themselves: together they stay below the bound.
	parentShare = 0.4
	// maxLeafFanout is the mean number of nested calls per run up to which an
	// upstream counts as one that calls no others.
	maxLeafFanout = 0.1
	// windowBuckets is the number of buckets in the window; the window's length
	// is exact to one bucket, a tenth of it.
	windowBuckets = 10
)

// retryBudgets accounts for this node's share of the budget, by service.
type retryBudgets struct {
	bounds RetryBudget
	view   *fleet.View
	// origin is the start of bucket 0. Buckets are numbered by the monotonic time
	// since then, because the wall clock may be set back.
	origin time.Time

	mu       sync.Mutex
	services map[string]*sendWindow
}

func newRetryBudgets(b RetryBudget, view *fleet.View) *retryBudgets {
	return &retryBudgets{bounds: b, view: view, services: map[string]*sendWindow{}}
}

// sendWindow counts the requests and retries of one service in a sliding window.
type sendWindow struct {
	requests [windowBuckets]float64
	retries  [windowBuckets]float64
	// bucket is the number of the latest bucket.
	bucket int64
}

// window returns the counts of a service, without the buckets that have left the
// window at now; b.mu is held.
func (b *retryBudgets) window(now time.Time, name string) *sendWindow {
	w := b.services[name]
	if w == nil {
		w = &sendWindow{}
		b.services[name] = w
	}
	span := max(b.bounds.Window/windowBuckets, time.Millisecond)
	if b.origin.IsZero() {
		b.origin = now
	}
	bucket := int64(now.Sub(b.origin) / span)
	for next := max(w.bucket+1, bucket-windowBuckets+1); next <= bucket; next++ {
		w.requests[next%windowBuckets], w.retries[next%windowBuckets] = 0, 0
	}
	if bucket > w.bucket {
		w.bucket = bucket
	}
	return w
}

// recordRequest counts a request to a service.
func (b *retryBudgets) recordRequest(now time.Time, name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, name)
	w.requests[w.bucket%windowBuckets]++
}

// recordRetry counts a nested call of a run that is itself a retry: such a call
// counts as a retry, not as a request.
func (b *retryBudgets) recordRetry(now time.Time, name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, name)
	w.retries[w.bucket%windowBuckets]++
}

// spend charges one retry to the budget of a service and reports whether there was
// one left. reserve is the share of the budget that must remain unspent.
func (b *retryBudgets) spend(now time.Time, name string, fanout float32, reserve float64) bool {
	nodes := b.view.Len() + 1
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, name)
	requests, retries := 0.0, 0.0
	for i := range windowBuckets {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	share := leafShare
	if fanout > maxLeafFanout {
		share = parentShare
	}
	allowed := share * (b.bounds.Ratio*requests + b.bounds.Slack/float64(nodes))
	if retries+1 > allowed*(1-reserve) {
		return false
	}
	w.retries[w.bucket%windowBuckets]++
	return true
}

// refund returns the charge for a retry that did not reach an upstream.
func (b *retryBudgets) refund(now time.Time, name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, name)
	for i := range windowBuckets {
		at := (w.bucket - int64(i) + windowBuckets) % windowBuckets
		if w.retries[at] > 0 {
			w.retries[at]--
			return
		}
	}
}
