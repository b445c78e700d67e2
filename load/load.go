package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/banyancross/banyancross/deployment"
	"github.com/banyancross/banyancross/entry"
	"github.com/banyancross/banyancross/standin"
)

const (
	maxLatency    = time.Minute
	precision     = 3
	clientTimeout = 15 * time.Second
)

// Stream is a stream of calls to one service.
type Stream struct {
	Service string
	// Rate is the mean number of calls a second, with exponential gaps.
	Rate float64
	// Keyed makes the calls non-idempotent with a key of their own.
	Keyed bool
	// Timeout is sent with each call when it is not zero.
	Timeout time.Duration
}

// Event changes the fleet at a time after the start.
type Event struct {
	After time.Duration
	Do    func()
}

// Plan says how long and with which events streams run.
type Plan struct {
	Duration time.Duration
	Seed     uint64
	Events   []Event
	// Warmup is how long calls are sent before they are measured.
	Warmup time.Duration
}

// Count holds what was seen of one service.
type Count struct {
	Calls    int
	Answered int
	NotRun   int
	Unknown  int
	None     int
	OnTime   int
	latency  *hdrhistogram.Histogram
	// felt counts a call without a whole answer at its deadline.
	felt *hdrhistogram.Histogram
}

// Felt returns a quantile, in percent, of the latency of all calls, in which
// one without a whole answer counts as long as its timeout.
func (c *Count) Felt(percent float64) time.Duration {
	return time.Duration(c.felt.ValueAtQuantile(percent)) * time.Microsecond
}

// Quantile returns a latency quantile of the answered calls, in percent.
func (c *Count) Quantile(percent float64) time.Duration {
	return time.Duration(c.latency.ValueAtQuantile(percent)) * time.Microsecond
}

// Result holds what was seen of all services.
type Result struct {
	mu     sync.Mutex
	order  []string
	counts map[string]*Count
	warm   int
	stall  time.Duration
}

// Stall returns the longest time that this process was kept from running, by
// which its figures are distorted.
func (r *Result) Stall() time.Duration { return r.stall }

// Calls returns how many calls were sent, those of the warm-up included.
func (r *Result) Calls() int {
	calls := r.warm
	for _, count := range r.counts {
		calls += count.Calls
	}
	return calls
}

// WithoutOutcome returns how many calls ended without an outcome.
func (r *Result) WithoutOutcome() int {
	none := 0
	for _, count := range r.counts {
		none += count.None
	}
	return none
}

// Service returns the counts of a service.
func (r *Result) Service(name string) *Count { return r.counts[name] }

// Print writes the result as a table.
func (r *Result) Print(w io.Writer) error {
	writer := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(writer, "service\tcalls\tanswered\tnot-run\tunknown\tnone\tp50\tp99\tp99.9")
	for _, name := range r.order {
		c := r.counts[name]
		_, _ = fmt.Fprintf(writer, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", name, c.Calls, c.Answered, c.NotRun, c.Unknown,
			c.None, milliseconds(c.Quantile(50)), milliseconds(c.Quantile(99)), milliseconds(c.Quantile(99.9)))
	}
	return writer.Flush()
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1fms", float64(d)/float64(time.Millisecond))
}

// runner sends the calls of a run.
type runner struct {
	fleet  *deployment.Deployment
	client *http.Client
	result *Result
	group  sync.WaitGroup
	start  time.Time
	warmup time.Duration
}

// Run sends the streams to the fleet's nodes in turn and returns when all calls
// have ended.
func Run(ctx context.Context, fleet *deployment.Deployment, streams []Stream, plan Plan) *Result {
	dialer := &net.Dialer{Timeout: time.Second}
	delay := func() time.Duration { return fleet.Shape.CallerDelay }
	transport := &http.Transport{
		MaxIdleConnsPerHost: 1024, DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil || fleet.Shape.CallerDelay == 0 {
				return conn, err
			}
			return standin.Delay(conn, delay), nil
		},
	}
	defer transport.CloseIdleConnections()
	r := &runner{
		fleet: fleet, client: &http.Client{Transport: transport, Timeout: clientTimeout},
		result: &Result{counts: map[string]*Count{}}, start: time.Now(), warmup: plan.Warmup,
	}
	for i, stream := range streams {
		r.result.order = append(r.result.order, stream.Service)
		r.result.counts[stream.Service] = &Count{latency: newHistogram(), felt: newHistogram()}
		seed := plan.Seed + uint64(i)
		r.group.Add(1)
		go func() {
			defer r.group.Done()
			r.stream(ctx, stream, plan, rand.New(rand.NewPCG(seed, seed)))
		}()
	}
	for _, event := range plan.Events {
		r.group.Add(1)
		go func() {
			defer r.group.Done()
			sleepUntil(ctx, r.start.Add(plan.Warmup+event.After))
			event.Do()
		}()
	}
	watched := make(chan time.Duration)
	finished := make(chan struct{})
	go func() { watched <- longestStall(finished) }()
	r.group.Wait()
	close(finished)
	r.result.stall = <-watched
	return r.result
}

