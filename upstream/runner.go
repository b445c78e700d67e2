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
)

const (
	dialTimeout = time.Second
	// idleTimeout is short, since a server that closes an idle connection
	// while a call is written makes that call's outcome unknown.
	idleTimeout           = 10 * time.Second
	maxResponseHeaderSize = 64 << 10
)

// The headers that tell a backend server about a call.
const (
	DepthHeader   = hop.HeaderPrefix + "Depth"
	TimeoutHeader = hop.HeaderPrefix + "Timeout"
	CallIDHeader  = hop.HeaderPrefix + "Call-Id"
)

// runner sends calls to the backend server.
type runner struct {
	address   string
	transport *http.Transport
}

func newRunner(address string, connections int) *runner {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &runner{address: address, transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    256,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderSize,
	}}
}

func (r *runner) close() { r.transport.CloseIdleConnections() }

// countingConn counts the bytes handed to the kernel until it is sealed.
type countingConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write implements net.Conn.
func (c *countingConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.written += int64(len(data))
	c.mu.Unlock()
	return c.Conn.Write(data)
}

func (c *countingConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal lets no more bytes through and returns how many were. Without it,
// net/http could write a call after its round trip was given up.
func (c *countingConn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// roundTrip runs one call. sent tells whether any byte of it was written, and
// so whether the backend server may have run it.
func (r *runner) roundTrip(ctx context.Context, meta hop.Meta, request *http.Request) (response *http.Response, sent bool, err error) {
	var conn *countingConn
	var before int64
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, _ = info.Conn.(*countingConn)
		if conn != nil {
			before = conn.count()
		}
	}}
	outgoing := r.outgoing(httptrace.WithClientTrace(ctx, trace), meta, request)
	response, err = r.transport.RoundTrip(outgoing)
	if err == nil {
		return response, true, nil
	}
	sent = conn != nil && conn.seal() > before
	return nil, sent, err
}

func (r *runner) outgoing(ctx context.Context, meta hop.Meta, request *http.Request) *http.Request {
	outgoing := request.Clone(ctx)
	outgoing.URL = &url.URL{
		Scheme: "http", Host: r.address, Path: request.URL.Path,
		RawPath: request.URL.RawPath, RawQuery: request.URL.RawQuery,
	}
	outgoing.RequestURI = ""
	hop.StripConnection(outgoing.Header)
	hop.StripInternal(outgoing.Header)
	outgoing.Header.Set(DepthHeader, strconv.Itoa(meta.Depth+1))
	outgoing.Header.Set(TimeoutHeader, meta.Remaining.String())
	outgoing.Header.Set(CallIDHeader, meta.ID)
	// The map is shared because net/http fills it when the body ends.
	outgoing.Trailer = request.Trailer
	outgoing.GetBody = nil
	if meta.Idempotent {
		return outgoing
	}
	// net/http repeats a request by itself when it has no body, and a repeat
	// could run the call twice.
	body := request.Body
	if body == nil {
		body = http.NoBody
	}
	outgoing.Body = &singleBody{ReadCloser: body}
	return outgoing
}

// singleBody hides http.NoBody from net/http, which would repeat the request.
type singleBody struct {
	io.ReadCloser
}

// crashed tells an abrupt end of the connection from a call given up.
func crashed(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// refusedConnection tells that nothing listens at the upstream's address.
func refusedConnection(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// endBody calls end once: with true after the whole body was read, with false
// when it was closed or failed before.
type endBody struct {
	io.ReadCloser
	once sync.Once
	end  func(whole bool)
}

func newEndBody(body io.ReadCloser, end func(whole bool)) *endBody {
	return &endBody{ReadCloser: body, end: end}
}

// Read implements io.Reader.
func (b *endBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err != nil {
		b.once.Do(func() { b.end(err == io.EOF) })
	}
	return n, err
}

// Close implements io.Closer.
func (b *endBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.end(false) })
	return err
}
