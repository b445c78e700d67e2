package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/banyancross/banyancross/standin"
)

const (
	program = "target/banyancross"
	// readyTimeout bounds the time until a node is ready.
	readyTimeout = 15 * time.Second
	// graceTime is the grace period in the settings.
	graceTime = 6 * time.Second
	// drainTime is how long after an acknowledged leaving requests may still come.
	drainTime = 2 * time.Second
	// stableTime is how long a machine must have run to be in touch.
	stableTime = 3 * time.Second
)

// settingsFormat is the template of the deploy file with the bounds of the small
// deployments.
const settingsFormat = `host = %q
failure-domain = %q
service = %q
platform = %q
log-level = "info"
backend = %q
first-start = %t
region = "jawa"

[listen]
callers = %q
nodes = %q
datagrams = %q
ready = %q
upstream = %q
metrics = %q

[bounds]
retry-ratio = 0.2
retry-slack = 60
retry-window = "10s"
grace = "6s"
memory-mb = 284

[regions]
jawa-barat = "jawa"
jawa-tengah = "jawa"
jawa-timur = "jawa"
`

var zones = []string{"jawa-barat", "jawa-tengah", "jawa-timur"}

// fleet holds the platform and the nodes of a case.
type fleet struct {
	record   *record
	folder   string
	host     string
	platform *standin.Platform
	server   *http.Server
	address  string
	nodes    []*node
}

// node is a machine with a process of the system and room for one upstream.
type node struct {
	fleet                                                      *fleet
	name, zone, service                                        string
	callers, hops, datagrams, ready, control, metrics, backend string

	command *exec.Cmd
	ended   chan struct{}
	// since is when the present process became ready.
	since time.Time
}

func newFleet(r *record) (*fleet, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	// An address of its own keeps the ports of the fleet apart from those of other processes.
	host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(200), rand.IntN(250), 1+rand.IntN(250))
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, folder: folder, host: host, platform: standin.NewPlatform(), address: listener.Addr().String()}
	f.server = &http.Server{Handler: f.platform, ReadHeaderTimeout: time.Minute}
	go func() { _ = f.server.Serve(listener) }()
	return f, nil
}

// close ends all processes and removes the folder.
func (f *fleet) close() {
	for _, n := range f.nodes {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range f.nodes {
		n.awaitEnd()
	}
	f.platform.Close()
	_ = f.server.Close()
	_ = os.RemoveAll(f.folder)
}

// start stores a configuration, and starts one node for each of the services.
func (f *fleet) start(services []string, configuration []byte) error {
	f.platform.Store(wire["configuration"], configuration)
	var closers []io.Closer
	for i, service := range services {
		n := &node{fleet: f, name: fmt.Sprintf("sidecar-%d", i+1), zone: zones[i%len(zones)], service: service}
		chosen, err := n.chooseAddresses()
		closers = append(closers, chosen...)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
	}
	// All addresses are known now, each a different one.
	for _, c := range closers {
		if err := c.Close(); err != nil {
			return err
		}
	}
	for _, n := range f.nodes {
		if err := n.start(true); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

func (f *fleet) awaitReady() error {
	for _, n := range f.nodes {
		if err := n.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// chooseAddresses sets the addresses of the node to free ports, which stay taken until what
// it returns is closed.
func (n *node) chooseAddresses() ([]io.Closer, error) {
	var closers []io.Closer
	for _, address := range []*string{&n.callers, &n.hops, &n.ready, &n.control, &n.metrics, &n.backend} {
		listener, err := net.Listen("tcp", n.fleet.host+":0")
		if err != nil {
			return closers, err
		}
		closers = append(closers, listener)
		*address = listener.Addr().String()
	}
	conn, err := net.ListenPacket("udp", n.fleet.host+":0")
	if err != nil {
		return closers, err
	}
	n.datagrams = conn.LocalAddr().String()
	return append(closers, conn), nil
}

// start starts the process of the node.
func (n *node) start(first bool) error {
	path := filepath.Join(n.fleet.folder, n.name+".toml")
	text := fmt.Sprintf(settingsFormat, n.name, n.zone, n.service, n.fleet.address, n.backend, first,
		n.callers, n.hops, n.datagrams, n.ready, n.control, n.metrics)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(n.outputPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	n.command = exec.Command(program, "sidecar", "--settings", path)
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.fleet.folder}
	n.command.Stdout, n.command.Stderr = output, output
	if err := n.command.Start(); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		close(ended)
	}(n.command, n.ended)
	n.fleet.record.add("%s: process starts", n.name)
	return nil
}

// outputPath returns the file with the output of the node's processes.
func (n *node) outputPath() string { return filepath.Join(n.fleet.folder, n.name+".log") }

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	if n.command == nil || n.command.Process == nil {
		return
	}
	err := n.command.Process.Signal(s)
	if err == nil || !errors.Is(err, os.ErrProcessDone) {
		n.fleet.record.add("%s: %v", n.name, s)
	}
}

// awaitEnd waits until the process has ended, and kills it after the grace period.
func (n *node) awaitEnd() {
	if n.ended == nil {
		return
	}
	select {
	case <-n.ended:
	case <-time.After(graceTime):
		n.signal(syscall.SIGKILL)
		<-n.ended
	}
}

// awaitReady waits until the node says that it is ready.
func (n *node) awaitReady() error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		select {
		case <-n.ended:
			output, _ := os.ReadFile(n.outputPath())
			lines := bytes.Split(bytes.TrimSpace(output), []byte("\n"))
			return fmt.Errorf("the process of %s has ended: %s", n.name, lines[len(lines)-1])
		default:
		}
		response, err := client.Get("http://" + n.ready + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			n.since = time.Now()
			n.fleet.record.add("%s: ready", n.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", n.name)
}

// restart stops the process as the platform does, and starts it again.
func (n *node) restart(s syscall.Signal, delay time.Duration) error {
	n.signal(s)
	n.awaitEnd()
	time.Sleep(delay)
	if err := n.start(false); err != nil {
		return err
	}
	return n.awaitReady()
}
