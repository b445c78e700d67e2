package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/banyancross/banyancross/node"
	"github.com/banyancross/banyancross/settings"
	"github.com/banyancross/banyancross/telemetry"
)

// stopTimeout bounds a graceful stop; a second signal ends it early.
const stopTimeout = 10 * time.Minute

// memoryLimit is the garbage collector's soft limit in bytes. It is below the
// operators' budget of 64 MB for a node, so that collections become more frequent
// before the heap reaches it.
const memoryLimit = 56 << 20

// nodeCommand runs a node until SIGTERM or SIGINT.
type nodeCommand struct {
	Settings string `required:"" type:"path" help:"The settings file, in TOML."`
}

// Run implements the command.
func (command *nodeCommand) Run(c console) error {
	s, err := settings.Read(command.Settings)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(memoryLimit)
	logger := telemetry.NewLogger(c.stderr, s.LogLevel())
	metrics := telemetry.NewMetrics(map[string]string{"host": s.Host(), "failure_domain": s.FailureDomain()})
	defer func() { _ = metrics.Close() }()
	tracer, err := telemetry.NewTracer(context.Background(), s.TraceCollector(), s.Host())
	if err != nil {
		return err
	}
	defer func() { _ = tracer.Close(context.Background()) }()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	n, err := node.New(s, node.WithLogger(logger), node.WithMetrics(metrics.Handler()),
		node.WithObserver(metrics.ObserveCall), node.WithTracer(tracer.Tracer()))
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.stdout, "node %s takes calls at %s\n", s.Host(), s.CallerAddress())
	<-signals
	return stop(n, logger, signals)
}

// stop drains the node and leaves the fleet; a second signal ends the drain and
// aborts the calls in progress.
func stop(n *node.Node, logger log.Logger, signals <-chan os.Signal) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	go func() {
		select {
		case <-signals:
			_ = level.Warn(logger).Log("event", "second-signal", "cutting", n.RunningCalls())
			cancel()
		case <-ctx.Done():
		}
	}()
	return n.Stop(ctx)
}
