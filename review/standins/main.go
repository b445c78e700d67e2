// Command standins plays the cases of the review: it starts nodes as separate
// processes, with stand-ins for the platform, the upstreams and the callers, and
// checks one rule from what callers and upstreams have seen.
package main

import (
	"flag"
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to play")
	program := flag.String("program", "target/banyancross", "the program under test")
	path := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return exitNotRun
	}
	rec, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	verdict, err := play(*program, rec, *trouble)
	if err != nil {
		rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec.add("%s", verdict.text)
	fmt.Println(verdict.text)
	if verdict.broken {
		return exitBroken
	}
	return exitHeld
}
