package http1

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// serverConn reads requests from one connection and keeps their answers in
// order.
type serverConn struct {
	server *Server
	conn   net.Conn
	head   *limitedReader
	br     *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc
	// last is closed when the previous request has been answered.
	last chan struct{}

	mu sync.Mutex
	// serving counts the requests that are not answered yet.
	serving int
	// reading tells that part of a request has arrived.
	reading bool
	// closing tells that no further request will be served.
	closing bool
	// freed is signalled when a request has been answered.
	freed chan struct{}
}

func newServerConn(s *Server, conn net.Conn) *serverConn {
	ctx, cancel := context.WithCancel(context.Background())
	head := &limitedReader{source: conn, left: unlimited}
	first := make(chan struct{})
	close(first)
	return &serverConn{
		server: s, conn: conn, head: head, br: bufio.NewReaderSize(head, connectionBuffer),
		ctx: ctx, cancel: cancel, last: first, freed: make(chan struct{}, 1),
	}
}

func (c *serverConn) run() {
	defer c.server.forget(c)
	defer c.cancel()
	defer func() { _ = c.conn.Close() }()
	limits := c.server.limits()
	for c.await(limits.IdleTimeout) {
		limits = c.server.limits()
		if !c.next(limits) {
			break
		}
	}
	c.settle()
}

// await waits for the first byte of a request. It returns false when the
// connection ends.
func (c *serverConn) await(idle time.Duration) bool {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return false
	}
	c.reading = false
	c.idleDeadline(idle)
	c.mu.Unlock()
	c.head.left = unlimited
	if _, err := c.br.Peek(1); err != nil {
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel()
		}
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.reading = true
	return true
}

// idleDeadline bounds the wait for a request while none is served; c.mu is
// held.
func (c *serverConn) idleDeadline(idle time.Duration) {
	deadline := time.Time{}
	if c.serving == 0 && idle > 0 {
		deadline = time.Now().Add(idle)
	}
	_ = c.conn.SetReadDeadline(deadline)
}

// next reads one request and starts to serve it.
func (c *serverConn) next(limits Limits) bool {
	if limits.HeaderTimeout > 0 {
		_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	}
	c.head.left = headAllowance(limits, c.br.Buffered())
	maxBody := limits.BodyBytes
	if maxBody <= 0 {
		maxBody = unlimited
	}
	r, err := readRequest(c.br, maxBody)
	if err != nil {
		c.reject(err)
		return false
	}
	c.head.left = unlimited
	_ = c.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	content, whole, err := r.Body.Buffer(bufferedBody)
	if err != nil {
		c.reject(err)
		return false
	}
	r.Content = content
	if !whole {
		r.Rest = r.Body
		_ = c.conn.SetReadDeadline(time.Time{})
	}
	return c.dispatch(r)
}

// headAllowance is what may still be read for a head of which some bytes are
// in the buffer already.
func headAllowance(limits Limits, buffered int) int64 {
	if limits.HeaderBytes <= 0 {
		return unlimited
	}
	return max(int64(limits.HeaderBytes)+connectionBuffer-int64(buffered), 1)
}

// dispatch serves a request on a goroutine of its own and tells whether another
// may be read.
func (c *serverConn) dispatch(r *Request) bool {
	final := !r.keep || c.server.isDraining()
	reply := c.reply(r.Method, final)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.server.handler.Serve(c.ctx, r, reply)
		if !reply.sent {
			reply.Abort()
		}
	}()
	if r.Rest != nil {
		<-done
		if !r.Rest.Complete() {
			return false
		}
	}
	if final {
		return false
	}
	for {
		c.mu.Lock()
		full := c.serving >= maxPipelined
		c.mu.Unlock()
		if !full {
			return true
		}
		<-c.freed
	}
}

// reply takes the next place in the order of answers.
func (c *serverConn) reply(method string, final bool) *Reply {
	turn, next := c.last, make(chan struct{})
	c.last = next
	c.server.count(1)
	c.mu.Lock()
	c.serving++
	c.closing = c.closing || final
	c.mu.Unlock()
	return &Reply{conn: c, method: method, turn: turn, next: next, final: final}
}

// reject answers a message that cannot be served; none of it was run.
func (c *serverConn) reject(err error) {
	status := http.StatusBadRequest
	switch {
	case KindOf(err) == KindHeaderTooLarge:
		status = http.StatusRequestHeaderFieldsTooLarge
	case KindOf(err) == KindBodyTooLarge:
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	case KindOf(err) != KindMalformed:
		// The caller has gone in the middle of a request.
		c.cancel()
		return
	}
	_ = c.reply(http.MethodGet, true).Send(status, http.Header{}, nil)
}

// settle waits for the answers that are due, and meanwhile for the caller to
// leave.
func (c *serverConn) settle() {
	_ = c.conn.SetReadDeadline(time.Time{})
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		var scratch [512]byte
		for {
			if _, err := c.br.Read(scratch[:]); err != nil {
				if !errors.Is(err, os.ErrDeadlineExceeded) {
					c.cancel()
				}
				return
			}
		}
	}()
	<-c.last
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok && c.ctx.Err() == nil {
		_ = half.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	<-gone
}

// finished records that a request was answered.
func (c *serverConn) finished(idle time.Duration) {
	c.server.count(-1)
	c.mu.Lock()
	c.serving--
	if c.serving == 0 && !c.reading && !c.closing {
		c.idleDeadline(idle)
	}
	closing := c.closing && !c.reading && c.serving == 0
	c.mu.Unlock()
	if closing {
		// Wakes the reader, which waits for a request that will not be served.
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
	select {
	case c.freed <- struct{}{}:
	default:
	}
}

// announceClose tells whether the answer about to be written is the last one.
func (c *serverConn) announceClose(final bool) bool {
	if final {
		return true
	}
	if !c.server.isDraining() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serving == 1 && !c.reading {
		c.closing = true
		return true
	}
	return false
}

// retire closes the connection if nothing is served and nothing has arrived.
func (c *serverConn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serving == 0 && !c.reading {
		c.closing = true
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}
