package main

import (
	"context"
	"fmt"

	"github.com/banyancross/banyancross/operators"
)

// totalsCommand shows a day's totals.
type totalsCommand struct {
	nodeFlag
	outputFlag
	Day string `required:"" help:"The day, such as 2026-12-04, in the operators' time zone."`
}

// Run implements the command. Warnings go to standard error, so that the output
// can be pasted into a spreadsheet.
func (command *totalsCommand) Run(c console) error {
	doc, err := command.client().Totals(context.Background(), command.Day)
	if err != nil {
		return err
	}
	if !doc.Closed {
		_, _ = fmt.Fprintf(c.stderr, "day %s is not closed: the counts may still grow\n", doc.Day)
	}
	if !doc.Trusted {
		_, _ = fmt.Fprintf(c.stderr, "day %s is not complete\n", doc.Day)
	}
	for _, missing := range doc.Missing {
		_, _ = fmt.Fprintln(c.stderr, "missing:", missing)
	}
	return command.print(c, totalsTable(doc), doc)
}

func totalsTable(doc *operators.TotalsDocument) table {
	t := table{columns: []string{
		"service", "calls", "answered", "on-time", "late", "failed",
		"not-run", "unknown", "open", "ran", "retries", "unreconciled",
	}}
	for _, row := range doc.Rows {
		cells := []string{row.Service}
		for _, n := range []uint64{
			row.Calls, row.Answered, row.OnTime, row.Late, row.Failed, row.NotRun,
			row.Unknown, row.InProgress, row.GateRuns, row.Retries, row.Unreconciled,
		} {
			cells = append(cells, fmt.Sprint(n))
		}
		t.addRow(cells...)
	}
	return t
}
