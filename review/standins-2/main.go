// Command standins-2 plays the script cases of the second review. It starts nodes as
// separate processes with the command of the deploy file, plays the platform, the upstreams
// and the callers itself, and checks one rule from what callers and upstreams have seen.
//
//	standins-2 CASE FOLDER
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could
// not run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// longestRun bounds the run of a case.
const longestRun = 110 * time.Second

// The exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(r *record, f *fleet, trouble bool) (broken bool, err error){
	"repeated-rejection": playRepeatedRejection,
	"foreign-heartbeat":  playForeignHeartbeat,
	"late-heartbeats":    playLateHeartbeats,
	"crashing-request":   playCrashingRequest,
}

func main() { os.Exit(run(os.Args[1:])) }

// run plays the case that the arguments name and returns the exit status.
func run(arguments []string) int {
	if len(arguments) != 2 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE FOLDER")
		return exitNotRun
	}
	r, err := newRecord(filepath.Join(arguments[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	f, err := newFleet(r)
	if err != nil {
		r.result("could not run: %v", err)
		return exitNotRun
	}
	defer f.close()
	go endEarly(r, f)
	broken, err := cases[arguments[0]](r, f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.result("could not run: %v", err)
		return exitNotRun
	case broken:
		r.result("the rule was broken")
		return exitBroken
	}
	r.result("the rule held")
	return exitHeld
}

// endEarly ends the run without a result after longestRun or on a signal.
func endEarly(r *record, f *fleet) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(longestRun):
	}
	r.result("the run was ended early")
	f.close()
	r.close()
	os.Exit(exitNotRun)
}
