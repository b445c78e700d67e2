package capacity

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/deployment"
	"github.com/banyancross/banyancross/idempotency"
	"github.com/banyancross/banyancross/load"
	"github.com/banyancross/banyancross/note"
	"github.com/banyancross/banyancross/totals"
)

const (
	callDuration = 3 * time.Second
	callWarmup   = 500 * time.Millisecond
	// addedLatencyRate is in calls a second.
	addedLatencyRate     = 2000
	callsPerChain        = 1500
	archiveBytes         = 200 << 20
	memorySampleInterval = 5 * time.Millisecond
	maxRecords           = 50_000
)

// zeroDelayShape returns the Paguyuban fleet without network delays and service
// times.
func zeroDelayShape() deployment.Shape {
	shape := deployment.Paguyuban()
	shape.LinkDelay, shape.LinkJitter, shape.CallerDelay, shape.ServiceTime = 0, 0, 0, 0
	return shape
}

// MeasureCallCost measures the processor time and the latency of calls at several
// rates. The processor time is that of the whole process: the caller, two nodes
// and the backend server.
func MeasureCallCost(ctx context.Context, rates []int) ([]*Series, error) {
	cpu := &Series{Name: "processor time of caller, two nodes and server", Unit: "% of a core", XLabel: "calls/s"}
	latency := &Series{Name: "p99 of the whole path", Unit: "ms", XLabel: "calls/s"}
	fleet, err := deployment.Start(ctx, zeroDelayShape())
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	for i, rate := range rates {
		before := cpuTime()
		result := load.Run(ctx, fleet, []load.Stream{{Service: "etalase", Rate: float64(rate)}},
			load.Plan{Duration: callDuration, Warmup: callWarmup, Seed: uint64(i)})
		used := cpuTime() - before
		cpu.add(float64(rate), 100*used.Seconds()/(callDuration+callWarmup).Seconds())
		latency.add(float64(rate), milliseconds(result.Service("etalase").CompletedQuantile(99)))
	}
	return []*Series{cpu, latency}, nil
}

// LatencyQuantile is a quantile of the latency of calls sent directly to an
// upstream and through two nodes.
type LatencyQuantile struct {
	Percent float64
	Direct  time.Duration
	Proxied time.Duration
}

// MeasureAddedLatency alternately sends open-loop calls to an upstream directly
// and through two nodes, and returns quantiles of both and the longest stall of
// the generator.
func MeasureAddedLatency(ctx context.Context) ([]LatencyQuantile, time.Duration, error) {
	shape := zeroDelayShape()
	shape.Services = []deployment.Service{{Name: "etalase", Upstreams: 2}}
	fleet, err := deployment.Start(ctx, shape)
	if err != nil {
		return nil, 0, err
	}
	defer fleet.Close()
	// The upstream of the entry node drains, so that calls go through two nodes.
	fleet.Members[0].Upstream.SetState("draining")
	err = fleet.Wait(ctx, func() bool { return len(fleet.Members[0].Node.Targets("etalase")) == 1 })
	if err != nil {
		return nil, 0, err
	}
	direct := newLatencyRecorder()
	proxied := newLatencyRecorder()
	stall := time.Duration(0)
	for range 4 {
		stall = max(stall, direct.sendOpenLoop(ctx, "http://"+fleet.Members[1].Upstream.Address()+"/"))
		stall = max(stall, proxied.sendOpenLoop(ctx, "http://"+fleet.Members[0].Settings.CallerAddress()+"/etalase/"))
	}
	var quantiles []LatencyQuantile
	for _, percent := range []float64{50, 90, 99, 99.9} {
		quantiles = append(quantiles, LatencyQuantile{Percent: percent, Direct: direct.quantile(percent), Proxied: proxied.quantile(percent)})
	}
	return quantiles, stall, nil
}

// latencyRecorder sends calls and records their latencies.
type latencyRecorder struct {
	client    *http.Client
	histogram *hdrhistogram.Histogram
}

func newLatencyRecorder() *latencyRecorder {
	return &latencyRecorder{
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}},
		histogram: hdrhistogram.New(1, time.Minute.Microseconds(), 3),
	}
}

func (r *latencyRecorder) quantile(percent float64) time.Duration {
	return time.Duration(r.histogram.ValueAtQuantile(percent)) * time.Microsecond
}

// sendOpenLoop sends addedLatencyRate calls, evenly spaced over a second, and
// returns the generator's longest stall. A failed call is recorded as a minute.
func (r *latencyRecorder) sendOpenLoop(ctx context.Context, address string) time.Duration {
	results := make(chan time.Duration, addedLatencyRate)
	start := time.Now()
	stall := time.Duration(0)
	for i := range addedLatencyRate {
		scheduled := start.Add(time.Duration(i) * time.Second / addedLatencyRate)
		time.Sleep(time.Until(scheduled))
		stall = max(stall, time.Since(scheduled))
		go func() {
			started := time.Now()
			if r.get(ctx, address) != nil {
				results <- time.Minute
				return
			}
			results <- time.Since(started)
		}()
	}
	for range addedLatencyRate {
		_ = r.histogram.RecordValue((<-results).Microseconds())
	}
	return stall
}

func (r *latencyRecorder) get(ctx context.Context, address string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return err
	}
	response, err := r.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("response with status %d", response.StatusCode)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// MeasureChains measures the latency of chains of services that do no work of
