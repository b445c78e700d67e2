package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/banyancross/banyancross/standin"
)

const (
	// startTimeout bounds the start of a fleet, also on a busy machine.
	startTimeout = 30 * time.Second
	// recoveryTimeout bounds the time until a fleet serves again after the last
	// event.
	recoveryTimeout = 15 * time.Second
	// pollInterval is the interval between two checks whether the fleet serves.
	pollInterval = 100 * time.Millisecond
)

// Options configure a run.
type Options struct {
	// Seed is the seed from which events and requests are drawn.
	Seed     uint64
	Scenario Scenario
	// Nodes is the number of sidecars.
	Nodes int
	// ThinkTime is the mean time between an answer and the caller's next request.
	ThinkTime time.Duration
	// Duration is the period in which events start, apart from their repetitions.
	Duration time.Duration
	// Program is the path of the banyancross executable.
	Program string
	// Dir is the directory for settings and logs.
	Dir string
	// CheckTiming enables the checks that depend on a time limit.
	CheckTiming bool
}

// Report is the result of a run.
type Report struct {
	// MaxStall is the longest delay of the soak process by the scheduler of the
	// machine. If it is long, the checks with a time limit mean little.
	MaxStall time.Duration
	Events   []string
	Requests int
	// Served is the number of requests that got status 200.
	Served     int
	Violations []string
}

// fleet is the state of a run.
type fleet struct {
	options  Options
	platform *standin.Platform
	nodes    []*node

	mu sync.Mutex
	// publishedAt holds the time at which each version of the configuration was
	// stored, from version 1.
	publishedAt []time.Time
	// lastFault is when a fault last began or ended.
	lastFault  time.Time
	records    []record
	violations []string
	maxStall   time.Duration
}

// Run starts a fleet, runs the events of the seed, and reports what was violated.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, &Error{op: "directory", kind: KindSetup, err: err}
	}
	f := &fleet{options: o, platform: standin.NewPlatform()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, &Error{op: "listen", kind: KindSetup, err: err}
	}
	f.platform.SetTimeline(1)
	server := &http.Server{Handler: f.platform, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	defer func() {
		f.platform.Close()
		_ = server.Close()
	}()
	defer f.close()
	for i := range o.Nodes {
		n, err := newNode(o, i, listener.Addr().String())
		if err != nil {
			return nil, err
		}
		n.recordViolation = f.recordViolation
		f.nodes = append(f.nodes, n)
	}
	return f.runScenario(ctx)
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		n.close()
	}
}

// runScenario starts the nodes and callers, runs the events, waits until all nodes
// serve again, and runs the checks.
func (f *fleet) runScenario(ctx context.Context) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.measureStalls(ctx)
	f.publishConfiguration()
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return nil, err
		}
		go n.sendHeartbeats(ctx)
	}
	if !f.waitUntilServing(ctx, "before", 0, startTimeout) {
		return nil, &Error{op: "start", kind: KindNotServing, err: eris.Errorf("not all nodes serve requests after %s", startTimeout)}
	}
	callerCtx, stopCalling := context.WithCancel(ctx)
	defer stopCalling()
	var callers sync.WaitGroup
	for _, n := range f.nodes {
		for i := range f.options.callersPerNode() {
			callers.Go(func() { f.runCaller(callerCtx, n, i) })
		}
	}
	draw := drawMixed
	switch f.options.Scenario {
	case KillStorm:
		f.setUpstreamLosses(stormLossShare)
		draw = drawKills
	case RepeatedRejections:
		draw = drawRepeatedRejections
	case StoreRestores:
		draw = drawStoreRestores
	}
	events := draw(f.options.Seed, f.options.Nodes, f.options.Duration)
	f.runEvents(ctx, events)
	f.setUpstreamLosses(0)
	version := 0
	if f.options.Scenario == StoreRestores {
		version = f.restoreLast(ctx)
	}
	served := f.waitUntilServing(ctx, "after", version, recoveryTimeout+f.recoverySlack())
	stopCalling()
	callers.Wait()
	if !served && ctx.Err() == nil {
		f.recordViolation("not all nodes serve requests %s after the last event", recoveryTimeout)
	}
	f.check()
	return f.report(events), ctx.Err()
}

// recoverySlack is added to recoveryTimeout when timing is not checked.
func (f *fleet) recoverySlack() time.Duration {
	if f.options.CheckTiming {
		return 0
	}
	return startTimeout
}

// runEvents starts each event at its offset and waits until all have ended.
func (f *fleet) runEvents(ctx context.Context, events []event) {
	began := time.Now()
	var running sync.WaitGroup
	for _, e := range events {
		sleep(ctx, e.offset-time.Since(began))
		if ctx.Err() != nil {
			break
		}
		running.Go(func() { f.apply(ctx, e) })
	}
	running.Wait()
}

// waitUntilServing waits until each node has answered a request with status 200, on the route
// of a version of the configuration unless that is 0. It returns false if that takes longer than
// timeout.
func (f *fleet) waitUntilServing(ctx context.Context, idPrefix string, version int, timeout time.Duration) bool {
	path := "/view/1"
	if version > 0 {
		path = versionPath(version)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c := standin.NewCaller()
	defer c.Close()
	for i, n := range f.nodes {
		for attempt := 0; ; attempt++ {
			r := f.send(ctx, c, n, record{id: fmt.Sprintf("%s-%d-%d", idPrefix, i, attempt), path: path, version: version, node: i})
			if r.err == nil && r.answer.Status == http.StatusOK {
				break
			}
			if ctx.Err() != nil {
				return false
			}
			sleep(ctx, pollInterval)
		}
	}
	return true
}

// measureStalls measures how late the scheduler wakes this process.
func (f *fleet) measureStalls(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		sleep(ctx, pollInterval)
		stall := time.Since(began) - pollInterval
		f.mu.Lock()
		f.maxStall = max(f.maxStall, stall)
		f.mu.Unlock()
	}
}

func (f *fleet) report(events []event) *Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &Report{MaxStall: f.maxStall, Requests: len(f.records), Violations: f.violations}
	for _, e := range events {
		r.Events = append(r.Events, e.String())
	}
	for _, rec := range f.records {
		if rec.err == nil && rec.answer.Status == http.StatusOK {
			r.Served++
		}
	}
	return r
}
