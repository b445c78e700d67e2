package main

import (
	"context"
	"fmt"
	"time"

	"github.com/banyancross/banyancross/capacity"
)

// slopesCommand measures what docs/CAPACITY.md is worked out from.
type slopesCommand struct {
	Sizes  []int         `default:"14,28,56,112" help:"The sizes of the idle fleets, in nodes."`
	Span   time.Duration `default:"5s" help:"How long each idle fleet is measured."`
	Rates  []int         `default:"250,500,1000,2000" help:"The rates, in calls a second."`
	Depths []int         `default:"1,3,8,19" help:"The depths of the chains."`
}

// Run implements the command.
func (command *slopesCommand) Run(c console) error {
	ctx := context.Background()
	all, err := capacity.MeasureStateSizes()
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
		found, err := measure()
		if err != nil {
			return err
		}
		all = append(all, found...)
	}
	if err := capacity.Print(c.out, all); err != nil {
		return err
	}
	return command.path(ctx, c)
}

// path measures what the two nodes on the path of a call add.
func (command *slopesCommand) path(ctx context.Context, c console) error {
	added, stall, err := capacity.MeasureAddedLatency(ctx)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.out, "\nlatency at 2000 calls/s, longest stall of the generator %s\n", stall.Round(time.Millisecond/10))
	t := table{columns: []string{"quantile", "direct", "through two nodes", "added"}}
	for _, a := range added {
		t.add(fmt.Sprintf("p%g", a.Percent), ms(a.Direct), ms(a.Proxied), ms(a.Proxied-a.Direct))
	}
	if err := t.align(c); err != nil {
		return err
	}
	growth, took, err := capacity.MeasureStreamingMemory(ctx)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.out, "\nan answer of 200 MiB through two nodes: %s, heap of the whole process grew by %.1f MB at its peak\n",
		took.Round(time.Millisecond), growth)
	return nil
}
