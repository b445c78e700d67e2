package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// readBufferSize is the read buffer of a connection, in bytes.
	readBufferSize = 4 << 10
	// maxResponseHead bounds the head of a response and the interim responses before it,
	// in bytes.
	maxResponseHead = 64 << 10
	// maxStaleResponses is how many responses to earlier requests are discarded
	// before a connection is closed.
	maxStaleResponses = 2
	// maxInlineBody is the largest body, in bytes, that is written before the
	// response is read: the socket buffers hold it.
	maxInlineBody = 16 << 10
)

// OutgoingRequest is a request that a Pool sends.
type OutgoingRequest struct {
	Method string
	Target string
	Host   string
	Header http.Header
	// Body is sent with its Content-Length, or, if there is a Rest, in chunks with
	// Rest after it.
	Body []byte
	Rest io.Reader
	// ID is the same whenever the request is sent again, "" if nothing identifies it. No
	// connection carries two requests with the same ID: a late copy of the response to the
	// first could not be told from the response to the second.
	ID string
	// Accept reports whether a response belongs to this request; others are
	// discarded. A nil Accept accepts every response.
	Accept func(*Response) bool
}

// Dial opens a connection.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Clock provides the time.
type Clock interface {
	Now() time.Time
}

// Pool sends requests to one address over persistent connections; it is safe for
// concurrent use.
type Pool struct {
	address     string
	dial        Dial
	clock       Clock
	idleTimeout time.Duration
	observer    func(Surplus)
	usage       *Usage
	// surplusReads holds a token for each connection whose unread bytes are being read.
	surplusReads chan struct{}

	mu      sync.Mutex
	idle    []*clientConn
	maxIdle int
	closed  bool
	opened  uint64
}

// PoolOption configures a Pool.
type PoolOption func(*Pool)

// NewPool returns a Pool that keeps idle connections for idleTimeout.
func NewPool(address string, dial Dial, clock Clock, idleTimeout time.Duration, options ...PoolOption) *Pool {
	p := &Pool{
		address: address, dial: dial, clock: clock, idleTimeout: idleTimeout, usage: &Usage{},
		surplusReads: make(chan struct{}, maxSurplusReads),
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// SetIdleTimeout sets how long idle connections are kept.
func (p *Pool) SetIdleTimeout(idleTimeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleTimeout = idleTimeout
}

// SetMaxIdle sets how many idle connections are kept, 0 for any number.
func (p *Pool) SetMaxIdle(maxIdle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle = maxIdle
}

// Opened returns how many connections the pool has opened.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Close closes the idle connections, and those in use once they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// clientConn is one connection to a server.
type clientConn struct {
	pool *Pool
	// number is the position of the connection in the order of opening.
	number uint64
	// exchanges counts the requests sent.
	exchanges uint64
	conn      *Conn
	limited   *limitedReader
	br        *bufio.Reader
	idleSince time.Time
	carried   carriedIDs
	// stopCancel keeps the end of the request's context from closing the
	// connection, and returns false if it already has.
	stopCancel func() bool
	// sendResult receives the result of sending the request.
	sendResult chan error
	// bodyCut means that the rest of the request's body could not be read.
	bodyCut atomic.Bool
}

func (c *clientConn) close() { _ = c.conn.Close() }

// takeIdle removes the connection that was released last from the idle ones and
// returns it, nil if none is left that has not carried a request with the ID. Expired
// ones and those that are not reusable are closed.
func (p *Pool) takeIdle(id string) *clientConn {
	for {
		c, expired := p.removeIdle(id)
		if c == nil {
			return nil
		}
		open, unread := reusable(c.conn.NetConn())
		unread = unread || c.br.Buffered() > 0
		switch {
		case unread:
			c.closeUnread()
		case expired || !open:
			c.close()
		default:
			return c
		}
	}
}

// removeIdle removes from the idle connections the one that was released last among
// those that have not carried a request with the ID, and reports whether it has expired.
func (p *Pool) removeIdle(id string) (c *clientConn, expired bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.idle) {
		if !c.carried.contains(id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c, p.clock.Now().Sub(c.idleSince) > p.idleTimeout
		}
	}
	return nil, false
}

// putIdle adds a connection to the idle ones, and closes the oldest if it has
// expired or there are more than maxIdle.
func (p *Pool) putIdle(c *clientConn) {
	c.idleSince = p.clock.Now()
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		c.close()
		return
	}
	p.idle = append(p.idle, c)
	var dropped *clientConn
	// Idle connections are in the order of their release.
	if oldest := p.idle[0]; c.idleSince.Sub(oldest.idleSince) > p.idleTimeout || (p.maxIdle > 0 && len(p.idle) > p.maxIdle) {
		dropped = oldest
		p.idle = p.idle[1:]
	}
	p.mu.Unlock()
	if dropped != nil {
		dropped.close()
	}
}

