package standin

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// linkBuffer is the number of chunks that a link buffers in each direction.
const linkBuffer = 256

// chunk is data in transit, with the error that ended the read.
type chunk struct {
	data      []byte
	deliverAt time.Time
	err       error
}

// delayedConn delays writes and reads. It ignores deadlines.
type delayedConn struct {
	net.Conn
	delay     func() time.Duration
	out       chan chunk
	in        chan chunk
	unread    []byte
	readErr   error
	closed    chan struct{}
	closeOnce sync.Once
}

// Delay returns a connection that delivers each chunk of data, in either direction,
// after the time that delay returns for it.
func Delay(conn net.Conn, delay func() time.Duration) net.Conn {
	c := &delayedConn{
		Conn: conn, delay: delay, closed: make(chan struct{}),
		out: make(chan chunk, linkBuffer), in: make(chan chunk, linkBuffer),
	}
	go c.writeLoop()
	go c.readLoop()
	return c
}

// sleepUntil sleeps until t or until the connection is closed.
func (c *delayedConn) sleepUntil(t time.Time) {
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
			c.sleepUntil(next.deliverAt)
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
		case c.in <- chunk{data: buffer[:n], deliverAt: time.Now().Add(c.delay()), err: err}:
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
	case c.out <- chunk{data: copied, deliverAt: time.Now().Add(c.delay())}:
		return len(data), nil
	case <-c.closed:
		return 0, io.ErrClosedPipe
	}
}

// Read implements net.Conn.
func (c *delayedConn) Read(data []byte) (int, error) {
	for len(c.unread) == 0 {
		if c.readErr != nil {
			return 0, c.readErr
		}
		select {
		case next := <-c.in:
			c.sleepUntil(next.deliverAt)
			c.unread, c.readErr = next.data, next.err
		case <-c.closed:
			return 0, io.ErrClosedPipe
		}
	}
	n := copy(data, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Close implements net.Conn.
func (c *delayedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// SetDeadline implements net.Conn.
func (c *delayedConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (c *delayedConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (c *delayedConn) SetWriteDeadline(time.Time) error { return nil }

// trackedConn is a connection between failure domains, which a partition closes.
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

// Network connects the nodes of a fleet, and can partition failure domains.
type Network struct {
	mu          sync.Mutex
	domains     map[string]string // address to failure domain
	delay       func() time.Duration
	partitioned map[string]bool
	conns       map[*trackedConn]string
}

// NewNetwork returns a Network that delays data between failure domains by what
// delay returns, as Delay does, or not at all when delay is nil.
func NewNetwork(delay func() time.Duration) *Network {
	return &Network{
		domains: map[string]string{}, delay: delay, partitioned: map[string]bool{}, conns: map[*trackedConn]string{},
	}
}

// SetFailureDomain assigns an address to a failure domain.
func (n *Network) SetFailureDomain(address, domain string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.domains[address] = domain
}

// SetPartitioned partitions a failure domain from all others, which closes the
// connections between them, or ends the partition.
func (n *Network) SetPartitioned(domain string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[domain] = partitioned
	if !partitioned {
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

// splitLink splits a link's name, "FROM|TO", into its failure domains.
func splitLink(link string) (from, to string) {
	for i := range len(link) {
		if link[i] == '|' {
			return link[:i], link[i+1:]
		}
	}
	return link, ""
}

// Dialer returns the dial function of a node in the failure domain. A dial across a
// partition times out.
func (n *Network) Dialer(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: time.Second}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.domains[address]
		blocked := from != to && (n.partitioned[from] || n.partitioned[to])
		n.mu.Unlock()
		if blocked {
			dialCtx, cancel := context.WithTimeout(ctx, dialer.Timeout)
			defer cancel()
			<-dialCtx.Done()
			return nil, &net.OpError{Op: "dial", Net: network, Err: dialCtx.Err()}
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
