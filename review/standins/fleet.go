package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/standin"
)

const (
	// memoryLimit is the memory limit in the settings, above which the platform
	// kills a process.
	memoryLimit = 284 << 20
	// memoryInterval is the pause between looks at a process's memory.
	memoryInterval = 20 * time.Millisecond
	// restartDelay is the pause after which the platform starts an ended process
	// again.
	restartDelay = 500 * time.Millisecond
	// readyTimeout bounds the start of the fleet.
	readyTimeout = 20 * time.Second
	// stableTime is how long a node has to run undisturbed to count as in touch.
	stableTime = 3 * time.Second
)

// host is a machine: a node as a separate process, and its upstream.
type host struct {
	name, settings, dir             string
	callers, ready, control, backed string
	upstream                        *upstream
	record                          *record
	program                         string

	mu       sync.Mutex
	process  *exec.Cmd
	exited   chan struct{}
	stopping bool
	// dark means that the machine has no power.
	dark bool
	// deaths counts the ends of the process that the case did not order.
	deaths int
}

// fleet is a small deployment.
type fleet struct {
	hosts  []*host
	record *record
	store  *http.Server
	dir    string
	// storeAddress is the address of the platform stand-in, and version the latest
	// version of the configuration.
	storeAddress string
	version      int
	services     []serviceSpec
}

// newFleet starts the platform stand-in, the upstreams and the nodes, one node for
// each of the given services, and waits until all nodes are ready.
func newFleet(program string, rec *record, services ...serviceSpec) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: rec, dir: dir}
	go f.watch()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return f, err
	}
	f.store = &http.Server{Handler: standin.NewPlatform(), ReadHeaderTimeout: time.Minute}
	go func() { _ = f.store.Serve(listener) }()
	f.storeAddress, f.version = listener.Addr().String(), firstVersion
	for _, s := range services {
		if !slices.ContainsFunc(f.services, func(known serviceSpec) bool { return known.name == s.name }) {
			f.services = append(f.services, s)
		}
	}
	if err := f.publish(); err != nil {
		return f, err
	}
	for i, service := range services {
		h, err := newHost(program, dir, listener.Addr().String(), i+1, service, rec)
		if err != nil {
			return f, err
		}
		f.hosts = append(f.hosts, h)
	}
	for _, h := range f.hosts {
		if err := h.start(); err != nil {
			return f, err
		}
		go h.watchMemory()
		go h.upstream.sendHeartbeats(h.control)
	}
	return f, f.awaitReady()
}

// timeLimit bounds a case.
const timeLimit = 117 * time.Second

// watch ends everything, as a case that could not run, on a signal or at timeLimit.
func (f *fleet) watch() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	f.close()
	f.record.close()
	os.Exit(exitNotRun)
}

// firstVersion is the version of the configuration at the start of the fleet.
const firstVersion = 7

// publish stores the configuration in its latest version, with routes for the added
// prefixes, as the operator does.
func (f *fleet) publish(added ...string) error {
	data, err := configuration(f.version, f.services, added)
	if err != nil {
		return err
	}
	client := platform.NewClient(f.storeAddress)
	defer client.Close()
	if err := client.Set(context.Background(), platform.ConfigurationKey, data); err != nil {
		return err
	}
	f.record.add("the store has acknowledged version r%d", f.version)
	return nil
}

func (f *fleet) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, h := range f.hosts {
		for !h.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %s", h.name, readyTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.record.add("all nodes are ready")
	// The heartbeats have reached all nodes, and all count as in touch.
	time.Sleep(stableTime + heartbeatInterval)
	return nil
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	for _, h := range f.hosts {
		h.kill()
		h.upstream.close()
	}
	if f.store != nil {
		_ = f.store.Close()
	}
	_ = os.RemoveAll(f.dir)
}

// freeAddress returns an address at ip that nothing listens on, neither with TCP nor
// with UDP.
func freeAddress(ip string) (string, error) {
	for range 50 {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return "", err
		}
		address := listener.Addr().String()
		socket, err := net.ListenPacket("udp", address)
		_ = listener.Close()
		if err == nil {
			_ = socket.Close()
			return address, nil
		}
	}
	return "", errors.New("no free address")
}