func (p *Pool) connect(ctx context.Context) (*clientConn, error) {
	conn, err := p.dial(ctx, p.address)
	if err != nil {
		return nil, newError("dial", KindNotSent, err)
	}
	p.mu.Lock()
	p.opened++
	number := p.opened
	p.mu.Unlock()
	checked := NewConn(conn)
	limited := &limitedReader{source: checked, remaining: unlimited}
	return &clientConn{pool: p, number: number, conn: checked, limited: limited, br: bufio.NewReaderSize(limited, readBufferSize)}, nil
}

// Do sends a request once and returns the response, whose Release must be called.
// An error of KindNotSent means that no part of the request was sent.
func (p *Pool) Do(ctx context.Context, out *OutgoingRequest) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, newError("send", KindNotSent, err)
	}
	c := p.takeIdle(out.ID)
	if c == nil {
		var err error
		if c, err = p.connect(ctx); err != nil {
			return nil, err
		}
	}
	p.usage.inUse.Add(1)
	c.carried.add(out.ID)
	c.stopCancel = context.AfterFunc(ctx, c.close)
	response, err := c.exchange(out)
	if err != nil {
		p.usage.inUse.Add(-1)
		c.stopCancel()
		c.close()
		kind := KindNoAnswer
		if c.bodyCut.Load() {
			kind = KindBodyCut
		}
		return nil, newError("exchange", kind, err)
	}
	response.conn = c
	return response, nil
}

func (c *clientConn) exchange(out *OutgoingRequest) (*Response, error) {
	c.exchanges++
	c.sendResult = make(chan error, 1)
	head := c.encode(out)
	if out.Rest == nil && len(out.Body) <= maxInlineBody {
		_, err := c.conn.Write(append(head, out.Body...))
		if err != nil {
			return nil, err
		}
		c.sendResult <- nil
	} else {
		go func() { c.sendResult <- c.send(head, out) }()
	}
	c.limited.remaining = maxResponseHead
	for stale := 0; ; {
		response, err := readResponse(c.br, c.limited, out.Method)
		if err != nil {
			return nil, err
		}
		if response.Status < 200 {
			continue
		}
		c.limited.remaining = unlimited
		response.connection, response.exchange = c.number, c.exchanges
		if out.Accept == nil || out.Accept(response) {
			return response, nil
		}
		c.observe(response, out)
		stale++
		if stale > maxStaleResponses {
			return nil, eris.New("the responses belong to other requests")
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
		if !response.keepAlive {
			return nil, eris.New("connection closed after the response to another request")
		}
		c.limited.remaining = maxResponseHead
	}
}

func (c *clientConn) encode(out *OutgoingRequest) []byte {
	buffer := make([]byte, 0, 512+len(out.Body))
	buffer = append(buffer, out.Method...)
	buffer = append(buffer, ' ')
	buffer = append(buffer, out.Target...)
	buffer = append(buffer, " HTTP/1.1\r\n"...)
	buffer = appendField(buffer, "Host", out.Host)
	buffer = appendHeader(buffer, out.Header)
	switch {
	case out.Rest != nil:
		buffer = appendField(buffer, "Transfer-Encoding", "chunked")
	case len(out.Body) > 0 || (out.Method != http.MethodGet && out.Method != http.MethodHead):
		buffer = appendField(buffer, "Content-Length", strconv.Itoa(len(out.Body)))
	}
	return append(buffer, "\r\n"...)
}

// send writes a request with a long body, concurrently with reading the response.
func (c *clientConn) send(head []byte, out *OutgoingRequest) error {
	if out.Rest == nil {
		_, err := c.conn.Write(append(head, out.Body...))
		return err
	}
	if _, err := c.conn.Write(head); err != nil {
		return err
	}
	if err := writeChunk(c.conn, out.Body); err != nil {
		return err
	}
	rest := &restReader{source: out.Rest}
	if err := copyChunked(c.conn, rest); err != nil {
		c.bodyCut.Store(rest.failed)
		c.close() // the server must not take the truncated body for complete
		return err
	}
	return nil
}

// restReader tells whether the rest of a body could not be read.
type restReader struct {
	source io.Reader
	failed bool
}

// Read implements io.Reader.
func (r *restReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.failed = err != nil && err != io.EOF
	return n, err
}

// Release returns the connection to the pool if the response was read to its end
// and the connection can be reused, and closes it otherwise.
func (r *Response) Release() {
	c := r.conn
	if c == nil {
		return
	}
	r.conn = nil
	c.pool.usage.inUse.Add(-1)
	cancelled := !c.stopCancel()
	var sendErr error
	select {
	case sendErr = <-c.sendResult:
	default:
		sendErr = errEarlyResponse
	}
	if cancelled || sendErr != nil || !r.keepAlive || !r.Body.Complete() || c.carried.full() {
		c.close()
		return
	}
	c.pool.putIdle(c)
}
