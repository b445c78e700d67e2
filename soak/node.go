package soak

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/banyancross/banyancross/standin"
)

const (
	// heartbeatInterval is the time between heartbeats of an upstream.
	heartbeatInterval = 200 * time.Millisecond
	// serviceTime is the time that an upstream takes for a request.
	serviceTime = 20 * time.Millisecond
	// drainPeriod is how long after the acknowledgement of its deregistration
	// requests may still reach an upstream.
	drainPeriod = 2 * time.Second
	// faultFreePeriod is the time without a fault after which requests must not be
	// affected by the last one.
	faultFreePeriod = 3 * time.Second
	// gracePeriod is the time that a sidecar has for a planned stop, as in its
	// settings.
	gracePeriod = 6 * time.Second
)

// server is a present or former upstream of a node.
type server struct {
	backend *standin.Backend
	// leftAt is when its deregistration was acknowledged, or zero.
	leftAt time.Time
}

// node is one host: a sidecar process, its upstream, and the forwarders for calls
// from other nodes, for calls to the upstream and for calls to the store.
type node struct {
	index int
	name  string
	// service is the service of the node's upstream, and calledService the one that its
	// runs call unless it is the same.
	service, calledService string
	// program, settings and logs are file paths.
	program, settings, logs string
	// callers and control are the sidecar's addresses for callers and heartbeats.
	callers, control       string
	calls, upstream, store *Forwarder

	mu sync.Mutex
	// servers holds the current upstream last.
	servers []*server
	// state is the state that the current upstream's heartbeats report.
	state string
	// rejectShare and repeatShare are those of the current upstream.
	rejectShare, repeatShare float64
	process                  *exec.Cmd
	exited                   chan struct{}
	incarnation              int
	// stopping reports whether an event has sent the process SIGTERM or SIGKILL.
	stopping bool
	// recordViolation adds a violation to the fleet's report.
	recordViolation func(format string, arguments ...any)
	// processMu is held during an event on the process, replaceMu during the
	// replacement of the upstream.
	processMu, replaceMu sync.Mutex
	// lastUpstreamFault is when a fault between the node and its upstream last began
	// or ended.
	lastUpstreamFault time.Time
}

// failureDomains is the number of failure domains of the fleet.
const failureDomains = 3

// newNode returns a node with its upstream, forwarders and settings file. It does not
// start the process.
func newNode(o Options, index int, store string) (n *node, err error) {
	n = &node{
		index: index, name: fmt.Sprintf("host-%d", index), service: o.service(index), calledService: o.calledService(), program: o.Program, state: "ready",
		settings: filepath.Join(o.Dir, fmt.Sprintf("host-%d.toml", index)),
		logs:     filepath.Join(o.Dir, fmt.Sprintf("host-%d.log", index)),
	}
	free, err := freeAddresses(6)
	if err != nil {
		return nil, &Error{op: "listen", kind: KindSetup, err: err}
	}
	n.callers, n.control = free[0], free[4]
	first, err := n.addServer()
	if err != nil {
		return nil, err
	}
	if n.upstream, err = NewForwarder("127.0.0.1:0", first.backend.Address()); err != nil {
		return nil, err
	}
	first.backend.SetAnnouncedAddress(n.upstream.Address())
	if n.calls, err = NewForwarder("127.0.0.1:0", free[1]); err != nil {
		return nil, err
	}
	if n.store, err = NewForwarder("127.0.0.1:0", store); err != nil {
		return nil, err
	}
	sidecarSettings := standin.SidecarSettings{
		Name: n.name, FailureDomain: fmt.Sprintf("z%d", index%failureDomains), Service: n.service,
		Platform: n.store.Address(), Backend: n.upstream.Address(), Callers: free[0], Nodes: free[1], Datagrams: free[2],
		Ready: free[3], Upstream: free[4], Metrics: free[5], Advertised: n.calls.Address(),
	}
	if err := os.WriteFile(n.settings, []byte(sidecarSettings.TOML()), 0o600); err != nil {
		return nil, &Error{op: "settings", kind: KindSetup, err: err}
	}
	return n, nil
}

// freeAddresses returns loopback addresses that nothing listens on. Each process that
// runs a soak uses an IP address of its own, so that no other one takes the ports
// before the sidecars listen. The ports are below the ephemeral range, from which
// outgoing connections get theirs.
func freeAddresses(count int) ([]string, error) {
	pid := os.Getpid()
	var found []string
	for len(found) < count {
		portsMu.Lock()
		nextPort++
		address := fmt.Sprintf("127.%d.%d.%d:%d", 64+(pid>>16)%64, pid>>8&0xff, max(pid&0xff, 1), firstPort+nextPort%portCount)
		portsMu.Unlock()
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := listener.Close(); err != nil {
			return nil, err
		}
		found = append(found, address)
	}
	return found, nil
}

