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

// demoCommand runs the fleet of one deployment in this process and sends calls
// to it.
type demoCommand struct {
	Deployment string        `enum:"paguyuban,rotacesped" default:"paguyuban" help:"Whose fleet to run: paguyuban or rotacesped."`
	Duration   time.Duration `default:"5s" help:"How long to send calls."`
	Rate       int           `default:"300" help:"Calls a second, over all services."`
	Seed       uint64        `default:"1" help:"The seed of arrivals and service times."`
	Serve      bool          `help:"Keep the fleet up afterwards, until a signal."`
}

const (
	demoStartTimeout  = 10 * time.Second
	demoTotalsTimeout = 7 * time.Second
)

// Run implements the command.
func (command *demoCommand) Run(c console) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoStartTimeout)
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
	_, _ = fmt.Fprintf(c.stdout, "%s: %d nodes in %d failure domains, seed %d\n",
		shape.Name, len(fleet.Members), len(shape.Domains), command.Seed)
	var streams []load.Stream
	for _, service := range shape.Services {
		streams = append(streams, load.Stream{
			Service: service.Name, Rate: float64(command.Rate) / float64(len(shape.Services)), Keyed: service.Name == "kasir" || service.Name == "reservas",
		})
	}
	result := load.Run(context.Background(), fleet, streams, load.Plan{Duration: command.Duration, Seed: command.Seed})
	if err := result.Print(c.stdout); err != nil {
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

// printDemoTotals prints the daily totals once they count every call of the
// result as finished.
func printDemoTotals(c console, fleet *deployment.Deployment, result *load.Result) error {
	member := fleet.Members[0]
	day := time.Now().In(member.Settings.Location()).Format(totals.DayLayout)
	ctx, cancel := context.WithTimeout(context.Background(), demoTotalsTimeout)
	defer cancel()
	var summary *totals.Summary
	var err error
	waitErr := fleet.Wait(ctx, func() bool {
		for _, m := range fleet.Members {
			m.Node.FlushCounts(ctx)
		}
		summary, err = member.Node.Totals(ctx, day)
		return err == nil && summary.Trusted() && finishedCalls(summary) >= uint64(result.Calls())
	})
	if waitErr != nil || err != nil {
		return fmt.Errorf("wait for the daily totals: %w", firstError(err, waitErr))
	}
	_, _ = fmt.Fprintf(c.stdout, "\ntotals of %s so far\n", day)
	doc := operators.NewTotalsDocument(summary)
	t := totalsTable(&doc)
	return t.writeAligned(c)
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// finishedCalls returns the number of calls that have an outcome.
func finishedCalls(summary *totals.Summary) uint64 {
	var calls uint64
	for _, row := range summary.Rows {
		calls += row.Row.Calls - row.Row.InProgress()
	}
	return calls
}

func serveDemo(c console, fleet *deployment.Deployment) {
	_, _ = fmt.Fprintln(c.stdout, "\nserving until interrupted; try")
	for _, service := range fleet.Shape.Services {
		_, _ = fmt.Fprintf(c.stdout, "  curl -i http://%s/%s/\n", fleet.Members[0].Settings.CallerAddress(), service.Name)
	}
	_, _ = fmt.Fprintf(c.stdout, "  banyancross status --node %s\n", fleet.Members[0].Settings.OperatorAddress())
	waitForSignal()
}
