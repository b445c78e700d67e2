package soak

import (
	"net"
	"sync"
	"time"
)

// Mode is what a Forwarder does to the bytes that it is to pass on.
type Mode string

// The modes of a Forwarder.
const (
	// ModePass hands everything on.
	ModePass Mode = "pass"
	// ModeDelay hands everything on late.
	ModeDelay Mode = "delayed"
	// ModeDrop drops everything and keeps the connections.
	ModeDrop Mode = "silent"
	// ModeDropAnswers drops what comes back from the target.
	ModeDropAnswers Mode = "deaf"
	// ModeRefuse closes new connections at once.
	ModeRefuse Mode = "refused"
)

const (
	// forwardDelay is how late Delayed hands bytes on: many times the usual run.
	forwardDelay = 150 * time.Millisecond
	// dialTimeout bounds a connection to the target.
	dialTimeout = time.Second
	// bufferSize is how much is passed on at a time, in bytes.
	bufferSize = 16 << 10
)

// Forwarder passes TCP connections on to a target, and can harm them.
type Forwarder struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	mode   Mode
	conns  map[*net.TCPConn]struct{}
}

// NewForwarder returns a Forwarder that listens at an address.
func NewForwarder(listen, target string) (*Forwarder, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, &Error{op: "listen", kind: KindSetup, err: err}
	}
	f := &Forwarder{listener: listener, target: target, mode: ModePass, conns: map[*net.TCPConn]struct{}{}}
	go f.accept()
	return f, nil
}

// Address returns where the Forwarder listens.
func (f *Forwarder) Address() string { return f.listener.Addr().String() }

// SetMode changes the mode.
func (f *Forwarder) SetMode(mode Mode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mode = mode
}

// SetTarget passes new connections on to another target.
func (f *Forwarder) SetTarget(target string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.target = target
}

// Reset ends all connections with a reset.
func (f *Forwarder) Reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for conn := range f.conns {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

// Close ends the Forwarder.
func (f *Forwarder) Close() {
	_ = f.listener.Close()
	f.Reset()
}

func (f *Forwarder) current() (Mode, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mode, f.target
}

func (f *Forwarder) accept() {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.serve(conn.(*net.TCPConn))
	}
}

func (f *Forwarder) serve(client *net.TCPConn) {
	mode, target := f.current()
	if mode == ModeRefuse {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	conn, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	remote := conn.(*net.TCPConn)
	f.mu.Lock()
	f.conns[client], f.conns[remote] = struct{}{}, struct{}{}
	f.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		f.forward(remote, client, false)
	}()
	go func() {
		defer both.Done()
		f.forward(client, remote, true)
	}()
	both.Wait()
	f.mu.Lock()
	delete(f.conns, client)
	delete(f.conns, remote)
	f.mu.Unlock()
	_ = client.Close()
	_ = remote.Close()
}

// forward passes bytes on in one direction; back tells that they come from the
// target.
func (f *Forwarder) forward(to, from *net.TCPConn, fromTarget bool) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		mode, _ := f.current()
		if mode == ModeDelay {
			time.Sleep(forwardDelay)
		}
		if n > 0 && mode != ModeDrop && (mode != ModeDropAnswers || !fromTarget) {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}
