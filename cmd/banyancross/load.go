package main

import (
	"context"
	"fmt"
	"time"

	"github.com/banyancross/banyancross/deployment"
	"github.com/banyancross/banyancross/load"
)

// loadCommand compares the routing policies under load on a fleet in this
// process.
type loadCommand struct {
	outputFlag
	Deployment string        `enum:"paguyuban,rotacesped" default:"paguyuban" help:"Whose fleet to run: paguyuban or rotacesped."`
	Scenario   []string      `help:"The scenarios to run; all by default."`
	Policy     []string      `help:"The policies to run; all by default."`
	Seeds      int           `default:"3" help:"How many seeds to run, from 1."`
	Duration   time.Duration `default:"2500ms" help:"How long each run is measured."`
}

// Run implements the command.
func (command *loadCommand) Run(c console) error {
	comparison := load.Comparison{Shape: deployment.Paguyuban(), Duration: command.Duration, Progress: c.stderr}
	if command.Deployment == "rotacesped" {
		comparison.Shape = deployment.Rotacesped()
	}
	for _, scenario := range load.Scenarios() {
		if selected(command.Scenario, scenario.Name()) {
			comparison.Scenarios = append(comparison.Scenarios, scenario)
		}
	}
	for _, policy := range load.Policies() {
		if selected(command.Policy, string(policy)) {
			comparison.Policies = append(comparison.Policies, policy)
		}
	}
	for seed := range command.Seeds {
		comparison.Seeds = append(comparison.Seeds, uint64(seed)+1)
	}
	rows, err := load.Compare(context.Background(), comparison)
	if err != nil {
		return err
	}
	return command.print(c, comparisonTable(rows), rows)
}

// selected reports whether names holds the name; no names select all.
func selected(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return len(names) == 0
}

func comparisonTable(rows []load.Row) table {
	t := table{columns: []string{
		"scenario", "policy", "calls", "p50", "p99", "p99.9", "on-time", "goodput/s",
		"remote", "retries/call", "probes/call", "probe-bytes/call", "repeats", "stalled",
	}}
	for _, row := range rows {
		t.addRow(row.Scenario, string(row.Policy), fmt.Sprint(row.Calls), ms(row.P50), ms(row.P99), ms(row.P999),
			fmt.Sprintf("%.4f", float64(row.OnTime)/float64(max(row.Calls, 1))), fmt.Sprintf("%.0f", row.Goodput),
			fmt.Sprintf("%.3f", row.Remote), fmt.Sprintf("%.4f", row.Retries),
			fmt.Sprintf("%.5f", row.Probes), fmt.Sprintf("%.3f", row.ProbeBytes),
			fmt.Sprint(row.Repeats), fmt.Sprint(row.Stalled))
	}
	return t
}

// ms formats a duration in milliseconds.
func ms(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond)) }
