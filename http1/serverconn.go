package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// serverConn reads requests from one connection and sends their responses in
// order.
type serverConn struct {
	server  *Server
	conn    net.Conn
	limited *limitedReader
	br      *bufio.Reader
	ctx     context.Context
	cancel  context.CancelFunc
	// lastDone is closed when the response to the latest request has been sent.
	lastDone chan struct{}

	mu sync.Mutex
	// inFlight counts the requests without a complete response.
	inFlight int
	// readingRequest means that part of a request has been received.
	readingRequest bool
	// closing means that no further request is served.
	closing bool
	// lingering means that finishResponses reads the connection, with deadlines of its own.
	lingering bool
	// slotFreed receives a value when a response has been sent.
	slotFreed chan struct{}
}

func newServerConn(s *Server, conn net.Conn) *serverConn {
	ctx, cancel := context.WithCancel(context.Background())
	limited := &limitedReader{source: conn, remaining: unlimited}
	first := make(chan struct{})
	close(first)
	return &serverConn{
		server: s, conn: conn, limited: limited, br: bufio.NewReaderSize(limited, readBufferSize),
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

// awaitRequest waits for the first byte of a request. It returns false if there
// will be none.
func (c *serverConn) awaitRequest(idleTimeout time.Duration) bool {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return false
	}
	c.readingRequest = false
	c.setIdleDeadline(idleTimeout)
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

// setIdleDeadline sets the read deadline to the idle timeout if no request is in
// flight, and removes it otherwise; c.mu is held.
func (c *serverConn) setIdleDeadline(idleTimeout time.Duration) {
	deadline := time.Time{}
	if c.inFlight == 0 && idleTimeout > 0 {
		deadline = time.Now().Add(idleTimeout)
	}
	_ = c.conn.SetReadDeadline(deadline)
}

// serveNext reads one request and starts to serve it. It reports whether another one
// may be read.
func (c *serverConn) serveNext(limits Limits) bool {
	if limits.HeaderTimeout > 0 {
		_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	}
	c.limited.remaining = headLimit(limits, c.br.Buffered())
	maxBody := limits.BodyBytes
	if maxBody <= 0 {
		maxBody = unlimited
	}
	r, err := readRequest(c.br, c.limited, maxBody)
	if err != nil {
		c.reject(err)
		return false
	}
	c.limited.remaining = unlimited
	_ = c.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	if r.awaitsContinue() && c.br.Buffered() == 0 {
		c.sendContinue()
	}
	content, complete, err := r.Body.Buffer(maxBufferedBody)
	if err != nil {
		c.reject(err)
		return false
	}
	r.Content = content
	if !complete {
		return c.dispatchStreamed(r)
	}
	final, _ := c.dispatch(r)
	return !final && c.awaitSlot()
}

// sendContinue lets the caller send the body of its request. It does so once the earlier
// responses have been sent, before that to the request.
func (c *serverConn) sendContinue() {
	previousDone, done := c.lastDone, make(chan struct{})
	c.lastDone = done
	go func() {
		defer close(done)
		<-previousDone
		_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		// If it fails, so does the response to the request.
		_, _ = io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}()
}

// dispatchStreamed serves a request whose body is passed on while it is received, and
// returns at the end of the body. What the handler has not read is received and discarded,
// so that the next request can follow. The connection is read on before the request is
// answered, so that a caller that leaves is noticed.
func (c *serverConn) dispatchStreamed(r *Request) bool {
	_ = c.conn.SetReadDeadline(time.Time{})
	rest, w := io.Pipe()
	r.Rest = rest
	final, done := c.dispatch(r)
	received, closed := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(closed)
		select {
		case <-done:
			_ = rest.CloseWithError(errAnswered)
			_ = c.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
		case <-received:
		}
	}()
	err := pump(r.Body, w)
	if connectionEnded(err) {
		// The caller closed the connection in the middle of the body, or sends no more of
		// it after the answer.
		c.cancel()
	}
	close(received)
	<-closed
	return err == nil && !final && c.awaitSlot()
}

// pump copies a body to w until it ends, and returns why it could not be read to its
// end. Once the other end of w is closed, it discards the rest of the body.
func pump(body *Body, w *io.PipeWriter) error {
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			// The other end is closed when the request is answered.
			_, _ = w.Write(buffer[:n])
		}
		switch err {
		case nil:
		case io.EOF:
			return w.Close()
		default:
			_ = w.CloseWithError(err)
			return err
		}
	}
}

