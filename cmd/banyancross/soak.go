package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/banyancross/banyancross/soak"
)

// soakCommand injects faults into fleets of sidecar processes and checks what
// callers and upstreams see.
type soakCommand struct {
	Seed     uint64        `default:"1" help:"The seed of the first run."`
	Seeds    int           `default:"1" help:"How many runs, each with the next seed."`
	Nodes    int           `default:"5" help:"How many sidecars a run has."`
	Span     time.Duration `default:"12s" help:"How long a fleet is disturbed."`
	Scenario string        `enum:"mixed,kill-storm,repeated-rejections,store-restores" default:"mixed" help:"What is injected: all kinds of faults, kills of nodes while upstreams lose answers, all kinds of faults and restores of the store from copies, or all kinds of faults while upstreams reject requests and repeat responses (for 2 or 3 nodes)."`
	Think    time.Duration `default:"25ms" help:"The mean time between an answer and the caller's next request."`
	Timed    bool          `default:"true" negatable:"" help:"Also check what has a bound in time; not for a machine that is busy."`
	Program  string        `help:"The program to run; this one when empty."`
	Dir      string        `type:"path" help:"Where settings and logs go; a temporary directory when empty. The logs of runs in which something was violated are kept."`
	Events   bool          `help:"List the disturbances of each run."`
}

// Run implements the command.
func (command *soakCommand) Run(c console) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	program, dir := command.Program, command.Dir
	var err error
	if program == "" {
		if program, err = os.Executable(); err != nil {
			return err
		}
	}
	if dir == "" {
		if dir, err = os.MkdirTemp("", "banyancross-soak-"); err != nil {
			return err
		}
	}
	failed := 0
	for i := range command.Seeds {
		ok, err := command.runSeed(ctx, c, program, dir, command.Seed+uint64(i))
		if err != nil {
			return err
		}
		if !ok {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds failed; logs in %s", failed, command.Seeds, dir)
	}
	return os.RemoveAll(dir)
}

// runSeed runs one seed, prints its report and returns whether it passed without
// a violation. The logs of a run that passed are deleted.
func (command *soakCommand) runSeed(ctx context.Context, c console, program, dir string, seed uint64) (bool, error) {
	seedDir := filepath.Join(dir, fmt.Sprintf("seed-%d", seed))
	report, err := soak.Run(ctx, soak.Options{
		Seed: seed, Scenario: soak.Scenario(command.Scenario), Nodes: command.Nodes, ThinkTime: command.Think, Duration: command.Span, Program: program, Dir: seedDir, CheckTiming: command.Timed,
	})
	if err != nil {
		return false, err
	}
	verdict := "ok"
	if len(report.Violations) > 0 {
		verdict = "FAILED"
	}
	_, _ = fmt.Fprintf(c.stdout, "seed %d: %s, %d disturbances, %d requests, %d served, longest stall of the machine %s\n",
		seed, verdict, len(report.Events), report.Requests, report.Served, report.MaxStall.Round(time.Millisecond))
	if command.Events || len(report.Violations) > 0 {
		for _, event := range report.Events {
			_, _ = fmt.Fprintln(c.stdout, "  ", event)
		}
	}
	for _, violation := range report.Violations {
		_, _ = fmt.Fprintln(c.stdout, "  violated:", violation)
	}
	if len(report.Violations) > 0 {
		return false, nil
	}
	return true, os.RemoveAll(seedDir)
}
