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
	server  *Server
	conn    net.Conn
	limited *limitedReader
	br      *bufio.Reader
	ctx     context.Context
	cancel  context.CancelFunc
	// lastDone is closed when the previous request has been answered.
	lastDone chan struct{}

	mu sync.Mutex
	// inFlight counts the requests that are not answered yet.
	inFlight int
	// readingRequest tells that part of a request has arrived.
	readingRequest bool
	// closing tells that no further request will be served.
	closing bool
	// slotFreed is signalled when a request has been answered.
	slotFreed chan struct{}
}

func newServerConn(s *Server, conn net.Conn) *serverConn {
	ctx, cancel := context.WithCancel(context.Background())
	head := &limitedReader{source: conn, remaining: unlimited}
	first := make(chan struct{})
	close(first)
	return &serverConn{
		server: s, conn: conn, limited: head, br: bufio.NewReaderSize(head, readBufferSize),
		ctx: ctx, cancel: cancel, lastDone: first, slotFreed: make(chan struct{}, 1),
	}
}

func (c *serverConn) run() {
	defer c.server.removeConn(c)
	defer c.cancel()
	defer func() { _ = c.conn.Close() }()
	limits := c.server.limits()
	for c.awaitRequest(limits.IdleTimeout) {
		limits = c.server.limits()
		if !c.serveNext(limits) {
			break
		}
	}
	c.finishResponses()
}

// awaitRequest waits for the first byte of a request. It returns false when the
// connection ends.
func (c *serverConn) awaitRequest(idle time.Duration) bool {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return false
	}
	c.readingRequest = false
	c.setIdleDeadline(idle)
	c.mu.Unlock()
	c.limited.remaining = unlimited
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
	c.readingRequest = true
	return true
}

// setIdleDeadline bounds the wait for a request while none is served; c.mu is
// held.
func (c *serverConn) setIdleDeadline(idle time.Duration) {
	deadline := time.Time{}
	if c.inFlight == 0 && idle > 0 {
		deadline = time.Now().Add(idle)
	}
	_ = c.conn.SetReadDeadline(deadline)
}

// serveNext reads one request and starts to serve it.
func (c *serverConn) serveNext(limits Limits) bool {
	if limits.HeaderTimeout > 0 {
		_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	}
	c.limited.remaining = headLimit(limits, c.br.Buffered())
	maxBody := limits.BodyBytes
	if maxBody <= 0 {
		maxBody = unlimited
	}
	r, err := readRequest(c.br, maxBody)
	if err != nil {
		c.reject(err)
		return false
	}
	c.limited.remaining = unlimited
	_ = c.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	content, whole, err := r.Body.Buffer(maxBufferedBody)
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

// headLimit is what may still be read for a head of which some bytes are
// in the buffer already.
func headLimit(limits Limits, buffered int) int64 {
	if limits.HeaderBytes <= 0 {
		return unlimited
	}
	return max(int64(limits.HeaderBytes)+readBufferSize-int64(buffered), 1)
}

// dispatch serves a request on a goroutine of its own and tells whether another
// may be read.
func (c *serverConn) dispatch(r *Request) bool {
	final := !r.keepAlive || c.server.isDraining()
	reply := c.newReply(r.Method, final)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.server.handler.Serve(c.ctx, r, reply)
		if !reply.answered {
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
		full := c.inFlight >= maxPipelined
		c.mu.Unlock()
		if !full {
			return true
		}
		<-c.slotFreed
	}
}

// newReply takes the next place in the order of answers.
func (c *serverConn) newReply(method string, final bool) *Reply {
	turn, next := c.lastDone, make(chan struct{})
	c.lastDone = next
	c.server.addActive(1)
	c.mu.Lock()
	c.inFlight++
	c.closing = c.closing || final
	c.mu.Unlock()
	return &Reply{conn: c, method: method, previousDone: turn, done: next, final: final}
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
	_ = c.newReply(http.MethodGet, true).Send(status, http.Header{}, nil)
}

// finishResponses waits for the answers that are due, and meanwhile for the caller to
// leave.
func (c *serverConn) finishResponses() {
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
	<-c.lastDone
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok && c.ctx.Err() == nil {
		_ = half.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	<-gone
}

// requestDone records that a request was answered.
func (c *serverConn) requestDone(idle time.Duration) {
	c.server.addActive(-1)
	c.mu.Lock()
	c.inFlight--
	if c.inFlight == 0 && !c.readingRequest && !c.closing {
		c.setIdleDeadline(idle)
	}
	closing := c.closing && !c.readingRequest && c.inFlight == 0
	c.mu.Unlock()
	if closing {
		// Wakes the reader, which waits for a request that will not be served.
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
	select {
	case c.slotFreed <- struct{}{}:
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
	if c.inFlight == 1 && !c.readingRequest {
		c.closing = true
		return true
	}
	return false
}

// closeIfIdle closes the connection if nothing is served and nothing has arrived.
func (c *serverConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight == 0 && !c.readingRequest {
		c.closing = true
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}
