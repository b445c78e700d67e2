package main

import (
	"context"
	"fmt"
	"time"

	"github.com/banyancross/banyancross/capacity"
)

// slopesCommand measures the figures from which docs/CAPACITY.md is calculated.
type slopesCommand struct {
	Sizes  []int         `default:"14,28,56,112" help:"The sizes of the idle fleets, in nodes."`
	Span   time.Duration `default:"5s" help:"How long each idle fleet is measured."`
	Rates  []int         `default:"250,500,1000,2000" help:"The rates, in calls a second."`
	Depths []int         `default:"1,3,8,19" help:"The depths of the chains."`
}

// Run implements the command.
func (command *slopesCommand) Run(c console) error {
	ctx := context.Background()
	series, err := capacity.MeasureStateSizes()
	if err != nil {
		return err
	}
	for _, measure := range []func() ([]*capacity.Series, error){
		func() ([]*capacity.Series, error) {
			return capacity.MeasureIdleFleets(ctx, command.Sizes, command.Span)
		},
		func() ([]*capacity.Series, error) { return capacity.MeasureCallCost(ctx, command.Rates) },
		func() ([]*capacity.Series, error) { return capacity.MeasureChains(ctx, command.Depths) },
	} {
		measured, err := measure()
		if err != nil {
			return err
		}
		series = append(series, measured...)
	}
	if err := capacity.Print(c.stdout, series); err != nil {
		return err
	}
	return command.printAddedLatency(ctx, c)
}

// printAddedLatency prints the latency that the two nodes on a call's path add,
// and the heap growth while a large answer passes through them.
func (command *slopesCommand) printAddedLatency(ctx context.Context, c console) error {
	added, stall, err := capacity.MeasureAddedLatency(ctx)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.stdout, "\nlatency at 2000 calls/s, longest stall of the generator %s\n", stall.Round(time.Millisecond/10))
	t := table{columns: []string{"quantile", "direct", "through two nodes", "added"}}
	for _, a := range added {
		t.addRow(fmt.Sprintf("p%g", a.Percent), ms(a.Direct), ms(a.Proxied), ms(a.Proxied-a.Direct))
	}
	if err := t.writeAligned(c); err != nil {
		return err
	}
	heapGrowth, duration, err := capacity.MeasureStreamingMemory(ctx)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.stdout, "\nan answer of 200 MiB through two nodes: %s, heap of the whole process grew by %.1f MB at its peak\n",
		duration.Round(time.Millisecond), heapGrowth)
	return nil
}
