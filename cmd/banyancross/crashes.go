package main

import (
	"context"
	"fmt"
	"strconv"

	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/sidecar"
)

// crashesCommand reads and changes the stored crash counts of requests.
type crashesCommand struct {
	List crashesListCommand `cmd:"" help:"List the requests that have crashed upstreams, and which are blocked."`
	Lift crashesLiftCommand `cmd:"" help:"Lift the block of a request, and forget its crashes."`
}

// storeFlag selects the platform's store.
type storeFlag struct {
	Store string `required:"" help:"The address of the platform's store, as IP:port."`
}

// crashesListCommand lists the stored crash counts.
type crashesListCommand struct {
	storeFlag
	outputFlag
}

// crashReport is the form of a request's counts in JSON.
type crashReport struct {
	Fingerprint string `json:"fingerprint"`
	Crashes     uint64 `json:"crashes"`
	Blocked     bool   `json:"blocked"`
}

// Run implements the command.
func (command *crashesListCommand) Run(c console) error {
	snapshot, err := sidecar.ReadCrashes(context.Background(), platform.NewClient(command.Store))
	if err != nil {
		return err
	}
	reports := make([]crashReport, 0, len(snapshot.Requests))
	t := table{columns: []string{"request", "crashes", "state"}}
	for _, record := range snapshot.Requests {
		report := crashReport{
			Fingerprint: sidecar.FormatFingerprint(record.Fingerprint), Crashes: record.Unanswered(), Blocked: record.Blocked(),
		}
		state := "counted"
		if report.Blocked {
			state = "blocked"
		}
		t.addRow(report.Fingerprint, fmt.Sprint(report.Crashes), state)
		reports = append(reports, report)
	}
	return command.print(c, t, reports)
}

// crashesLiftCommand lifts a block.
type crashesLiftCommand struct {
	storeFlag
	Request string `arg:"" help:"The request's fingerprint, as listed and as nodes log it."`
}

// Run implements the command.
func (command *crashesLiftCommand) Run(c console) error {
	fingerprint, err := strconv.ParseUint(command.Request, 16, 64)
	if err != nil {
		return fmt.Errorf("request %q is not a fingerprint of hexadecimal digits", command.Request)
	}
	removed, err := sidecar.RemoveCrashes(context.Background(), platform.NewClient(command.Store), fingerprint)
	switch {
	case err != nil:
		return err
	case !removed:
		return fmt.Errorf("request %s has no stored crashes", command.Request)
	}
	_, err = fmt.Fprintf(c.stdout, "lifted %s; each node follows when it next reads the fleet's entries\n",
		sidecar.FormatFingerprint(fingerprint))
	return err
}
