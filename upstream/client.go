package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/http1"
)

const (
	dialTimeout = time.Second
	// idleTimeout is short because a server that closes an idle connection while
	// a call is being written makes the outcome of that call unknown.
	idleTimeout            = 10 * time.Second
	maxResponseHeaderBytes = 64 << 10
)

// The request headers that this node sets for the backend server.
const (
	DepthHeader   = hop.HeaderPrefix + "Depth"
	TimeoutHeader = hop.HeaderPrefix + "Timeout"
	CallIDHeader  = hop.HeaderPrefix + "Call-Id"
)

// client sends calls to the backend server.
type client struct {
	address   string
	transport *http.Transport
}

func newClient(address string, connections int) *client {
	return &client{address: address, transport: &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    256,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
}

func (c *client) close() { c.transport.CloseIdleConnections() }

// serverConn is a connection to the backend server. It counts the bytes written until
// stopWrites, and Read fails at a response that is malformed.
type serverConn struct {
	net.Conn
	inspector http1.Inspector
	mu        sync.Mutex
	written   int64
	stopped   bool
}

// dial opens a serverConn for a transport.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &serverConn{Conn: http1.NewConn(conn)}, nil
}

// withConn returns a context with which a transport calls onConn before it sends a request
// on a serverConn. Each request needs one, so that its response is checked from its start.
func withConn(ctx context.Context, onConn func(conn *serverConn, reused bool)) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*serverConn); ok {
			conn.inspector.Begin()
			onConn(conn, info.Reused)
		}
	}})
}

// Read implements net.Conn.
func (c *serverConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	valid, malformed := c.inspector.Inspect(data[:n])
	if malformed != nil {
		return valid, malformed
	}
	return n, err
}

// Write implements net.Conn.
func (c *serverConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.stopped {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.written += int64(len(data))
	c.mu.Unlock()
	return c.Conn.Write(data)
}

func (c *serverConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// stopWrites makes later writes fail and returns the number of bytes written.
// Without it, net/http could still write a call after its RoundTrip returned an
// error.
func (c *serverConn) stopWrites() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	return c.written
}

// exchange is what became of a call.
type exchange struct {
	response *http.Response
	// sent means that a byte of the call was written, so that the backend server may
	// have run it.
	sent bool
	// reused means that the connection carried another call before, to which the
	// response may belong.
	reused bool
}

// roundTrip sends one call, and closes its connection after the response unless the
// connection is to be reused.
func (c *client) roundTrip(ctx context.Context, meta hop.Meta, request *http.Request, reuse bool) (exchange, error) {
	var conn *serverConn
	var before int64
	var e exchange
	ctx = withConn(ctx, func(used *serverConn, reused bool) {
		conn, before, e.reused = used, used.bytesWritten(), reused
	})
	outgoing := c.outgoing(ctx, meta, request)
	outgoing.Close = !reuse
	response, err := c.transport.RoundTrip(outgoing) //nolint:bodyclose // closed when the answer is written
	if err != nil {
		e.sent = conn != nil && conn.stopWrites() > before
		return e, err
	}
	e.response, e.sent = response, true
	return e, nil
}

// outgoing returns the request to the backend server.
func (c *client) outgoing(ctx context.Context, meta hop.Meta, request *http.Request) *http.Request {
	outgoing := request.Clone(ctx)
	outgoing.URL = &url.URL{
		Scheme: "http", Host: c.address, Path: request.URL.Path,
		RawPath: request.URL.RawPath, RawQuery: request.URL.RawQuery,
	}
	outgoing.RequestURI = ""
	hop.StripConnection(outgoing.Header)
	hop.StripInternal(outgoing.Header)
	outgoing.Header.Set(DepthHeader, strconv.Itoa(meta.Depth+1))
	outgoing.Header.Set(TimeoutHeader, meta.Remaining.String())
	outgoing.Header.Set(CallIDHeader, meta.ID)
	// The map is not copied, because net/http fills it when the body ends.
	outgoing.Trailer = request.Trailer
	outgoing.GetBody = nil
	if meta.Idempotent {
		return outgoing
	}
	// net/http may itself retry a request without a body, which could run the
	// call twice.
	body := request.Body
	if body == nil {
		body = http.NoBody
	}
	outgoing.Body = &opaqueBody{ReadCloser: body}
	return outgoing
}

// opaqueBody hides http.NoBody from net/http, which would retry the request.
type opaqueBody struct {
	io.ReadCloser
}

// isAbruptClose reports whether the server ended the connection; an error of a
// cancelled or expired call does not count.
func isAbruptClose(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// isConnectionRefused reports whether nothing listens at the upstream's address.
func isConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// callbackBody calls onEnd once: with true after the complete body was read, with
// false when it was closed or failed before that.
type callbackBody struct {
	io.ReadCloser
	once  sync.Once
	onEnd func(complete bool)
}

func newCallbackBody(body io.ReadCloser, onEnd func(complete bool)) *callbackBody {
	return &callbackBody{ReadCloser: body, onEnd: onEnd}
}

// Read implements io.Reader.
func (b *callbackBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err != nil {
		b.once.Do(func() { b.onEnd(err == io.EOF) })
	}
	return n, err
}

// Close implements io.Closer.
func (b *callbackBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.onEnd(false) })
	return err
}
