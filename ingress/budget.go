package ingress

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/banyancross/banyancross/fleet"
)

// RetryBudget bounds the retries and hedges that all nodes together send within
// any span of Window. A nested call of a retried run counts as a retry of the called
// service.
type RetryBudget struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of retries allowed in addition.
	Slack  float64
	Window time.Duration
}

const (
	// budgetShare is the share of the budget that is spent. The nodes share the bound
	// but not their counts, and each divides the slack by the number of nodes in its
	// view: the rest of the budget covers a view that lacks a quarter of the nodes
	// because they are silent, and runs that make more calls than expected.
	budgetShare = 0.75
	// requestBuckets is the number of buckets in a window. The latest is not over, so
	// that requests count for a little less than the window.
	requestBuckets = 10
	// retryBuckets is the number of buckets for which a retry counts: those of a whole
	// window, the latest, and one for the time until it reaches the upstream.
	retryBuckets = requestBuckets + 2
)

// retryBudgets accounts for this node's share of the budget, by service.
type retryBudgets struct {
	bounds RetryBudget
	view   *fleet.View
	// started is when the process started, and the start of bucket 0. Buckets are
	// numbered by the monotonic time since then, because the wall clock may be set back.
	started time.Time
	// advance is the share of a retry that may be spent before it is earned, from 0 to 1.
	// It is drawn for each process, so that processes which end before they earn a whole
	// retry spend on average what they earn, and not nothing.
	advance float64

	mu       sync.Mutex
	services map[string]*sendWindow
}

func newRetryBudgets(b RetryBudget, view *fleet.View, started time.Time, advance float64) *retryBudgets {
	return &retryBudgets{bounds: b, view: view, started: started, advance: advance, services: map[string]*sendWindow{}}
}

// slack returns this node's share of the slack. An earlier process of the node may have
// used it up, so a new one has none for as long as that counts. Its view of the other nodes
// is complete by then, too.
func (b *retryBudgets) slack(now time.Time, nodes int) float64 {
	if now.Sub(b.started) < retryBuckets*b.span() {
		return 0
	}
	return b.bounds.Slack / float64(nodes)
}

// RetryUsage is the use of a node's share of the retry budget of a service.
type RetryUsage struct {
	Service string
	// Nodes is the least number of nodes that the slack was divided by since the latest
	// report, 0 without a decision.
	Nodes int
	// Requests and Retries are those that count now. Retries include the nested calls that
	// retried runs were expected to make.
	Requests, Retries float64
	// Granted, Denied and Refunded count the decisions on retries since the latest
	// report, and Nested the nested calls of retried runs that came to this node.
	Granted, Denied, Refunded, Nested int
}

// sendWindow counts the requests and retries of one service in a sliding window.
type sendWindow struct {
	// unreported holds the counts since the latest report.
	unreported RetryUsage
	requests   [retryBuckets]float64
	retries    [retryBuckets]float64
	// bucket is the number of the latest bucket.
	bucket int64
}

// retryCharge is what a retry takes from the budgets: one retry of the service that runs
// it, and the nested calls of the run from the services that it calls.
type retryCharge struct {
	service string
	amounts map[string]float64
	// bucket is the number of the bucket that it was taken from.
	bucket int64
}

// newRetryCharge returns the charge for a retry whose run makes calls to other services.
func newRetryCharge(service string, calls map[string]float64) *retryCharge {
	c := &retryCharge{service: service, amounts: maps.Clone(calls)}
	if c.amounts == nil {
		c.amounts = map[string]float64{}
	}
	c.amounts[service]++
	return c
}

// span returns the length of a bucket.
func (b *retryBudgets) span() time.Duration {
	return max(b.bounds.Window/requestBuckets, time.Millisecond)
}

// window returns the counts of a service, without the buckets that have left the
// window at now; b.mu is held.
func (b *retryBudgets) window(now time.Time, name string) *sendWindow {
	w := b.services[name]
	if w == nil {
		w = &sendWindow{}
		b.services[name] = w
	}
	bucket := int64(now.Sub(b.started) / b.span())
	for next := max(w.bucket+1, bucket-retryBuckets+1); next <= bucket; next++ {
		w.requests[next%retryBuckets], w.retries[next%retryBuckets] = 0, 0
	}
	w.bucket = max(w.bucket, bucket)
	return w
}

// totals returns the requests and retries in the window.
func (w *sendWindow) totals() (requests, retries float64) {
	for i := range w.retries {
		retries += w.retries[i]
	}
	for bucket := max(w.bucket-requestBuckets+1, 0); bucket <= w.bucket; bucket++ {
		requests += w.requests[bucket%retryBuckets]
	}
	return requests, retries
}

// takeUsage returns the usage of the services for which a decision was made since the
// latest call, sorted by service.
func (b *retryBudgets) takeUsage(now time.Time) []RetryUsage {
	b.mu.Lock()
	defer b.mu.Unlock()
	var usages []RetryUsage
	for name := range b.services {
		w := b.window(now, name)
		if w.unreported == (RetryUsage{}) {
			continue
		}
		usage := w.unreported
		usage.Service = name
		usage.Requests, usage.Retries = w.totals()
		usages = append(usages, usage)
		w.unreported = RetryUsage{}
	}
	slices.SortFunc(usages, func(a, b RetryUsage) int { return strings.Compare(a.Service, b.Service) })
	return usages
}

// recordRequest counts a request to a service.
func (b *retryBudgets) recordRequest(now time.Time, name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, name)
	w.requests[w.bucket%retryBuckets]++
}

// recordNested counts a nested call of a retried run, which is charged already.
func (b *retryBudgets) recordNested(now time.Time, name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(now, name).unreported.Nested++
}

// spend takes the charge for one retry from the budgets and reports whether all of them
// have room for it. reserve is the share of the budgets that must remain unspent.
func (b *retryBudgets) spend(now time.Time, c *retryCharge, reserve float64) bool {
	nodes := b.view.Len() + 1
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, amount := range c.amounts {
		w := b.window(now, name)
		if least := w.unreported.Nodes; least == 0 || nodes < least {
			w.unreported.Nodes = nodes
		}
		requests, retries := w.totals()
		allowed := budgetShare * (b.bounds.Ratio*requests + b.slack(now, nodes))
		if amount > 0 && retries+amount*(1-b.advance) > allowed*(1-reserve) {
			w.unreported.Denied++
			return false
		}
	}
	for name, amount := range c.amounts {
		w := b.window(now, name)
		w.retries[w.bucket%retryBuckets] += amount
		c.bucket = w.bucket
	}
	b.services[c.service].unreported.Granted++
	return true
}

// refund returns the charge for a retry that did not reach an upstream.
func (b *retryBudgets) refund(now time.Time, c *retryCharge) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, amount := range c.amounts {
		if w := b.window(now, name); c.bucket > w.bucket-retryBuckets {
			w.retries[c.bucket%retryBuckets] -= amount
		}
	}
	b.services[c.service].unreported.Refunded++
}
