package standin

import (
	"bytes"
	"math/rand/v2"
	"net"
	"net/http"
)

const (
	// maxRepeatedBytes is the length of the longest response that is written again.
	maxRepeatedBytes = 64 << 10
	// maxRepeatDelay is the maximum number of further responses before a copy.
	maxRepeatDelay = 4
	// twiceShare and lateShare are the shares of the repeated responses that are written
	// again twice, and only after further responses.
	twiceShare, lateShare = 0.25, 0.4
)

// SetRejectShare sets the share of calls that are rejected with status 503 and do not
// run.
func (b *Backend) SetRejectShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rejectShare = share
}

// SetRepeatShare sets the share of responses, to calls and health checks, that are
// written again before a later response on the same connection.
func (b *Backend) SetRepeatShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.repeatShare = share
}

// SetBreakShare sets the share of those copies that break off after some of their bytes.
func (b *Backend) SetBreakShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.breakShare = share
}

// drawLength returns how much is written of copies of a length, in bytes.
func (b *Backend) drawLength(length int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.breakShare == 0 || rand.Float64() >= b.breakShare {
		return length
	}
	return 1 + rand.IntN(length)
}

// drawRepeat returns the number of copies of a response, and the number of responses
// between it and them.
func (b *Backend) drawRepeat() (copies, delay int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.repeatShare == 0 || rand.Float64() >= b.repeatShare {
		return 0, 0
	}
	copies = 1
	if rand.Float64() < twiceShare {
		copies = 2
	}
	if rand.Float64() < lateShare {
		delay = 1 + rand.IntN(maxRepeatDelay)
	}
	return copies, delay
}

// repeatListener accepts the connections of a Backend as repeatConn.
type repeatListener struct {
	net.Listener
	backend *Backend
}

func (l repeatListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &repeatConn{Conn: conn, backend: l.backend}, nil
}

// repeat is the copies of a response that are still to be written.
type repeat struct {
	copies []byte
	delay  int
}

// repeatConn writes some responses again. Only the goroutine that serves the connection
// writes to it and reports the end of a response.
type repeatConn struct {
	net.Conn
	backend *Backend
	// response is what was written of the current response.
	response []byte
	repeats  []repeat
}

// Write writes a part of a response, and before its first part the copies that are due.
func (c *repeatConn) Write(data []byte) (int, error) {
	if len(c.response) == 0 {
		if err := c.writeCopies(); err != nil {
			return 0, err
		}
	}
	if len(c.response) <= maxRepeatedBytes {
		c.response = append(c.response, data...)
	}
	return c.Conn.Write(data)
}

func (c *repeatConn) writeCopies() error {
	var left []repeat
	for _, r := range c.repeats {
		if r.delay > 0 {
			left = append(left, repeat{copies: r.copies, delay: r.delay - 1})
		} else if _, err := c.Conn.Write(r.copies); err != nil {
			return err
		}
	}
	c.repeats = left
	return nil
}

// endResponse draws whether the response that was written is written again.
func (c *repeatConn) endResponse() {
	if n := len(c.response); n > 0 && n <= maxRepeatedBytes {
		if copies, delay := c.backend.drawRepeat(); copies > 0 {
			repeated := bytes.Repeat(c.response, copies)
			c.repeats = append(c.repeats, repeat{copies: repeated[:c.backend.drawLength(len(repeated))], delay: delay})
		}
	}
	c.response = c.response[:0]
}

// connState implements the ConnState hook of http.Server, which reports a connection as
// idle after each response.
func connState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*repeatConn); ok && state == http.StateIdle {
		c.endResponse()
	}
}