// their own.
func MeasureChains(ctx context.Context, depths []int) ([]*Series, error) {
	p50 := &Series{Name: "p50 of a chain", Unit: "ms", XLabel: "services deep"}
	p99 := &Series{Name: "p99 of a chain", Unit: "ms", XLabel: "services deep"}
	for _, depth := range depths {
		fleet, err := deployment.Start(ctx, deployment.Chain(depth))
		if err != nil {
			return nil, err
		}
		recorder := newLatencyRecorder()
		for range callsPerChain {
			started := time.Now()
			if err := recorder.get(ctx, "http://"+fleet.Members[depth-1].Settings.CallerAddress()+"/link-1/"); err != nil {
				fleet.Close()
				return nil, fmt.Errorf("chain of %d: %w", depth, err)
			}
			_ = recorder.histogram.RecordValue(time.Since(started).Microseconds())
		}
		fleet.Close()
		p50.add(float64(depth), milliseconds(recorder.quantile(50)))
		p99.add(float64(depth), milliseconds(recorder.quantile(99)))
	}
	return []*Series{p50, p99}, nil
}

// MeasureStreamingMemory streams a large response through two nodes. It returns
// the peak growth, in MB, of the heap and stacks of the whole process, and the
// duration.
func MeasureStreamingMemory(ctx context.Context) (growth float64, elapsed time.Duration, err error) {
	shape := zeroDelayShape()
	shape.Services = []deployment.Service{{Name: "pustaka", Upstreams: 2}}
	fleet, err := deployment.Start(ctx, shape)
	if err != nil {
		return 0, 0, err
	}
	defer fleet.Close()
	fleet.Members[0].Upstream.SetState("draining")
	err = fleet.Wait(ctx, func() bool { return len(fleet.Members[0].Node.Targets("pustaka")) == 1 })
	if err != nil {
		return 0, 0, err
	}
	baseline := memoryInUse()
	var peak atomic.Uint64
	done := make(chan struct{})
	go watchPeak(done, &peak)
	started := time.Now()
	response, err := http.Get(fmt.Sprintf("http://%s/pustaka/archive?bytes=%d", fleet.Members[0].Settings.CallerAddress(), archiveBytes))
	if err != nil {
		return 0, 0, err
	}
	n, err := io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	elapsed = time.Since(started)
	close(done)
	if err == nil && n != archiveBytes {
		err = fmt.Errorf("response of %d bytes instead of %d", n, archiveBytes)
	}
	return (float64(peak.Load()) - baseline) / 1e6, elapsed, err
}

// watchPeak samples the size of heap and stacks and stores the largest in peak.
func watchPeak(done <-chan struct{}, peak *atomic.Uint64) {
	for {
		select {
		case <-done:
			return
		case <-time.After(memorySampleInterval):
		}
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		peak.Store(max(peak.Load(), stats.HeapAlloc+stats.StackInuse))
	}
}

// MeasureStateSizes measures the bytes of stored idempotency keys, encoded release
// notes and encoded daily counts, each against their number.
func MeasureStateSizes() ([]*Series, error) {
	records := &Series{Name: "memory of a remembered key with an answer of 100 bytes", Unit: "B", XLabel: "keys"}
	for _, n := range []int{maxRecords / 5, maxRecords} {
		used, err := recordMemory(n)
		if err != nil {
			return nil, err
		}
		records.add(float64(n), used)
	}
	encoded := &Series{Name: "release notes in force, encoded", Unit: "B", XLabel: "upstreams"}
	report := &Series{Name: "a node's counts of a day, encoded", Unit: "B", XLabel: "services"}
	for _, n := range []int{14, 56, 112, 224, 430} {
		size, err := noteStateSize(n)
		if err != nil {
			return nil, err
		}
		encoded.add(float64(n), size)
	}
	for _, n := range []int{1, 4, 10, 19} {
		size, err := countsSize(n)
		if err != nil {
			return nil, err
		}
		report.add(float64(n), size)
	}
	return []*Series{records, encoded, report}, nil
}

// recordMemory returns the memory in use by n idempotency keys with their answers.
func recordMemory(n int) (float64, error) {
	baseline := memoryInUse()
	r := idempotency.NewRecords("kasir-1", "i")
	now := time.Now()
	for range n {
		id, err := uuid.NewV7()
		if err != nil {
			return 0, err
		}
		key, err := idempotency.Parse("bx1/kasir-1/i/" + id.String())
		if err != nil {
			return 0, err
		}
		record, _, _ := r.Claim(now, idempotency.Request{Key: key, Fingerprint: 1, Received: now})
		record.SetAnswered(now, &idempotency.Answer{Status: http.StatusOK, Body: make([]byte, 100), Header: []idempotency.HeaderField{
			{Name: "Content-Type", Value: "application/json"}, {Name: "Content-Length", Value: "100"},
		}})
	}
	used := memoryInUse() - baseline
	runtime.KeepAlive(r)
	return used, nil
}

// noteStateSize returns the encoded size of the release notes in force.
func noteStateSize(upstreams int) (float64, error) {
	document, err := note.Parse("n.toml", []byte(deployment.Sized(upstreams).Note()))
	if err != nil {
		return 0, err
	}
	state, err := (&note.State{}).Apply(document, note.ApplyOptions{Now: time.Now()})
	if err != nil {
		return 0, err
	}
	data, err := state.Encode()
	return float64(len(data)), err
}

// countsSize returns the encoded size of a node's counts of a day with 70,000
// calls to each service.
func countsSize(services int) (float64, error) {
	counter := totals.NewCounter("host-100", "0123abcd")
	for i := range services {
		name := fmt.Sprintf("service-%d", i+1)
		for range 70_000 {
			counter.Received("2026-12-04", name)
			counter.Ran("2026-12-04", name)
			counter.Attempted("2026-12-04", name, totals.Attempt{Ran: true})
			counter.Completed("2026-12-04", name, totals.Completion{Outcome: call.Answered})
		}
	}
	day := totals.Day{}
	day.Merge(counter.Reports(time.Now(), "2026-12-04")[0].Report)
	data, err := day.Encode()
	return float64(len(data)), err
}
