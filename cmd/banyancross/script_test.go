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
	scriptPorts = 20
	// sidecarHosts is how many hosts of sidecars a script may start.
	sidecarHosts = 3
	waitLimit    = 20 * time.Second
	waitPause    = 20 * time.Millisecond
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"banyancross": main})
}

// TestScripts runs whole programs. BANYANCROSS_UPDATE=1 rewrites the expected
// output in the scripts.
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

			"publish": storeConfiguration,
			"send":    sendCommand,
			"serves":  servesCommand,
			"backend": backendCommand,
			"runs":    runsCommand,
			"raw":     rawCommand,
			"lists":   listsCommand,

			"envsubst": substituteCommand,
		},
	})
}

// setPorts finds free ports and names them P1, P2 and so on. They are on an
// address of their own, so that no test of another package takes one meanwhile.
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
	for _, listener := range listeners {
		if err := listener.Close(); err != nil {
			return err
		}
	}
	return nil
}

// keyCommand sets a variable to a new key: key NAME.
func keyCommand(ts *testscript.TestScript, _ bool, args []string) {
	id, err := uuid.NewV7()
	ts.Check(err)
	ts.Setenv(args[0], id.String())
}

// substituteCommand replaces variables in files: envsubst FILE...
func substituteCommand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		path := ts.MkAbs(name)
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(path, []byte(text), 0o600))
	}
}

// request sends a call: METHOD URL [HEADER:VALUE...], and returns its answer as
// text.
func request(args []string) (string, error) {
	request, err := http.NewRequest(args[0], args[1], bytes.NewReader([]byte("x")))
	if err != nil {
		return "", err
	}
	for _, header := range args[2:] {
		name, value, _ := strings.Cut(header, ":")
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
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

// callCommand writes a call's answer to standard output.
func callCommand(ts *testscript.TestScript, _ bool, args []string) {
	answer, err := request(args)
	ts.Check(err)
	_, err = fmt.Fprint(ts.Stdout(), answer)
	ts.Check(err)
}

// readyCommand waits until a node is ready: ready OPERATORS-ADDRESS.
func readyCommand(ts *testscript.TestScript, _ bool, args []string) {
	wait(ts, "node at "+args[0]+" ready", func() bool {
		response, err := http.Get("http://" + args[0] + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusNoContent
	})
}

// expectCommand repeats a call until its answer holds a text: expect TEXT
// METHOD URL [HEADER:VALUE...].
func expectCommand(ts *testscript.TestScript, neg bool, args []string) {
	last := ""
	wait(ts, fmt.Sprintf("%q in the answer", args[0]), func() bool {
		answer, err := request(args[1:])
		last = answer
		return err == nil && strings.Contains(answer, args[0]) != neg
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
		// Its addresses are free only once it has ended.
		wait(ts, "process "+args[0]+" has ended", func() bool { return process.Signal(syscall.Signal(0)) != nil })
	}
	if args[1] == "STOP" {
		// A script that fails meanwhile must not wait for a process that stands
		// still.
		ts.Defer(func() { _ = process.Signal(syscall.SIGCONT) })
	}
}

func wait(ts *testscript.TestScript, what string, condition func() bool) {
	for limit := time.Now().Add(waitLimit); time.Now().Before(limit); time.Sleep(waitPause) {
		if condition() {
			return
		}
	}
	ts.Fatalf("not within %s: %s", waitLimit, what)
}