const stallTick = 2 * time.Millisecond

// longestStall measures how much later than asked a sleeper wakes.
func longestStall(finished <-chan struct{}) time.Duration {
	longest := time.Duration(0)
	last := time.Now()
	for {
		select {
		case <-finished:
			return longest
		case <-time.After(stallTick):
		}
		now := time.Now()
		longest = max(longest, now.Sub(last)-stallTick)
		last = now
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), precision)
}

func sleepUntil(ctx context.Context, t time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(t)):
	}
}

// stream sends calls when they are due, whether or not earlier ones ended.
func (r *runner) stream(ctx context.Context, stream Stream, plan Plan, rng *rand.Rand) {
	due := r.start
	end := r.start.Add(plan.Warmup + plan.Duration)
	for ctx.Err() == nil {
		due = due.Add(time.Duration(rng.ExpFloat64() / stream.Rate * float64(time.Second)))
		if due.After(end) {
			return
		}
		sleepUntil(ctx, due)
		member := r.pick(rng)
		r.group.Add(1)
		go func() {
			defer r.group.Done()
			r.call(ctx, member, stream, due)
		}()
	}
}

// pick returns a member that takes calls.
func (r *runner) pick(rng *rand.Rand) *deployment.Member {
	for {
		member := r.fleet.Members[rng.IntN(len(r.fleet.Members))]
		if !member.Lost() {
			return member
		}
	}
}

func (r *runner) call(ctx context.Context, member *deployment.Member, stream Stream, due time.Time) {
	method, body := http.MethodGet, io.Reader(http.NoBody)
	if stream.Keyed {
		method, body = http.MethodPost, strings.NewReader(`{"candles":3}`)
	}
	request, err := http.NewRequestWithContext(ctx, method,
		"http://"+member.Settings.CallerAddress()+"/"+stream.Service+"/", body)
	if err != nil {
		return
	}
	id, err := uuid.NewV7()
	if err != nil {
		return
	}
	request.Header.Set(standin.RequestIDHeader, id.String())
	if stream.Keyed {
		request.Header.Set("Idempotency-Key", id.String())
		request.GetBody = nil
	}
	if stream.Timeout > 0 {
		request.Header.Set("Banyancross-Timeout", stream.Timeout.String())
	}
	outcome, whole := r.send(request, id.String())
	r.record(stream, due, outcome, whole)
}

// send returns the outcome header, and whether the whole answer came and was
// the request's own.
func (r *runner) send(request *http.Request, id string) (outcome string, whole bool) {
	response, err := r.client.Do(request)
	if err != nil {
		return "", false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "", false
	}
	outcome = response.Header.Get(entry.OutcomeHeader)
	whole = response.StatusCode == http.StatusOK && strings.Contains(string(body), id)
	return outcome, whole
}

func (r *runner) record(stream Stream, due time.Time, outcome string, whole bool) {
	elapsed := time.Since(due)
	r.result.mu.Lock()
	defer r.result.mu.Unlock()
	if due.Sub(r.start) < r.warmup {
		r.result.warm++
		return
	}
	count := r.result.counts[stream.Service]
	count.Calls++
	switch outcome {
	case "answered":
		count.Answered++
	case "not-run":
		count.NotRun++
	case "unknown":
		count.Unknown++
	default:
		count.None++
	}
	felt := elapsed
	if !whole {
		felt = max(felt, stream.Timeout)
	}
	_ = count.felt.RecordValue(min(felt, maxLatency).Microseconds())
	if !whole {
		return
	}
	_ = count.latency.RecordValue(min(elapsed, maxLatency).Microseconds())
	if stream.Timeout == 0 || elapsed <= stream.Timeout+2*r.fleet.Shape.CallerDelay {
		count.OnTime++
	}
}