// firstPort and portCount are the port range of freeAddresses.
const (
	firstPort = 12000
	portCount = 8000
)

var (
	portsMu  sync.Mutex
	nextPort int
)

// addServer starts a new upstream of the node and makes it the current one.
func (n *node) addServer() (*server, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	backend, err := standin.NewBackend(fmt.Sprintf("i-%d-%d", n.index, len(n.servers)), n.service, "z", "127.0.0.1:0")
	if err != nil {
		return nil, &Error{op: "upstream", kind: KindSetup, err: err}
	}
	backend.SetServiceTime(serviceTime)
	backend.SetRejectShare(n.rejectShare)
	backend.SetRepeatShare(n.repeatShare)
	backend.SetBreakShare(breakShare)
	backend.SetEarlyShare(earlyShare)
	if n.service != n.calledService {
		backend.SetNestedCalls(nestedCallsPerRun, n.callers)
	}
	s := &server{backend: backend}
	n.servers = append(n.servers, s)
	n.state = "ready"
	return s, nil
}

// currentServer returns the node's current upstream and its state.
func (n *node) currentServer() (*server, string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.servers[len(n.servers)-1], n.state
}

// sendHeartbeats sends the heartbeats of the current upstream until ctx ends.
func (n *node) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		s, state := n.currentServer()
		callCtx, cancel := context.WithTimeout(ctx, faultFreePeriod)
		// The next heartbeat makes up for a failed one.
		_, _ = s.backend.Heartbeat(callCtx, n.control, state)
		cancel()
		sleep(ctx, heartbeatInterval)
	}
}

// replaceServer drains the upstream, starts another one at the forwarder's address
// after drainPeriod and delay, and closes the old one.
func (n *node) replaceServer(ctx context.Context, delay time.Duration) error {
	s, _ := n.currentServer()
	n.mu.Lock()
	n.state = "draining"
	n.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, faultFreePeriod)
	status, err := s.backend.Leave(callCtx, n.control)
	cancel()
	if err == nil && status/100 == 2 {
		n.mu.Lock()
		s.leftAt = time.Now()
		n.mu.Unlock()
	}
	sleep(ctx, drainPeriod+delay)
	next, err := n.addServer()
	if err != nil {
		return err
	}
	next.backend.SetAnnouncedAddress(n.upstream.Address())
	n.upstream.SetTarget(next.backend.Address())
	s.backend.Close()
	return nil
}

// start starts the process. An exit that no event caused is a violation.
func (n *node) start() error {
	logs, err := os.OpenFile(n.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return &Error{op: "logs", kind: KindSetup, err: err}
	}
	command := exec.Command(n.program, "sidecar", "--settings", n.settings)
	command.Stdout, command.Stderr = logs, logs
	err = command.Start()
	_ = logs.Close()
	if err != nil {
		return &Error{op: "start", kind: KindSetup, err: err}
	}
	n.mu.Lock()
	n.process, n.exited, n.stopping = command, make(chan struct{}), false
	n.incarnation++
	exited := n.exited
	n.mu.Unlock()
	go func() {
		err := command.Wait()
		n.mu.Lock()
		stopping := n.stopping
		n.mu.Unlock()
		if !stopping {
			n.recordViolation("%s exited unexpectedly: %v", n.name, err)
		}
		close(exited)
	}()
	return nil
}

// signal signals the current process, and returns a channel that is closed when the
// process has exited.
func (n *node) signal(s syscall.Signal) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		n.stopping = n.stopping || s == syscall.SIGKILL || s == syscall.SIGTERM
		_ = n.process.Process.Signal(s)
	}
	return n.exited
}

// processState returns the incarnation of the current process, counted from 1, and
// whether it is stopping.
func (n *node) processState() (int, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.incarnation, n.stopping
}

// close kills the process and closes the forwarders and upstreams.
func (n *node) close() {
	if exited := n.signal(syscall.SIGKILL); exited != nil {
		<-exited
	}
	for _, f := range []*Forwarder{n.calls, n.upstream, n.store} {
		f.Close()
	}
	for _, s := range n.servers {
		s.backend.Close()
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
