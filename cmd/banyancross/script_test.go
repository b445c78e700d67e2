package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// scriptPorts is the number of free ports that a script gets.
	scriptPorts = 20
	// sidecarHosts is the number of hosts for which a script gets sidecar settings.
	sidecarHosts = 3
	waitTimeout  = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"banyancross": main})
}

// TestScripts runs scripts that start the programs as processes.
// BANYANCROSS_UPDATE=1 rewrites the expected output in the scripts.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata",
		UpdateScripts: os.Getenv("BANYANCROSS_UPDATE") != "",
		Setup: func(env *testscript.Env) error {
			if err := setPorts(env); err != nil {
				return err
			}
			return setHosts(env)
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"call":   callCommand,
			"ready":  readyCommand,
			"expect": expectCommand,
			"signal": signalCommand,
			"key":    keyCommand,

			"publish":  storeConfiguration,
			"send":     sendCommand,
			"serves":   servesCommand,
			"backend":  backendCommand,
			"runs":     runsCommand,
			"raw":      rawCommand,
			"contains": containsCommand,
			"blocked":  blockedCommand,

			"envsubst": substituteCommand,
		},
	})
}

// setPorts sets P1, P2 and so on to free ports, and DAY to the current date in
// UTC. The ports are free on a loopback address that tests of other packages don't
// use, so that none of these takes one before the script does.
func setPorts(env *testscript.Env) error {
	var listeners []net.Listener
	for i := range scriptPorts {
		listener, err := net.Listen("tcp", "127.91.0.1:0")
		if err != nil {
			return err
		}
		listeners = append(listeners, listener)
		env.Setenv("DAY", time.Now().UTC().Format(time.DateOnly))
		env.Setenv("P"+strconv.Itoa(i+1), strconv.Itoa(listener.Addr().(*net.TCPAddr).Port))
	}
	return releasePorts(listeners)
}

// releasePorts closes listeners and waits until no process holds their ports any more: one
// that another script is just starting may hold them until its program is loaded.
func releasePorts(listeners []net.Listener) error {
	for _, listener := range listeners {
		if err := listener.Close(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(waitTimeout)
	for _, listener := range listeners {
		for {
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				break
			}
			_ = conn.Close()
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not released", listener.Addr())
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return nil
}

// keyCommand sets a variable to a new idempotency key: key NAME.
func keyCommand(ts *testscript.TestScript, _ bool, args []string) {
	id, err := uuid.NewV7()
	ts.Check(err)
	ts.Setenv(args[0], id.String())
}

// substituteCommand expands environment variables in files: envsubst FILE...
func substituteCommand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		path := ts.MkAbs(name)
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(path, []byte(text), 0o600))
	}
}

// scriptClient ends a request without a response, so that the script fails with its last answer.
var scriptClient = &http.Client{Timeout: waitTimeout}

// sendRequest sends a call, METHOD URL [HEADER:VALUE...], and returns the answer
// as text.
func sendRequest(args []string) (string, error) {
	request, err := http.NewRequest(args[0], args[1], bytes.NewReader([]byte("x")))
	if err != nil {
		return "", err
	}
	for _, header := range args[2:] {
		name, value, _ := strings.Cut(header, ":")
		request.Header.Set(name, value)
	}
	response, err := scriptClient.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%d outcome=%s reason=%s replayed=%s\n%s", response.StatusCode,
		response.Header.Get("Banyancross-Outcome"), response.Header.Get("Banyancross-Reason"),
		response.Header.Get("Banyancross-Replayed"), body), nil
}

// callCommand sends a call and writes the answer to standard output: call METHOD
// URL [HEADER:VALUE...].
func callCommand(ts *testscript.TestScript, _ bool, args []string) {
	answer, err := sendRequest(args)
	ts.Check(err)
	_, err = fmt.Fprint(ts.Stdout(), answer)
	ts.Check(err)
}

// readyCommand waits until a node is ready: ready OPERATORS-ADDRESS.
func readyCommand(ts *testscript.TestScript, _ bool, args []string) {
	waitFor(ts, "node at "+args[0]+" ready", func() bool {
		response, err := scriptClient.Get("http://" + args[0] + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusNoContent
	})
}

// expectCommand repeats a call until the answer contains a text or, negated, does
// not: expect TEXT METHOD URL [HEADER:VALUE...].
func expectCommand(ts *testscript.TestScript, neg bool, args []string) {
	last, met := "", false
	ts.Defer(func() {
		if !met {
			ts.Logf("last answer: %s", last)
		}
	})
	waitFor(ts, fmt.Sprintf("%q in the answer", args[0]), func() bool {
		answer, err := sendRequest(args[1:])
		last = answer
		if err != nil {
			last = err.Error()
		}
		met = err == nil && strings.Contains(answer, args[0]) != neg
		return met
	})
	ts.Logf("%s", last)
}

// signalCommand sends a signal to a background program: signal NUMBER
// TERM|KILL|STOP|CONT|HUP, where the first program has the number 1.
func signalCommand(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{
		"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "HUP": syscall.SIGHUP,
	}
	number, err := strconv.Atoi(args[0])
	ts.Check(err)
	process := ts.BackgroundCmds()[number-1].Process
	ts.Check(process.Signal(signals[args[1]]))
	if args[1] == "KILL" {
		// A later process can use its addresses only once it has ended.
		waitFor(ts, "process "+args[0]+" has ended", func() bool { return process.Signal(syscall.Signal(0)) != nil })
	}
	if args[1] == "STOP" {
		waitFor(ts, "process "+args[0]+" is stopped", func() bool { return processState(process.Pid) == "T" })
		// Otherwise a script that fails would wait for the paused process to exit.
		ts.Defer(func() {
			if state := processState(process.Pid); state != "" {
				ts.Logf("process %s is in state %s at the end", args[0], state)
			}
			_ = process.Signal(syscall.SIGCONT)
		})
	}
}

// processState returns the state of a process as the kernel reports it, T for one that is
// stopped by a signal, or "" if it cannot be read.
func processState(pid int) string {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return ""
	}
	// The name of the program, in parentheses, may contain spaces.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) == 0 {
		return ""
	}
	return fields[0]
}

// waitFor polls the condition and fails the script after waitTimeout. The failure tells a
// machine that stalled, which polls seldom, from a condition that never held.
func waitFor(ts *testscript.TestScript, description string, condition func() bool) {
	polls, longest := 0, time.Duration(0)
	last := time.Now()
	for deadline := last.Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if condition() {
			return
		}
		polls++
		now := time.Now()
		longest, last = max(longest, now.Sub(last)), now
	}
	ts.Fatalf("not within %s: %s; %d polls, the longest after %s", waitTimeout, description, polls, longest)
}
