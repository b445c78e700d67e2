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
	callSpan      = 3 * time.Second
	callWarmup    = 500 * time.Millisecond
	addedRate     = 2000
	depthCalls    = 1500
	archiveBytes  = 200 << 20
	samplePeriod  = 5 * time.Millisecond
	recordSamples = 50_000
)

// fast returns today's fleet without link delays and service times.
func fast() deployment.Shape {
	shape := deployment.Paguyuban()
	shape.LinkDelay, shape.LinkJitter, shape.CallerDelay, shape.ServiceTime = 0, 0, 0, 0
	return shape
}

// Calls measures the processor time of a call at several rates: the whole
// process, with the caller, two nodes and the backend server.
func Calls(ctx context.Context, rates []int) ([]*Series, error) {
	cpu := &Series{Name: "processor time of caller, two nodes and server", Unit: "% of a core", XLabel: "calls/s"}
	latency := &Series{Name: "p99 of the whole path", Unit: "ms", XLabel: "calls/s"}
	fleet, err := deployment.Start(ctx, fast())
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	for i, rate := range rates {
		before := cpuTime()
		result := load.Run(ctx, fleet, []load.Stream{{Service: "etalase", Rate: float64(rate)}},
			load.Plan{Duration: callSpan, Warmup: callWarmup, Seed: uint64(i)})
		used := cpuTime() - before
		cpu.add(float64(rate), 100*used.Seconds()/(callSpan+callWarmup).Seconds())
		latency.add(float64(rate), milliseconds(result.Service("etalase").Quantile(99)))
	}
	return []*Series{cpu, latency}, nil
}

// Added is the latency that two nodes add to a call.
type Added struct {
	Percent float64
	Direct  time.Duration
	Through time.Duration
}

// AddedLatency sends an open-loop stream to an upstream directly and through
// two nodes, in turns, and returns quantiles of both.
func AddedLatency(ctx context.Context) ([]Added, time.Duration, error) {
	shape := fast()
	shape.Services = []deployment.Service{{Name: "etalase", Upstreams: 2}}
	fleet, err := deployment.Start(ctx, shape)
	if err != nil {
		return nil, 0, err
	}
	defer fleet.Close()
	// The entry node is the one whose own upstream is out of the way.
	fleet.Members[0].Upstream.SetState("draining")
	err = fleet.Wait(ctx, func() bool { return len(fleet.Members[0].Node.Targets("etalase")) == 1 })
	if err != nil {
		return nil, 0, err
	}
	direct := newTimings()
	through := newTimings()
	stall := time.Duration(0)
	for range 4 {
		stall = max(stall, direct.run(ctx, "http://"+fleet.Members[1].Upstream.Address()+"/"))
		stall = max(stall, through.run(ctx, "http://"+fleet.Members[0].Settings.CallerAddress()+"/etalase/"))
	}
	var found []Added
	for _, percent := range []float64{50, 90, 99, 99.9} {
		found = append(found, Added{Percent: percent, Direct: direct.quantile(percent), Through: through.quantile(percent)})
	}
	return found, stall, nil
}

// timings collects latencies of one address.
type timings struct {
	client    *http.Client
	histogram *hdrhistogram.Histogram
}

func newTimings() *timings {
	return &timings{
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}},
		histogram: hdrhistogram.New(1, time.Minute.Microseconds(), 3),
	}
}

func (t *timings) quantile(percent float64) time.Duration {
	return time.Duration(t.histogram.ValueAtQuantile(percent)) * time.Microsecond
}

// run sends addedRate calls a second for a second, and returns the generator's
// longest delay.
func (t *timings) run(ctx context.Context, address string) time.Duration {
	results := make(chan time.Duration, addedRate)
	begin := time.Now()
	stall := time.Duration(0)
	for i := range addedRate {
		due := begin.Add(time.Duration(i) * time.Second / addedRate)
		time.Sleep(time.Until(due))
		stall = max(stall, time.Since(due))
		go func() {
			started := time.Now()
			if t.get(ctx, address) != nil {
				results <- time.Minute
				return
			}
			results <- time.Since(started)
		}()
	}
	for range addedRate {
		_ = t.histogram.RecordValue((<-results).Microseconds())
	}
	return stall
}

func (t *timings) get(ctx context.Context, address string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return err
	}
	response, err := t.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// Depths measures the latency of chains of services without work of their own.
func Depths(ctx context.Context, depths []int) ([]*Series, error) {
	p50 := &Series{Name: "p50 of a chain", Unit: "ms", XLabel: "services deep"}
	p99 := &Series{Name: "p99 of a chain", Unit: "ms", XLabel: "services deep"}
	for _, depth := range depths {
		fleet, err := deployment.Start(ctx, deployment.Chain(depth))
		if err != nil {
			return nil, err
		}
		t := newTimings()
		for range depthCalls {
			started := time.Now()
			if err := t.get(ctx, "http://"+fleet.Members[depth-1].Settings.CallerAddress()+"/link-1/"); err != nil {
				fleet.Close()
				return nil, fmt.Errorf("chain of %d: %w", depth, err)
			}
			_ = t.histogram.RecordValue(time.Since(started).Microseconds())
		}
		fleet.Close()
		p50.add(float64(depth), milliseconds(t.quantile(50)))
		p99.add(float64(depth), milliseconds(t.quantile(99)))
	}
	return []*Series{p50, p99}, nil
}

// Archive sends a large answer through two nodes and returns how much the heap
// of the whole process grew at its peak.
func Archive(ctx context.Context) (growth float64, took time.Duration, err error) {
	shape := fast()
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
	base := heapInUse()
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
	took = time.Since(started)
	close(done)
	if err == nil && n != archiveBytes {
		err = fmt.Errorf("%d bytes of %d", n, archiveBytes)
	}
	return (float64(peak.Load()) - base) / 1e6, took, err
}

func watchPeak(done <-chan struct{}, peak *atomic.Uint64) {
	for {
		select {
		case <-done:
			return
		case <-time.After(samplePeriod):
		}
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		peak.Store(max(peak.Load(), stats.HeapAlloc+stats.StackInuse))
	}
}

// State measures the bytes that one unit of each kind of state takes.
func State() ([]*Series, error) {
	records := &Series{Name: "memory of a remembered key with an answer of 100 bytes", Unit: "B", XLabel: "keys"}
	for _, n := range []int{recordSamples / 5, recordSamples} {
		used, err := recordMemory(n)
		if err != nil {
			return nil, err
		}
		records.add(float64(n), used)
	}
	encoded := &Series{Name: "release notes in force, encoded", Unit: "B", XLabel: "upstreams"}
	report := &Series{Name: "a node's counts of a day, encoded", Unit: "B", XLabel: "services"}
	for _, n := range []int{14, 56, 112, 224, 430} {
		size, err := stateSize(n)
		if err != nil {
			return nil, err
		}
		encoded.add(float64(n), size)
	}
	for _, n := range []int{1, 4, 10, 19} {
		size, err := reportSize(n)
		if err != nil {
			return nil, err
		}
		report.add(float64(n), size)
	}
	return []*Series{records, encoded, report}, nil
}

func recordMemory(n int) (float64, error) {
	base := heapInUse()
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
	used := heapInUse() - base
	runtime.KeepAlive(r)
	return used, nil
}

func stateSize(upstreams int) (float64, error) {
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

func reportSize(services int) (float64, error) {
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
