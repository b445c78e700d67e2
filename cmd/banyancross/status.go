package main

import (
	"context"
	"fmt"

	"github.com/banyancross/banyancross/operators"
)

// statusCommand shows the fleet's state as one node reports it.
type statusCommand struct {
	nodeFlag
	outputFlag
	View string `arg:"" optional:"" enum:"services,upstreams,nodes" default:"nodes" help:"What to list: services, upstreams or nodes."`
}

// Run implements the command.
func (command *statusCommand) Run(c console) error {
	status, err := command.client().Status(context.Background())
	if err != nil {
		return err
	}
	if command.Output == "table" {
		printRevision(c, status)
	}
	return command.print(c, command.table(status), status)
}

// printRevision prints the node's revision and how stale it may be.
func printRevision(c console, status *operators.Status) {
	switch {
	case status.ConfirmedSeconds < 0:
		_, _ = fmt.Fprintf(c.stdout, "revision %d, never confirmed by the platform\n", status.Revision)
	case status.Stale:
		_, _ = fmt.Fprintf(c.stdout, "revision %d, possibly not the latest: last confirmed %.0f s ago\n",
			status.Revision, status.ConfirmedSeconds)
	default:
		_, _ = fmt.Fprintf(c.stdout, "revision %d\n", status.Revision)
	}
}

func (command *statusCommand) table(status *operators.Status) table {
	switch command.View {
	case "services":
		t := table{columns: []string{"service", "upstreams", "ready"}}
		for _, service := range status.Services {
			t.addRow(service.Name, fmt.Sprint(service.Upstreams), fmt.Sprint(service.Ready))
		}
		return t
	case "upstreams":
		t := table{columns: []string{"upstream", "service", "state", "host"}}
		for _, upstream := range status.Upstreams {
			t.addRow(upstream.Name, upstream.Service, upstream.State, upstream.Host)
		}
		return t
	}
	t := table{columns: []string{"host", "failure domain", "status", "revision", "confirmed"}}
	for _, n := range status.Nodes {
		t.addRow(n.Host, n.FailureDomain, n.Status, fmt.Sprint(n.Revision), fmt.Sprintf("%.0fs", n.ConfirmedSeconds))
	}
	return t
}
