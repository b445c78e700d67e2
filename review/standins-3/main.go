// Command standins-3 runs the script cases of the third review: it starts nodes as separate
// processes, and holds the stand-ins of the platform, the upstreams, the callers and the
// operators itself.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken means that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

// cases holds the cases by name. Without trouble, a case leaves out its disruption.
var cases = map[string]func(f *fleet, trouble bool) error{
	"crashing-twin":       crashingTwin,
	"pipelined":           pipelined,
	"restored-store":      restoredStore,
	"unsignalled-region":  unsignalledRegion,
	"unsignalled-service": unsignalledService,
}

func main() { os.Exit(run(os.Args[1:])) }

// run runs the case named in the arguments, which are its name and the folder of its
// record, and returns the exit code.
func run(arguments []string) int {
	if len(arguments) != 2 || cases[arguments[0]] == nil {
		_, _ = fmt.Fprintln(os.Stderr, "usage: standins-3 CASE FOLDER")
		return exitNotRun
	}
	record, err := newRecord(filepath.Join(arguments[1], "record.txt"))
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	f, err := newFleet(record)
	if err != nil {
		record.add("the case could not run: %v", err)
		return exitNotRun
	}
	defer f.close()
	switch err := cases[arguments[0]](f, os.Getenv("TROUBLE") != "0"); {
	case errors.Is(err, errBroken):
		record.add("broken")
		return exitBroken
	case err != nil:
		record.add("the case could not run: %v", err)
		return exitNotRun
	}
	record.add("held")
	return exitHeld
}
