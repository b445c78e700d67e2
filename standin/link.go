package standin

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// linkBacklog is how many chunks a link holds in each direction.
const linkBacklog = 256

// chunk is data on its way.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

// delayedConn delays what is written and what is read. It has no deadlines.
type delayedConn struct {
	net.Conn
	delay  func() time.Duration
	out    chan chunk
	in     chan chunk
	rest   []byte
	failed error
	closed chan struct{}
	once   sync.Once
}

// Delay returns a connection whose data takes the drawn time each way.
func Delay(conn net.Conn, delay func() time.Duration) net.Conn {
	c := &delayedConn{
		Conn: conn, delay: delay, closed: make(chan struct{}),
		out: make(chan chunk, linkBacklog), in: make(chan chunk, linkBacklog),
	}
	go c.writeLoop()
	go c.readLoop()
	return c
}

// wait sleeps until t unless the connection is closed before.
func (c *delayedConn) wait(t time.Time) {
	d := time.Until(t)
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.closed:
	}
}

func (c *delayedConn) writeLoop() {
	for {
		select {
		case <-c.closed:
			return
		case next := <-c.out:
			c.wait(next.due)
			if _, err := c.Conn.Write(next.data); err != nil {
				_ = c.Close()
				return
			}
		}
	}
}

func (c *delayedConn) readLoop() {
	for {
		buffer := make([]byte, 16<<10)
		n, err := c.Conn.Read(buffer)
		select {
		case c.in <- chunk{data: buffer[:n], due: time.Now().Add(c.delay()), err: err}:
		case <-c.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// Write implements net.Conn.
func (c *delayedConn) Write(data []byte) (int, error) {
	copied := append([]byte(nil), data...)
	select {
	case c.out <- chunk{data: copied, due: time.Now().Add(c.delay())}:
		return len(data), nil
	case <-c.closed:
		return 0, io.ErrClosedPipe
	}
}

// Read implements net.Conn.
func (c *delayedConn) Read(data []byte) (int, error) {
	for len(c.rest) == 0 {
		if c.failed != nil {
			return 0, c.failed
		}
		select {
		case next := <-c.in:
			c.wait(next.due)
			c.rest, c.failed = next.data, next.err
		case <-c.closed:
			return 0, io.ErrClosedPipe
		}
	}
	n := copy(data, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Close implements net.Conn.
func (c *delayedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// SetDeadline implements net.Conn.
func (c *delayedConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (c *delayedConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (c *delayedConn) SetWriteDeadline(time.Time) error { return nil }

// trackedConn is a connection between failure domains, which can be cut.
type trackedConn struct {
	net.Conn
	network *Network
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// Network connects the nodes of a fleet through links that can be cut.
type Network struct {
	mu      sync.Mutex
	domains map[string]string // address to failure domain
	delay   func() time.Duration
	cut     map[string]bool
	conns   map[*trackedConn]string
}

// NewNetwork returns a Network whose links between failure domains have the
// drawn delay each way, or none when delay is nil.
func NewNetwork(delay func() time.Duration) *Network {
	return &Network{
		domains: map[string]string{}, delay: delay, cut: map[string]bool{}, conns: map[*trackedConn]string{},
	}
}

// SetFailureDomain puts an address into a failure domain.
func (n *Network) SetFailureDomain(address, domain string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.domains[address] = domain
}

// SetPartitioned cuts a failure domain off from all others, or heals the cut.
func (n *Network) SetPartitioned(domain string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[domain] = cut
	if !cut {
		return
	}
	for conn, link := range n.conns {
		from, to := splitLink(link)
		if from != to && (from == domain || to == domain) {
			_ = conn.Conn.Close()
			delete(n.conns, conn)
		}
	}
}

func splitLink(link string) (from, to string) {
	for i := range len(link) {
		if link[i] == '|' {
			return link[:i], link[i+1:]
		}
	}
	return link, ""
}

// Dialer returns how a node in the failure domain opens connections.
func (n *Network) Dialer(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: time.Second}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.domains[address]
		blocked := from != to && (n.cut[from] || n.cut[to])
		n.mu.Unlock()
		if blocked {
			bounded, cancel := context.WithTimeout(ctx, dialer.Timeout)
			defer cancel()
			<-bounded.Done()
			return nil, &net.OpError{Op: "dial", Net: network, Err: bounded.Err()}
		}
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil || from == to {
			return conn, err
		}
		if n.delay != nil {
			conn = Delay(conn, n.delay)
		}
		tracked := &trackedConn{Conn: conn, network: n}
		n.mu.Lock()
		n.conns[tracked] = from + "|" + to
		n.mu.Unlock()
		return tracked, nil
	}
}
