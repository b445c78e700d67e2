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
	// startTimeout bounds the start of a fleet, on a machine that is busy.
	startTimeout = 30 * time.Second
	// recoveryTimeout is when a fleet must serve again after the last disturbance.
	recoveryTimeout = 15 * time.Second
	// pollInterval is the pause between looks at whether the fleet serves.
	pollInterval = 100 * time.Millisecond
)

// Options say what to run.
type Options struct {
	// Seed draws the disturbances.
	Seed uint64
	// Nodes is how many sidecars run.
	Nodes int
	// Duration is how long the fleet is disturbed.
	Duration time.Duration
	// Program is the path of the program.
	Program string
	// Dir takes settings and logs.
	Dir string
	// CheckTiming also checks what has a bound in time.
	CheckTiming bool
}

// Report is what came of a run.
type Report struct {
	// MaxStall is the longest time for which the machine kept the soak itself
	// waiting; what has a bound in time means little when it is long.
	MaxStall   time.Duration
	Events     []string
	Requests   int
	Served     int
	Violations []string
}

// fleet is the state of a run.
type fleet struct {
	options  Options
	platform *standin.Platform
	nodes    []*node

	mu sync.Mutex
	// publishedAt is when each version of the configuration was stored.
	publishedAt []time.Time
	lastFault   time.Time
	records     []record
	violations  []string
	maxStall    time.Duration
}

// Run plays one run.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, &Error{op: "directory", kind: KindSetup, err: err}
	}
	f := &fleet{options: o, platform: standin.NewPlatform()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, &Error{op: "listen", kind: KindSetup, err: err}
	}
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

// runScenario starts the nodes, disturbs them, lets them settle and checks.
func (f *fleet) runScenario(ctx context.Context) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.measureStalls(ctx)
	f.publish()
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return nil, err
		}
		go n.sendHeartbeats(ctx)
	}
	if !f.waitUntilServing(ctx, "before", startTimeout) {
		return nil, &Error{op: "start", kind: KindNotServing, err: eris.Errorf("not all nodes serve after %s", startTimeout)}
	}
	callerCtx, stopCalling := context.WithCancel(ctx)
	defer stopCalling()
	var callers sync.WaitGroup
	for _, n := range f.nodes {
		for i := range callersPerNode {
			callers.Go(func() { f.runCaller(callerCtx, n, i) })
		}
	}
	events := drawEvents(f.options.Seed, f.options.Nodes, f.options.Duration)
	f.runEvents(ctx, events)
	served := f.waitUntilServing(ctx, "after", recoveryTimeout+f.recoverySlack())
	stopCalling()
	callers.Wait()
	if !served && ctx.Err() == nil {
		f.recordViolation("not all nodes serve %s after the last disturbance", recoveryTimeout)
	}
	f.check()
	return f.report(events), ctx.Err()
}

// recoverySlack is added to the bound on recovery when times are not checked.
func (f *fleet) recoverySlack() time.Duration {
	if f.options.CheckTiming {
		return 0
	}
	return startTimeout
}

// runEvents plays the events and waits until all are over.
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

// waitUntilServing waits until each node has a request served.
func (f *fleet) waitUntilServing(ctx context.Context, idPrefix string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c := standin.NewCaller()
	defer c.Close()
	for i, n := range f.nodes {
		for attempt := 0; ; attempt++ {
			r := f.send(ctx, c, n, record{id: fmt.Sprintf("%s-%d-%d", idPrefix, i, attempt), path: "/view/1", node: i})
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

// measureStalls measures how long the machine keeps this process waiting.
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
	for _, one := range f.records {
		if one.err == nil && one.answer.Status == http.StatusOK {
			r.Served++
		}
	}
	return r
}
