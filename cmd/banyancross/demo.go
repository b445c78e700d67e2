package main

import (
	"context"
	"fmt"
	"time"

	"github.com/banyancross/banyancross/deployment"
	"github.com/banyancross/banyancross/load"
	"github.com/banyancross/banyancross/operators"
	"github.com/banyancross/banyancross/totals"
)

// demoCommand runs a fleet of today's size in this process.
type demoCommand struct {
	Deployment string        `enum:"paguyuban,rotacesped" default:"paguyuban" help:"Whose fleet to run: paguyuban or rotacesped."`
	Duration   time.Duration `default:"5s" help:"How long to send calls."`
	Rate       int           `default:"300" help:"Calls a second, over all services."`
	Seed       uint64        `default:"1" help:"The seed of arrivals and service times."`
	Serve      bool          `help:"Keep the fleet up afterwards, until a signal."`
}

const (
	demoStartLimit = 10 * time.Second
	demoSettle     = 7 * time.Second
)

// Run implements the command.
func (command *demoCommand) Run(c console) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoStartLimit)
	defer cancel()
	shape := deployment.Paguyuban()
	if command.Deployment == "rotacesped" {
		shape = deployment.Rotacesped()
	}
	fleet, err := deployment.Start(ctx, shape, deployment.WithSeed(command.Seed))
	if err != nil {
		return err
	}
	defer fleet.Close()
	_, _ = fmt.Fprintf(c.out, "%s: %d nodes in %d failure domains, seed %d\n",
		shape.Name, len(fleet.Members), len(shape.Domains), command.Seed)
	var streams []load.Stream
	for _, service := range shape.Services {
		streams = append(streams, load.Stream{
			Service: service.Name, Rate: float64(command.Rate) / float64(len(shape.Services)), Keyed: service.Name == "kasir" || service.Name == "reservas",
		})
	}
	result := load.Run(context.Background(), fleet, streams, load.Plan{Duration: command.Duration, Seed: command.Seed})
	if err := result.Print(c.out); err != nil {
		return err
	}
	if result.WithoutOutcome() > 0 {
		return fmt.Errorf("%d calls had no outcome", result.WithoutOutcome())
	}
	if err := printDemoTotals(c, fleet, result); err != nil {
		return err
	}
	if command.Serve {
		serveDemo(c, fleet)
	}
	return nil
}

// printDemoTotals waits until the day's counts have reached the platform.
func printDemoTotals(c console, fleet *deployment.Deployment, result *load.Result) error {
	member := fleet.Members[0]
	day := time.Now().In(member.Settings.Location()).Format(totals.DayLayout)
	ctx, cancel := context.WithTimeout(context.Background(), demoSettle)
	defer cancel()
	var summary *totals.Summary
	var err error
	waitErr := fleet.Wait(ctx, func() bool {
		for _, m := range fleet.Members {
			m.Node.FlushCounts(ctx)
		}
		summary, err = member.Node.Totals(ctx, day)
		return err == nil && summary.Trusted() && countedCalls(summary) >= uint64(result.Calls())
	})
	if waitErr != nil || err != nil {
		return fmt.Errorf("the daily totals did not come: %w", firstOf(err, waitErr))
	}
	_, _ = fmt.Fprintf(c.out, "\ntotals of %s so far\n", day)
	doc := operators.NewTotalsDocument(summary)
	t := totalsTable(&doc)
	return t.align(c)
}

func firstOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func countedCalls(summary *totals.Summary) uint64 {
	var calls uint64
	for _, row := range summary.Rows {
		calls += row.Row.Calls - row.Row.InProgress()
	}
	return calls
}

func serveDemo(c console, fleet *deployment.Deployment) {
	_, _ = fmt.Fprintln(c.out, "\nserving until interrupted; try")
	for _, service := range fleet.Shape.Services {
		_, _ = fmt.Fprintf(c.out, "  curl -i http://%s/%s/\n", fleet.Members[0].Settings.CallerAddress(), service.Name)
	}
	_, _ = fmt.Fprintf(c.out, "  banyancross status --node %s\n", fleet.Members[0].Settings.OperatorAddress())
	waitForSignal()
}