func newHost(program, dir, store string, index int, service serviceSpec, rec *record) (*host, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>8%64, os.Getpid()%256, index)
	var addresses [7]string
	for i := range addresses {
		address, err := freeAddress(ip)
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	h := &host{
		name: fmt.Sprintf("host-%d", index), dir: dir, program: program, record: rec,
		settings: filepath.Join(dir, fmt.Sprintf("host-%d.toml", index)),
		callers:  addresses[0], ready: addresses[3], control: addresses[4], backed: addresses[6],
	}
	zone := fmt.Sprintf("zone-%d", (index-1)%2)
	text := standin.SidecarSettings{
		Name: h.name, FailureDomain: zone, Service: service.name, Platform: store, Backend: h.backed, FirstStart: true,
		Callers: addresses[0], Nodes: addresses[1], Datagrams: addresses[2], Ready: addresses[3], Upstream: addresses[4],
		Metrics: addresses[5],
	}.TOML()
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	h.upstream, err = newUpstream(fmt.Sprintf("i-%d", index), zone, h.backed, service, rec)
	return h, err
}

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	logs, err := os.OpenFile(filepath.Join(h.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logs.Close() }()
	errorPath := filepath.Join(h.dir, h.name+".err")
	errorLog, err := os.Create(errorPath)
	if err != nil {
		return err
	}
	defer func() { _ = errorLog.Close() }()
	command := exec.Command(h.program, "sidecar", "--settings", h.settings)
	command.Stdout, command.Stderr = logs, errorLog
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.process, h.exited = command, exited
	h.mu.Unlock()
	h.record.add("%s starts as process %d", h.name, command.Process.Pid)
	go func() {
		err := command.Wait()
		close(exited)
		h.handleExit(err, errorPath)
	}()
	return nil
}

// handleExit records an end of the process that the case did not order, and starts
// the process again as the platform does.
func (h *host) handleExit(err error, errorPath string) {
	h.mu.Lock()
	if h.stopping || h.dark {
		h.mu.Unlock()
		return
	}
	h.deaths++
	h.mu.Unlock()
	h.record.add("process of %s ended by itself: %v", h.name, err)
	for _, line := range firstLines(errorPath, 12) {
		h.record.add("  %s", line)
	}
	time.Sleep(restartDelay)
	h.mu.Lock()
	stopping := h.stopping
	h.mu.Unlock()
	if stopping {
		return
	}
	if err := h.start(); err != nil {
		h.record.add("%s cannot be started: %v", h.name, err)
	}
}

func firstLines(path string, count int) []string {
	file, err := os.Open(path)
	if err != nil {
		return nil
	}
	defer func() { _ = file.Close() }()
	var lines []string
	for scanner := bufio.NewScanner(file); len(lines) < count && scanner.Scan(); {
		lines = append(lines, scanner.Text())
	}
	return lines
}

// powerOff ends the process, which does not start again before powerOn. Nobody but the
// node reaches the upstream, which is therefore left running.
func (h *host) powerOff() {
	h.mu.Lock()
	h.dark = true
	process, exited := h.process, h.exited
	h.mu.Unlock()
	h.record.add("%s loses power", h.name)
	_ = process.Process.Signal(syscall.SIGKILL)
	<-exited
}

func (h *host) powerOn() error {
	h.mu.Lock()
	h.dark = false
	h.mu.Unlock()
	return h.start()
}

// kill ends the process for good.
func (h *host) kill() {
	h.mu.Lock()
	h.stopping = true
	process, exited := h.process, h.exited
	h.mu.Unlock()
	if process != nil {
		_ = process.Process.Signal(syscall.SIGKILL)
		<-exited
	}
}

// remove takes the machine away as planned: its upstream leaves, then the node gets
// SIGTERM.
func (h *host) remove() error {
	if err := h.upstream.leave(h.control); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopping = true
	h.record.add("%s gets SIGTERM, as planned", h.name)
	return h.process.Process.Signal(syscall.SIGTERM)
}

// watchMemory kills the process when its memory exceeds the limit, as the platform
// does.
func (h *host) watchMemory() {
	for {
		time.Sleep(memoryInterval)
		h.mu.Lock()
		process, stopping, dark := h.process, h.stopping, h.dark
		h.mu.Unlock()
		if stopping {
			return
		}
		if dark {
			continue
		}
		used := residentMemory(process.Process.Pid)
		if used > memoryLimit {
			h.record.add("platform kills process %d of %s: %d MB exceed %d MB", process.Process.Pid, h.name, used>>20, memoryLimit>>20)
			_ = process.Process.Signal(syscall.SIGKILL)
			time.Sleep(restartDelay)
		}
	}
}

// residentMemory returns the memory of a process in bytes, 0 if it has ended.
func residentMemory(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize()
}

// isReady asks the node whether it is ready.
func (h *host) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ready+platform.ReadyPath, nil)
	if err != nil {
		return false
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (h *host) deathCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.deaths
}
