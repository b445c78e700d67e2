package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/standin"
)

// scriptCount is the number of scripts started so far.
var scriptCount atomic.Int64

// setHosts writes the sidecars' settings files, h1.toml and so on, and sets
// variables to their addresses: STORE, and for each host H1 (callers), B1 (backend
// server), U1 (heartbeats), R1 (ready), M1 (metrics) and so on.
func setHosts(env *testscript.Env) error {
	// Scripts run in parallel, so each gets a loopback address of its own.
	ip := fmt.Sprintf("127.92.%d.1", scriptCount.Add(1))
	var listeners []net.Listener
	address := func() string {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return ""
		}
		listeners = append(listeners, listener)
		return listener.Addr().String()
	}
	store := address()
	env.Setenv("STORE", store)
	for i := 1; i <= sidecarHosts; i++ {
		backend, callers, nodes, datagrams := address(), address(), address(), address()
		ready, upstream, metrics := address(), address(), address()
		for name, value := range map[string]string{"H": callers, "B": backend, "U": upstream, "R": ready, "M": metrics} {
			env.Setenv(name+strconv.Itoa(i), value)
		}
		text := standin.SidecarSettings{
			Name: fmt.Sprintf("h%d", i), FailureDomain: "z1", Service: "stock", Platform: store, Backend: backend,
			Callers: callers, Nodes: nodes, Datagrams: datagrams, Ready: ready, Upstream: upstream, Metrics: metrics,
		}.TOML()
		if err := os.WriteFile(filepath.Join(env.WorkDir, fmt.Sprintf("h%d.toml", i)), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return releasePorts(listeners)
}

const scriptConfiguration = `{"version":"r%s","resources":[
 {"type_url":"routes","metadata":{"name":"view"},"spec":{"host":"x","prefix":"/view/","type":"safe","timeout_ms":15000,"goal_ms":5000,"attempts":2,"service":"stock"}},
 {"type_url":"routes","metadata":{"name":"pay"},"spec":{"host":"x","prefix":"/pay/","type":"unsafe","timeout_ms":15000,"goal_ms":5000,"attempts":2,"service":"stock"}},
 {"type_url":"routes","metadata":{"name":"v"},"spec":{"host":"x","prefix":"/only-%s/","type":"safe","timeout_ms":15000,"attempts":2,"service":"stock"}},
 {"type_url":"services","metadata":{"name":"stock"},"spec":{"health_path":"/healthz","max_conns":100}}]}`

// storeConfiguration writes a configuration to the store, as the operators do:
// publish VERSION, or publish broken VERSION for truncated JSON.
func storeConfiguration(ts *testscript.TestScript, _ bool, args []string) {
	version := args[len(args)-1]
	text := fmt.Sprintf(scriptConfiguration, version, version)
	if args[0] == "broken" {
		text = text[:len(text)/2]
	}
	client := platform.NewClient(ts.Getenv("STORE"))
	waitFor(ts, "version "+version+" stored", func() bool {
		ctx := context.Background()
		entry, err := client.Get(ctx, platform.ConfigurationKey)
		return err == nil && client.Put(ctx, platform.ConfigurationKey, []byte(text), entry) == nil
	})
}

// sendViaSidecar sends one request to the sidecar of a host, HOST METHOD PATH ID,
// and returns the status and the body of the answer.
func sendViaSidecar(ts *testscript.TestScript, args []string) (int, string, error) {
	request, err := http.NewRequest(args[1], "http://"+ts.Getenv("H"+args[0])+args[2], bytes.NewReader(nil))
	if err != nil {
		return 0, "", err
	}
	request.Host = "x"
	request.Header.Set("Request-Id", args[3])
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// sendCommand sends a request and writes the answer's status and body to standard
// output or, in the background, to FILE: send HOST METHOD PATH ID [FILE].
func sendCommand(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) > 4 {
		path := ts.MkAbs(args[4])
		go func() {
			status, body, err := sendViaSidecar(ts, args)
			_ = os.WriteFile(path, []byte(fmt.Sprintln(status, body, err)), 0o600)
		}()
		return
	}
	status, body, err := sendViaSidecar(ts, args)
	if err != nil {
		_, _ = fmt.Fprintln(ts.Stdout(), "no answer")
		return
	}
	_, err = fmt.Fprintln(ts.Stdout(), status, body)
	ts.Check(err)
}

// negatedAnswers is the number of successive answers that must not begin with the
// text of a negated serves: a single one may come from another upstream by chance.
const negatedAnswers = 20

// servesCommand repeats a request until the answer begins with a text or, negated,
// until negatedAnswers in a row do not: serves TEXT HOST METHOD PATH.
func servesCommand(ts *testscript.TestScript, neg bool, args []string) {
	requests, successive, last := 0, 0, ""
	waitFor(ts, args[0], func() bool {
		requests++
		status, body, err := sendViaSidecar(ts, append(args[1:4:4], fmt.Sprintf("warm-%d-%d", time.Now().UnixNano(), requests)))
		last = fmt.Sprint(status, " ", body)
		if err != nil || strings.HasPrefix(last, args[0]) == neg {
			successive = 0
			return false
		}
		successive++
		return !neg || successive >= negatedAnswers
	})
	ts.Logf("%s", last)
}

// backendCommand makes a backend server hold back or release its answers, or
// injects a fault into its next request: backend HOST hold|release or backend HOST
// fail FAULT.
func backendCommand(ts *testscript.TestScript, _ bool, args []string) {
	target := "http://" + ts.Getenv("B"+args[0]) + "/standin/" + args[1]
	if len(args) > 2 {
		target += "?fault=" + url.QueryEscape(args[2])
	}
	waitFor(ts, "backend server "+args[0], func() bool {
		response, err := http.Get(target)
		return err == nil && response.Body.Close() == nil
	})
}

// runsCommand waits until the hosts' backend servers have run a request COUNT times
// in all, and fails if they ran it more often: runs ID COUNT HOST...
func runsCommand(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	total := 0
	waitFor(ts, args[0]+" runs", func() bool {
		total = 0
		for _, host := range args[2:] {
			response, err := http.Get("http://" + ts.Getenv("B"+host) + "/standin/runs?id=" + url.QueryEscape(args[0]))
			if err != nil {
				return false
			}
			body, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			count, _ := strconv.Atoi(strings.TrimSpace(string(body)))
			total += count
		}
		return total >= want
	})
	if total != want {
		ts.Fatalf("%s ran %d times and not %d", args[0], total, want)
	}
}

// rawCommand sends a file, with CRLF line ends, as the raw bytes of a request to
// the sidecar of a host and writes the answer's status line: raw HOST FILE.
func rawCommand(ts *testscript.TestScript, _ bool, args []string) {
	conn, err := net.Dial("tcp", ts.Getenv("H"+args[0]))
	ts.Check(err)
	defer func() { _ = conn.Close() }()
	text := strings.ReplaceAll(ts.ReadFile(args[1]), "\n", "\r\n")
	_, err = io.WriteString(conn, text)
	ts.Check(err)
	answer, err := io.ReadAll(conn)
	ts.Check(err)
	statusLine, _, _ := strings.Cut(string(answer), "\r\n")
	_, err = fmt.Fprintln(ts.Stdout(), statusLine)
	ts.Check(err)
}

// containsCommand waits until a file contains a text: contains FILE TEXT.
func containsCommand(ts *testscript.TestScript, _ bool, args []string) {
	path := ts.MkAbs(args[0])
	waitFor(ts, args[1]+" in "+args[0], func() bool {
		data, err := os.ReadFile(path)
		return err == nil && strings.Contains(string(data), args[1])
	})
}
