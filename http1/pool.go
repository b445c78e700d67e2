package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// connectionBuffer is the read buffer of a connection, in bytes.
	connectionBuffer = 4 << 10
	// maxResponseHead bounds the head of an answer, in bytes.
	maxResponseHead = 64 << 10
	// maxStray is how many answers to earlier requests are dropped before a
	// connection is given up.
	maxStray = 2
	// directBody is the largest body that is written before the answer is
	// read: the socket's buffers hold it.
	directBody = 16 << 10
)

// OutgoingRequest is a request to send.
type OutgoingRequest struct {
	Method string
	Target string
	Host   string
	Header http.Header
	// Body is sent whole with its length; Rest, if any, follows it in chunks.
	Body []byte
	Rest io.Reader
	// Accept tells whether an answer belongs to this request. An answer that
	// is not accepted is dropped.
	Accept func(*Response) bool
}

// Dial opens a connection.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Clock tells the time.
type Clock interface {
	Now() time.Time
}

// Pool sends requests to one address over connections that it keeps; it is safe
// for concurrent use.
type Pool struct {
	address string
	dial    Dial
	clock   Clock
	idleFor time.Duration

	mu     sync.Mutex
	idle   []*clientConn
	closed bool
	opened uint64
}

// NewPool returns a Pool that keeps unused connections for idleFor.
func NewPool(address string, dial Dial, clock Clock, idleFor time.Duration) *Pool {
	return &Pool{address: address, dial: dial, clock: clock, idleFor: idleFor}
}

// SetIdleTimeout changes how long unused connections are kept.
func (p *Pool) SetIdleTimeout(idleFor time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleFor = idleFor
}

// Opened returns how many connections were opened.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Close closes the idle connections and those that come back.
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
	pool  *Pool
	conn  net.Conn
	head  *limitedReader
	br    *bufio.Reader
	since time.Time
	stop  func() bool
	sent  chan error
}

func (c *clientConn) close() { _ = c.conn.Close() }

// take returns an idle connection on which nothing has arrived, or nil.
func (p *Pool) take() *clientConn {
	for {
		p.mu.Lock()
		last := len(p.idle) - 1
		if last < 0 {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[last]
		p.idle = p.idle[:last]
		expired := p.clock.Now().Sub(c.since) > p.idleFor
		p.mu.Unlock()
		if !expired && c.br.Buffered() == 0 && quiet(c.conn) {
			return c
		}
		c.close()
	}
}

func (p *Pool) put(c *clientConn) {
	c.since = p.clock.Now()
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		c.close()
		return
	}
	p.idle = append(p.idle, c)
	var expired *clientConn
	// The oldest connection is the first one.
	if oldest := p.idle[0]; c.since.Sub(oldest.since) > p.idleFor {
		expired = oldest
		p.idle = p.idle[1:]
	}
	p.mu.Unlock()
	if expired != nil {
		expired.close()
	}
}

func (p *Pool) connect(ctx context.Context) (*clientConn, error) {
	conn, err := p.dial(ctx, p.address)
	if err != nil {
		return nil, newError("dial", KindNotSent, err)
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	head := &limitedReader{source: conn, left: unlimited}
	return &clientConn{pool: p, conn: conn, head: head, br: bufio.NewReaderSize(head, connectionBuffer)}, nil
}

// Do sends a request once and returns its answer, whose Release must be called.
// An error of KindNotSent tells that nothing was sent.
func (p *Pool) Do(ctx context.Context, out *OutgoingRequest) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, newError("send", KindNotSent, err)
	}
	c := p.take()
	if c == nil {
		var err error
		if c, err = p.connect(ctx); err != nil {
			return nil, err
		}
	}
	c.stop = context.AfterFunc(ctx, c.close)
	response, err := c.exchange(out)
	if err != nil {
		c.stop()
		c.close()
		return nil, newError("exchange", KindNoAnswer, err)
	}
	response.conn = c
	return response, nil
}

func (c *clientConn) exchange(out *OutgoingRequest) (*Response, error) {
	c.sent = make(chan error, 1)
	head := c.encode(out)
	if out.Rest == nil && len(out.Body) <= directBody {
		_, err := c.conn.Write(append(head, out.Body...))
		if err != nil {
			return nil, err
		}
		c.sent <- nil
	} else {
		go func() { c.sent <- c.send(head, out) }()
	}
	for stray := 0; ; {
		c.head.left = maxResponseHead
		response, err := readResponse(c.br, out.Method)
		if err != nil {
			return nil, err
		}
		c.head.left = unlimited
		if response.Status < 200 {
			continue
		}
		if out.Accept == nil || out.Accept(response) {
			return response, nil
		}
		stray++
		if stray > maxStray {
			return nil, eris.New("the answers belong to other requests")
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
		if !response.keep {
			return nil, eris.New("closed behind the answer to another request")
		}
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

// send writes a request with a long body while the answer is awaited.
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
	if err := copyChunks(c.conn, out.Rest); err != nil {
		c.close() // the server must not take what was sent for the whole
		return err
	}
	return nil
}

// Release gives the connection back if the answer was read to its end, and
// closes it otherwise.
func (r *Response) Release() {
	c := r.conn
	if c == nil {
		return
	}
	r.conn = nil
	cancelled := !c.stop()
	var sendErr error
	select {
	case sendErr = <-c.sent:
	default:
		sendErr = errAnsweredEarly
	}
	if cancelled || sendErr != nil || !r.keep || !r.Body.Complete() {
		c.close()
		return
	}
	c.pool.put(c)
}
