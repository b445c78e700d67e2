package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/banyancross/banyancross/standin"
)

const (
	// crashTime is how long an upstream is down after a crash.
	crashTime = 2 * time.Second
	// workTime is how long a request takes that crashes nothing.
	workTime = 50 * time.Millisecond
)

// crasher is an upstream that crashes when it begins to run a request for a path from a caller
// of a service. It comes back as a new incarnation at its address.
type crasher struct {
	headers headers
	node    *node
	record  *record
	address string
	// path and caller are those of the requests that crash it, "" for none.
	path, caller string
	// arrived is called when such a request arrives.
	arrived func()

	mu         sync.Mutex
	server     *http.Server
	instance   string
	starts     int
	closed     bool
	restarting sync.WaitGroup
}

// newCrasher starts an upstream in place of a node's own.
func newCrasher(h headers, n *node, r *record, path, caller string, arrived func()) (*crasher, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	n.settings.Backend = address
	c := &crasher{headers: h, node: n, record: r, address: address, path: path, caller: caller, arrived: arrived}
	return c, c.start()
}

// start starts the next incarnation, which a new stand-in announces.
func (c *crasher) start() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	listener, err := net.Listen("tcp", c.address)
	if err != nil {
		return err
	}
	c.starts++
	c.instance = fmt.Sprintf("i-%s-%d", c.node.name, c.starts)
	announcer, err := standin.NewBackend(c.instance, c.node.settings.Service, c.node.settings.FailureDomain, "127.0.0.1:0")
	if err != nil {
		return err
	}
	announcer.SetAnnouncedAddress(c.address)
	c.node.backend.Close()
	c.node.backend = announcer
	server := &http.Server{Handler: c, ReadHeaderTimeout: time.Minute}
	c.server = server
	go func() { _ = server.Serve(listener) }()
	c.record.add("upstream %s starts", c.instance)
	if c.starts > 1 {
		c.node.announce(0)
	}
	return nil
}

// crash ends the incarnation, and starts the next one after a while.
func (c *crasher) crash() {
	c.mu.Lock()
	server, instance := c.server, c.instance
	c.server = nil
	c.mu.Unlock()
	if server == nil {
		return
	}
	c.record.add("upstream %s crashes", instance)
	_ = server.Close()
	c.restarting.Go(func() {
		c.node.quiet()
		time.Sleep(crashTime)
		if err := c.start(); err != nil {
			c.record.add("the upstream of %s does not start: %v", c.node.name, err)
		}
	})
}

// close ends the upstream.
func (c *crasher) close() {
	c.mu.Lock()
	c.closed = true
	server := c.server
	c.mu.Unlock()
	c.restarting.Wait()
	if server != nil {
		_ = server.Close()
	}
}

// ServeHTTP implements http.Handler.
func (c *crasher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	instance := c.instance
	c.mu.Unlock()
	w.Header().Set(c.headers.Instance, instance)
	if r.URL.Path == "/healthz" {
		return
	}
	id := r.Header.Get(c.headers.ID)
	w.Header().Set(c.headers.ID, id)
	if r.Header.Get(c.headers.Expected) != instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	caller := r.Header.Get(c.headers.Caller)
	if r.URL.Path == c.path && caller == c.caller {
		c.record.add("%s reaches %s, for a caller of service %s", id, instance, caller)
		c.arrived()
		c.crash()
		panic(http.ErrAbortHandler)
	}
	c.record.add("%s runs %s for service %s", instance, id, caller)
	time.Sleep(workTime)
	w.Header().Set(c.headers.Stamp, "s")
	_, _ = io.WriteString(w, instance)
}
