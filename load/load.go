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
	// maxLatency is the largest value that the histograms hold.
	maxLatency        = time.Minute
	significantDigits = 3
	clientTimeout     = 15 * time.Second
)

// Stream is a stream of calls to one service.
type Stream struct {
	Service string
	// Rate is the mean number of calls a second of a Poisson process.
	Rate float64
	// Keyed sends each call as a POST with an idempotency key.
	Keyed bool
	// Timeout is sent with each call when it is not zero.
	Timeout time.Duration
}

// Event changes the fleet at a time after the warm-up.
type Event struct {
	After time.Duration
	Do    func()
}

// Plan configures a run: its duration, its seed and its events.
type Plan struct {
	Duration time.Duration
	Seed     uint64
	Events   []Event
	// Warmup is how long calls are sent before the measurement.
	Warmup time.Duration
}

// ServiceResult holds the counts and latencies of the calls to one service.
type ServiceResult struct {
	Calls     int
	Answered  int
	NotRun    int
	Unknown   int
	NoOutcome int
	// OnTime counts complete responses within the timeout, a round trip between
	// caller and node allowed.
	OnTime           int
	completedLatency *hdrhistogram.Histogram
	// overallLatency counts a call without a complete response with at least its
	// timeout.
	overallLatency *hdrhistogram.Histogram
}

// OverallQuantile returns a latency quantile, in percent, of all calls; one
// without a complete response counts with at least its timeout.
func (s *ServiceResult) OverallQuantile(percent float64) time.Duration {
	return time.Duration(s.overallLatency.ValueAtQuantile(percent)) * time.Microsecond
}

// CompletedQuantile returns a latency quantile, in percent, of the calls with a
// complete response.
func (s *ServiceResult) CompletedQuantile(percent float64) time.Duration {
	return time.Duration(s.completedLatency.ValueAtQuantile(percent)) * time.Microsecond
}

// Result holds the results of a run, by service.
type Result struct {
	mu          sync.Mutex
	order       []string
	services    map[string]*ServiceResult
	warmupCalls int
	stall       time.Duration
}

// Stall returns the longest time for which the generator's process did not run.
// Latencies may be too long by as much.
func (r *Result) Stall() time.Duration { return r.stall }

// Calls returns how many calls were sent, those of the warm-up included.
func (r *Result) Calls() int {
	calls := r.warmupCalls
	for _, service := range r.services {
		calls += service.Calls
	}
	return calls
}

// WithoutOutcome returns how many calls ended without an outcome.
func (r *Result) WithoutOutcome() int {
	calls := 0
	for _, service := range r.services {
		calls += service.NoOutcome
	}
	return calls
}

// Service returns the result of a service.
func (r *Result) Service(name string) *ServiceResult { return r.services[name] }

// Print writes the result as a table, without the warm-up.
func (r *Result) Print(w io.Writer) error {
	writer := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(writer, "service\tcalls\tanswered\tnot-run\tunknown\tnone\tp50\tp99\tp99.9")
	for _, name := range r.order {
		service := r.services[name]
		_, _ = fmt.Fprintf(writer, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", name, service.Calls, service.Answered, service.NotRun, service.Unknown,
			service.NoOutcome, milliseconds(service.CompletedQuantile(50)), milliseconds(service.CompletedQuantile(99)), milliseconds(service.CompletedQuantile(99.9)))
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

// Run sends the calls of the streams to random nodes of the fleet and returns
// when all calls have ended.
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
		result: &Result{services: map[string]*ServiceResult{}}, start: time.Now(), warmup: plan.Warmup,
	}
	for i, stream := range streams {
		r.result.order = append(r.result.order, stream.Service)
		r.result.services[stream.Service] = &ServiceResult{completedLatency: newHistogram(), overallLatency: newHistogram()}
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
	longest := make(chan time.Duration)
	finished := make(chan struct{})
	go func() { longest <- longestStall(finished) }()
	r.group.Wait()
	close(finished)
	r.result.stall = <-longest
	return r.result
}

const stallCheckInterval = 2 * time.Millisecond

// longestStall returns the most by which a timer fired late.
func longestStall(finished <-chan struct{}) time.Duration {
	longest := time.Duration(0)
	last := time.Now()
	for {
		select {
		case <-finished:
			return longest
		case <-time.After(stallCheckInterval):
		}
		now := time.Now()
		longest = max(longest, now.Sub(last)-stallCheckInterval)
		last = now
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

func sleepUntil(ctx context.Context, t time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(t)):
	}
}

// stream sends calls at their scheduled times, whether or not earlier ones have
// ended.
func (r *runner) stream(ctx context.Context, stream Stream, plan Plan, rng *rand.Rand) {
	scheduled := r.start
	end := r.start.Add(plan.Warmup + plan.Duration)
	for ctx.Err() == nil {
		scheduled = scheduled.Add(time.Duration(rng.ExpFloat64() / stream.Rate * float64(time.Second)))
		if scheduled.After(end) {
			return
		}
		sleepUntil(ctx, scheduled)
		member := r.pickMember(rng)
		r.group.Add(1)
		go func() {
			defer r.group.Done()
			r.call(ctx, member, stream, scheduled)
		}()
	}
}

// pickMember returns a random member that has not failed.
func (r *runner) pickMember(rng *rand.Rand) *deployment.Member {
	for {
		member := r.fleet.Members[rng.IntN(len(r.fleet.Members))]
		if !member.Failed() {
			return member
		}
	}
}

func (r *runner) call(ctx context.Context, member *deployment.Member, stream Stream, scheduled time.Time) {
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
		// Without GetBody, http.Client does not resend a body that it has begun to send.
		request.GetBody = nil
	}
	if stream.Timeout > 0 {
		request.Header.Set("Banyancross-Timeout", stream.Timeout.String())
	}
	outcome, complete := r.send(request, id.String())
	r.record(stream, scheduled, outcome, complete)
}

// send returns the outcome header, and whether a complete response with status 200
// arrived that carries the request's ID.
func (r *runner) send(request *http.Request, id string) (outcome string, complete bool) {
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
	complete = response.StatusCode == http.StatusOK && strings.Contains(string(body), id)
	return outcome, complete
}

func (r *runner) record(stream Stream, scheduled time.Time, outcome string, complete bool) {
	elapsed := time.Since(scheduled)
	r.result.mu.Lock()
	defer r.result.mu.Unlock()
	if scheduled.Sub(r.start) < r.warmup {
		r.result.warmupCalls++
		return
	}
	service := r.result.services[stream.Service]
	service.Calls++
	switch outcome {
	case "answered":
		service.Answered++
	case "not-run":
		service.NotRun++
	case "unknown":
		service.Unknown++
	default:
		service.NoOutcome++
	}
	overallLatency := elapsed
	if !complete {
		overallLatency = max(overallLatency, stream.Timeout)
	}
	_ = service.overallLatency.RecordValue(min(overallLatency, maxLatency).Microseconds())
	if !complete {
		return
	}
	_ = service.completedLatency.RecordValue(min(elapsed, maxLatency).Microseconds())
	if stream.Timeout == 0 || elapsed <= stream.Timeout+2*r.fleet.Shape.CallerDelay {
		service.OnTime++
	}
}
