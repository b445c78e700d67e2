package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/banyancross/banyancross/standin"
)

const (
	// program is the node's program, as the deploy file builds it.
	program = "target/banyancross"
	// heartbeatInterval is the pause between the heartbeats of an upstream.
	heartbeatInterval = 1500 * time.Millisecond
	// pollInterval is the pause between checks of a condition.
	pollInterval = 50 * time.Millisecond
	// startTimeout bounds the start of a fleet.
	startTimeout = 20 * time.Second
	// callTimeout is how long a caller waits for an answer.
	callTimeout = 2 * time.Second
	// stopTimeout bounds the wait for a process that was told to end.
	stopTimeout = 7 * time.Second
)

// fleet is a small deployment on loopback addresses.
type fleet struct {
	record *record
	dir    string
	store  *store
	nodes  []*node

	mu       sync.Mutex
	requests int
}

// node is a node's process and the upstream beside it.
type node struct {
	name string
	// path is that of the settings file.
	path     string
	settings standin.SidecarSettings
	// regions holds the region of each failure domain, nil for settings without any.
	regions map[string]string
	backend *standin.Backend
	// quiet ends the heartbeats of the upstream.
	quiet   func()
	command *exec.Cmd
	exited  chan struct{}
}

func newFleet(r *record) (*fleet, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "banyancross-review")
	if err != nil {
		return nil, err
	}
	s, err := newStore(r)
	if err != nil {
		_ = os.RemoveAll(dir)
		return nil, err
	}
	return &fleet{record: r, dir: dir, store: s}, nil
}

// close ends all processes of the fleet, and records what the upstreams beside them have run.
func (f *fleet) close() {
	for _, n := range f.nodes {
		n.quiet()
		n.kill()
		for _, run := range n.backend.Runs() {
			f.record.add("%s ran %s %s at %.3f s for service %s", n.backend.Instance(), run.ID, run.Target, run.At.Sub(f.record.started).Seconds(), run.Caller)
		}
		n.backend.Close()
	}
	f.store.close()
	_ = os.RemoveAll(f.dir)
}

// firstPort and lastPort bound the ports that are listened on, below those of outgoing
// connections.
const (
	firstPort = 20_000
	lastPort  = 30_000
)

// nextPort is the last port that was tried.
var nextPort atomic.Int64

// listen listens on a port of a loopback address that depends on the process, so that no other
// run takes a port before a node listens on it. It returns each port once.
func listen() (net.Listener, error) {
	pid := os.Getpid()
	for {
		port := firstPort + nextPort.Add(1)
		if port > lastPort {
			return nil, errors.New("no port is left")
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:%d", 64+pid>>16%64, pid>>8%256, max(pid%256, 1), port))
		if !errors.Is(err, syscall.EADDRINUSE) {
			return listener, err
		}
	}
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() (string, error) {
	listener, err := listen()
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// add adds a node in a failure domain with an upstream of a service, and starts both.
func (f *fleet) add(name, failureDomain, service string, regions map[string]string) (*node, error) {
	n, err := f.prepare(name, failureDomain, service, regions)
	if err != nil {
		return nil, err
	}
	return n, f.launch(n)
}

// prepare adds a node with an upstream, and starts the upstream.
func (f *fleet) prepare(name, failureDomain, service string, regions map[string]string) (*node, error) {
	addresses := make([]string, 7)
	for i := range addresses {
		var err error
		if addresses[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	backend, err := standin.NewBackend("i-"+name, service, failureDomain, addresses[6])
	if err != nil {
		return nil, err
	}
	n := &node{name: name, path: filepath.Join(f.dir, name+".toml"), regions: regions, backend: backend, quiet: func() {}, settings: standin.SidecarSettings{
		Name: name, FailureDomain: failureDomain, Service: service, Platform: f.store.address, Backend: backend.Address(),
		Callers: addresses[0], Nodes: addresses[1], Datagrams: addresses[2], Ready: addresses[3], Upstream: addresses[4],
		Metrics: addresses[5], FirstStart: true,
	}}
	f.nodes = append(f.nodes, n)
	return n, nil
}

// launch writes the settings of a node, starts its process and announces its upstream.
func (f *fleet) launch(n *node) error {
	if err := n.writeSettings(); err != nil {
		return err
	}
	n.announce(0)
	return f.start(n)
}

// writeSettings replaces the settings file of a node.
func (n *node) writeSettings() error {
	text := n.settings.TOML()
	if region := n.regions[n.settings.FailureDomain]; region != "" {
		text = fmt.Sprintf("region = %q\n%s[regions]\n", region, text)
		for _, failureDomain := range slices.Sorted(maps.Keys(n.regions)) {
			text += fmt.Sprintf("%s = %q\n", failureDomain, n.regions[failureDomain])
		}
	}
	partial := n.path + ".new"
	if err := os.WriteFile(partial, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(partial, n.path)
}

// reload tells the process of a node that its settings have changed.
func (f *fleet) reload(n *node) error {
	f.record.add("node %s gets SIGHUP", n.name)
	return n.command.Process.Signal(syscall.SIGHUP)
}

// start starts the process of a node with the command of the deploy file.
func (f *fleet) start(n *node) error {
	log, err := os.OpenFile(filepath.Join(f.dir, n.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(program, "sidecar", "--settings", n.path)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	n.command, n.exited = command, exited
	f.record.add("node %s starts", n.name)
	return nil
}

// announce sends the heartbeats of the upstream, the first after a delay, until quiet.
func (n *node) announce(delay time.Duration) {
	backend, ended := n.backend, make(chan struct{})
	var pulse sync.WaitGroup
	pulse.Go(func() {
		for wait := delay; ; wait = heartbeatInterval {
			select {
			case <-ended:
				return
			case <-time.After(wait):
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			// One that gets no answer is followed by the next.
			_, _ = backend.Heartbeat(ctx, n.settings.Upstream, "ready")
			cancel()
		}
	})
	n.quiet = sync.OnceFunc(func() {
		close(ended)
		pulse.Wait()
	})
}

// kill ends the process of a node at once.
func (n *node) kill() {
	if n.command == nil {
		return
	}
	_ = n.command.Process.Kill()
	select {
	case <-n.exited:
	case <-time.After(stopTimeout):
	}
}

// isReady reports whether a node answers its readiness check.
func (n *node) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.settings.Ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// await waits until a condition holds.
func await(what string, timeout time.Duration, holds func() bool) error {
	for deadline := time.Now().Add(timeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: not within %v", what, timeout)
		}
	}
	return nil
}

// awaitServing waits until all nodes are ready and serve requests for a path.
func (f *fleet) awaitServing(path string) error {
	for _, n := range f.nodes {
		err := await("node "+n.name+" serves "+path, startTimeout, func() bool {
			return n.isReady() && f.send(n, path).Status == http.StatusOK
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// send sends a request for a path to a node on a connection of its own and records the
// answer.
func (f *fleet) send(n *node, path string) standin.CallerAnswer {
	f.mu.Lock()
	f.requests++
	id := fmt.Sprintf("request%05d", f.requests)
	f.mu.Unlock()
	caller := standin.NewCaller()
	defer caller.Close()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	answer, err := caller.Send(ctx, n.settings.Callers, path, id, "candles=3", callTimeout)
	if err != nil {
		f.record.add("%s for %s sent to %s: no answer: %v", id, path, n.name, err)
		return standin.CallerAnswer{}
	}
	f.record.add("%s for %s sent to %s: answered %d %q", id, path, n.name, answer.Status, answer.Body)
	return answer
}
