package http1

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a client's connection whose Read returns io.EOF only if the server has closed
// it. The kernel reports a reset once: if a Write gets it, a plain connection ends for the
// reader as if it had been closed, and a body without a length looks complete.
type Conn struct {
	net.Conn
	// writing is held during a Write.
	writing  sync.Mutex
	writeErr error
}

// NewConn returns a Conn that reads from and writes to conn.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn. It fails once Read has returned io.EOF.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		// Read set the deadline.
		err = syscall.EPIPE
	case err != nil && c.writeErr == nil:
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.endOfStream()
	}
	return n, err
}

// endOfStream returns the error with which a Write found the connection broken, io.EOF if
// none did.
func (c *Conn) endOfStream() error {
	// A Write that waits for the server to read ends at once.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	// After the server has closed the connection, its resets are EPIPE.
	if c.writeErr == nil || errors.Is(c.writeErr, syscall.EPIPE) || errors.Is(c.writeErr, net.ErrClosed) {
		return io.EOF
	}
	return c.writeErr
}
