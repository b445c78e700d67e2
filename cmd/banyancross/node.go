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

// stopLimit bounds a graceful stop; a second signal ends it at once.
const stopLimit = 10 * time.Minute

// memoryLimit makes the collector work harder before the heap of a node reaches
// the operators' budget of 64 MB.
const memoryLimit = 56 << 20

// nodeCommand runs a node until it is told to stop.
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
	logger := telemetry.NewLogger(c.err, s.LogLevel())
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
	_, _ = fmt.Fprintf(c.out, "node %s takes calls at %s\n", s.Host(), s.CallerAddress())
	<-signals
	return stop(n, logger, signals)
}

// stop leaves the fleet; a second signal cuts what still runs.
func stop(n *node.Node, logger log.Logger, signals <-chan os.Signal) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
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
