package soak

import (
	"net"
	"sync"
	"time"
)

// Mode is what a Forwarder does with data and connections.
type Mode string

// The modes of a Forwarder.
const (
	// ModePass forwards all data.
	ModePass Mode = "pass"
	// ModeDelay forwards all data after forwardDelay.
	ModeDelay Mode = "delayed"
	// ModeDrop drops all data and keeps the connections open.
	ModeDrop Mode = "silent"
	// ModeDropAnswers drops the data from the target and forwards the data to it.
	ModeDropAnswers Mode = "deaf"
	// ModeRefuse resets new connections.
	ModeRefuse Mode = "refused"
)

const (
	// forwardDelay is the delay of ModeDelay, many times the serviceTime of an
	// upstream.
	forwardDelay = 150 * time.Millisecond
	// dialTimeout bounds the dial to the target.
	dialTimeout = time.Second
	// bufferSize is the maximum number of bytes that are forwarded at a time.
	bufferSize = 16 << 10
)

// Forwarder forwards TCP connections to a target, and can delay, drop or reset their
// data.
type Forwarder struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	mode   Mode
	conns  map[*net.TCPConn]struct{}
}

// NewForwarder returns a Forwarder from a listen address to a target address.
func NewForwarder(listen, target string) (*Forwarder, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, &Error{op: "listen", kind: KindSetup, err: err}
	}
	f := &Forwarder{listener: listener, target: target, mode: ModePass, conns: map[*net.TCPConn]struct{}{}}
	go f.accept()
	return f, nil
}

// Address returns the address that the Forwarder listens on.
func (f *Forwarder) Address() string { return f.listener.Addr().String() }

// SetMode sets the mode, also for the data of open connections.
func (f *Forwarder) SetMode(mode Mode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mode = mode
}

// SetTarget sets the target of new connections.
func (f *Forwarder) SetTarget(target string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.target = target
}

// Reset resets all connections.
func (f *Forwarder) Reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for conn := range f.conns {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

// Close closes the listener and resets all connections.
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
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		f.forward(remote, client, false)
	}()
	go func() {
		defer wg.Done()
		f.forward(client, remote, true)
	}()
	wg.Wait()
	f.mu.Lock()
	delete(f.conns, client)
	delete(f.conns, remote)
	f.mu.Unlock()
	_ = client.Close()
	_ = remote.Close()
}

// forward copies data from one connection to the other until a read or write fails.
// fromTarget is the direction from the target to the client.
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