// headLimit returns how many bytes may be read from the connection for a head of
// which buffered bytes are in the read buffer already. It adds the size of that
// buffer, since a read may fetch bytes beyond the head.
func headLimit(limits Limits, buffered int) int64 {
	if limits.HeaderBytes <= 0 {
		return unlimited
	}
	return max(int64(limits.HeaderBytes)+readBufferSize-int64(buffered), 1)
}

// dispatch serves a request on its own goroutine, which closes done at its end, and
// reports whether the request is the last one on the connection.
func (c *serverConn) dispatch(r *Request) (final bool, done <-chan struct{}) {
	final = !r.keepAlive || c.server.isDraining()
	reply := c.newReply(r.Method, final)
	reply.untilClose = !r.chunks
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.server.handler.Serve(c.ctx, r, reply)
		if !reply.answered {
			reply.Abort()
		}
	}()
	return final, ended
}

// awaitSlot waits while maxPipelined requests are in flight, and then reports true.
func (c *serverConn) awaitSlot() bool {
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

// newReply returns the Reply for the next response on the connection.
func (c *serverConn) newReply(method string, final bool) *Reply {
	previousDone, done := c.lastDone, make(chan struct{})
	c.lastDone = done
	c.server.addActive(1)
	c.mu.Lock()
	c.inFlight++
	c.closing = c.closing || final
	c.mu.Unlock()
	return &Reply{conn: c, method: method, previousDone: previousDone, done: done, final: final}
}

// reject answers a request that is malformed, exceeds a limit or was not received in
// time. No handler has seen it.
func (c *serverConn) reject(err error) {
	status := http.StatusBadRequest
	switch {
	case KindOf(err) == KindHeaderTooLarge:
		status = http.StatusRequestHeaderFieldsTooLarge
	case KindOf(err) == KindBodyTooLarge:
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	case connectionEnded(err):
		// The caller closed the connection in the middle of a request.
		c.cancel()
		return
	}
	_ = c.newReply(http.MethodGet, true).Send(status, http.Header{}, nil)
}

// connectionEnded reports whether err means that no more can be received, and not that a
// request is malformed or exceeds a limit.
func connectionEnded(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network)
}

// finishResponses waits until all responses are sent, then closes the write side and
// waits for the caller to close the connection or lingerTimeout. If the caller closes
// it earlier, the requests in flight are cancelled.
func (c *serverConn) finishResponses() {
	c.mu.Lock()
	c.lingering = true
	_ = c.conn.SetReadDeadline(time.Time{})
	c.mu.Unlock()
	// A head over the limit has left nothing.
	c.limited.remaining = unlimited
	readDone := make(chan struct{})
	go func() {
		defer close(readDone)
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
	<-readDone
}

// requestDone records the end of a response.
func (c *serverConn) requestDone(idleTimeout time.Duration) {
	c.server.addActive(-1)
	c.mu.Lock()
	c.inFlight--
	switch {
	case c.inFlight > 0 || c.readingRequest || c.lingering:
	case c.closing:
		// Wakes awaitRequest: a further request would not be served.
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	default:
		c.setIdleDeadline(idleTimeout)
	}
	c.mu.Unlock()
	select {
	case c.slotFreed <- struct{}{}:
	default:
	}
}

// announceClose reports whether the response about to be sent is the last one on the
// connection, which then gets a Connection: close header.
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

// setLinger sets how long a close waits for unsent data: 0 makes it a reset, and -1 is the
// default.
func (c *serverConn) setLinger(seconds int) {
	if socket, ok := c.conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(seconds)
	}
}

// closeIfIdle closes the connection if no request is in flight or partly received.
func (c *serverConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight == 0 && !c.readingRequest && !c.lingering {
		c.closing = true
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}
