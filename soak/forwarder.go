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
	// Pass hands everything on.
	Pass Mode = "pass"
	// Delayed hands everything on late.
	Delayed Mode = "delayed"
	// Silent drops everything and keeps the connections.
	Silent Mode = "silent"
	// Deaf drops what comes back from the target.
	Deaf Mode = "deaf"
	// Refused closes new connections at once.
	Refused Mode = "refused"
)

const (
	// delay is how late Delayed hands bytes on: many times the usual run.
	delay = 150 * time.Millisecond
	// forwardDial bounds a connection to the target.
	forwardDial = time.Second
	// forwardBuffer is how much is passed on at a time, in bytes.
	forwardBuffer = 16 << 10
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
	f := &Forwarder{listener: listener, target: target, mode: Pass, conns: map[*net.TCPConn]struct{}{}}
	go f.accept()
	return f, nil
}

// Address returns where the Forwarder listens.
func (f *Forwarder) Address() string { return f.listener.Addr().String() }

// Set changes the mode.
func (f *Forwarder) Set(mode Mode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mode = mode
}

// Retarget passes new connections on to another target.
func (f *Forwarder) Retarget(target string) {
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

func (f *Forwarder) serve(near *net.TCPConn) {
	mode, target := f.current()
	if mode == Refused {
		_ = near.SetLinger(0)
		_ = near.Close()
		return
	}
	conn, err := net.DialTimeout("tcp", target, forwardDial)
	if err != nil {
		_ = near.SetLinger(0)
		_ = near.Close()
		return
	}
	far := conn.(*net.TCPConn)
	f.mu.Lock()
	f.conns[near], f.conns[far] = struct{}{}, struct{}{}
	f.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		f.pump(far, near, false)
	}()
	go func() {
		defer both.Done()
		f.pump(near, far, true)
	}()
	both.Wait()
	f.mu.Lock()
	delete(f.conns, near)
	delete(f.conns, far)
	f.mu.Unlock()
	_ = near.Close()
	_ = far.Close()
}

// pump passes bytes on in one direction; back tells that they come from the
// target.
func (f *Forwarder) pump(to, from *net.TCPConn, back bool) {
	buffer := make([]byte, forwardBuffer)
	for {
		n, err := from.Read(buffer)
		mode, _ := f.current()
		if mode == Delayed {
			time.Sleep(delay)
		}
		if n > 0 && mode != Silent && (mode != Deaf || !back) {
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
