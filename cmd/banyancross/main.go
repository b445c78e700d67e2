// Command banyancross is a load balancer whose node runs beside each backend
// server.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	_ "time/tzdata" // hosts have no time zone database

	"github.com/alecthomas/kong"

	"github.com/banyancross/banyancross/settings"
	"github.com/banyancross/banyancross/toml"
)

// The exit codes other than 0.
const (
	exitFailure = 1
	exitUsage   = 2
)

// cli declares the commands for kong.
type cli struct {
	Node     nodeCommand     `cmd:"" help:"Run the node beside a backend server."`
	Sidecar  sidecarCommand  `cmd:"" help:"Run the node on a host that the platform runs."`
	Explain  explainCommand  `cmd:"" help:"Collect what several nodes logged about one request."`
	Where    whereCommand    `cmd:"" help:"Show where a request would go now, and why, without sending it."`
	Crashes  crashesCommand  `cmd:"" help:"List the requests that have crashed upstreams, and lift blocks."`
	Losses   lossesCommand   `cmd:"" help:"Table what played days lost of their worth, and why."`
	Note     noteCommand     `cmd:"" help:"Publish, amend, withdraw and read release notes."`
	Status   statusCommand   `cmd:"" help:"Show services, upstreams and nodes."`
	Totals   totalsCommand   `cmd:"" help:"Show a day's totals."`
	Settings settingsCommand `cmd:"" help:"Check a settings file."`
	Demo     demoCommand     `cmd:"" help:"Run a whole fleet in this process for some seconds."`
	Load     loadCommand     `cmd:"" help:"Measure the routing policies against each other."`
	Slopes   slopesCommand   `cmd:"" help:"Measure the figures of docs/CAPACITY.md."`
	Soak     soakCommand     `cmd:"" help:"Disturb fleets of sidecar processes and check what callers and upstreams see."`
	Standin  standinCommand  `cmd:"" help:"Run a stand-in of the platform or of a backend server."`
}

// console holds the output streams of a command.
type console struct {
	stdout io.Writer
	stderr io.Writer
}

// gcPercent trades memory for fewer collections: a node's live heap is a few
// megabytes, and each collection delays the calls in progress.
const gcPercent = 400

func main() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	os.Exit(run(os.Args[1:], console{stdout: os.Stdout, stderr: os.Stderr}))
}

// run parses the arguments, runs the command and returns the exit code.
func run(arguments []string, c console) int {
	kongExitCode := -1
	parser, err := kong.New(&cli{}, kong.Name("banyancross"),
		kong.Description("A load balancer for servers whose load shifts in milliseconds."),
		kong.Writers(c.stdout, c.stderr), kong.UsageOnError(),
		kong.Exit(func(code int) { kongExitCode = code }))
	if err != nil {
		_, _ = fmt.Fprintln(c.stderr, "banyancross:", err)
		return exitFailure
	}
	parsed, err := parser.Parse(arguments)
	if kongExitCode >= 0 {
		return kongExitCode
	}
	if err != nil {
		_, _ = fmt.Fprintln(c.stderr, "banyancross:", err)
		return exitUsage
	}
	if err := parsed.Run(c); err != nil {
		_, _ = fmt.Fprintln(c.stderr, "banyancross:", err)
		return exitCode(err)
	}
	return 0
}

// exitCode returns exitUsage for bad settings or bad TOML, else exitFailure.
func exitCode(err error) int {
	var badSettings *settings.Error
	var badTOML *toml.Error
	if errors.As(err, &badSettings) || errors.As(err, &badTOML) {
		return exitUsage
	}
	return exitFailure
}
