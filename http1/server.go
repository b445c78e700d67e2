package http1

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"gopkg.in/tomb.v2"
)

// Handler serves requests. Serve sends exactly one response through reply.
type Handler interface {
	Serve(ctx context.Context, r *Request, reply *Reply)
}

// Limits bounds the requests of one connection. A limit of 0 or less does not
// apply.
type Limits struct {
	// HeaderBytes bounds the head of a request.
	HeaderBytes int
	// BodyBytes bounds the body of a request.
	BodyBytes int64
	// HeaderTimeout bounds the time to read the head of a request.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between requests.
	IdleTimeout time.Duration
}

const (
	// maxPipelined bounds the concurrent requests of one connection.
	maxPipelined = 32
	// maxBufferedBody is the longest request body, in bytes, that is buffered so
	// that the request can be retried.
	maxBufferedBody = 64 << 10
	// bodyTimeout bounds the time to read a body that is buffered.
	bodyTimeout = 10 * time.Second
	// writeTimeout bounds each write, for callers that do not read.
	writeTimeout = 20 * time.Second
	// lingerTimeout is how long a connection is still read after its write side
	// was closed: unread data would reset it before the last response arrives.
	lingerTimeout = 300 * time.Millisecond
	// acceptRetryDelay is the pause after a failed accept, for example when the
	// process is out of file descriptors.
	acceptRetryDelay = 20 * time.Millisecond
)

// Server serves the requests of a listener's connections.
type Server struct {
	listener net.Listener
	handler  Handler
	limits   func() Limits
	tomb     tomb.Tomb

	mu       sync.Mutex
	conns    map[*serverConn]struct{}
	draining bool
	active   int
}

// NewServer returns a Server that serves listener. limits is called for each
// request.
func NewServer(listener net.Listener, handler Handler, limits func() Limits) *Server {
	s := &Server{listener: listener, handler: handler, limits: limits, conns: map[*serverConn]struct{}{}}
	s.tomb.Go(s.accept)
	return s
}

func (s *Server) accept() error {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			select {
			case <-s.tomb.Dying():
				return nil
			case <-time.After(acceptRetryDelay):
			}
			continue
		}
		c := newServerConn(s, conn)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go c.run()
	}
}

// ActiveRequests returns how many requests are being served.
func (s *Server) ActiveRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// Connections returns how many connections are open, also those that are still read after
// their last response.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Drain makes each connection close after its pending responses, or, if there are
// none, after the response to its next request.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
}

// CloseIdleConnections closes the connections without a request in progress. It is
// to be called after Drain.
func (s *Server) CloseIdleConnections() {
	s.mu.Lock()
	conns := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.closeIfIdle()
	}
}

// CloseListener stops accepting connections.
func (s *Server) CloseListener() { _ = s.listener.Close() }

// Close closes the listener and all connections.
func (s *Server) Close() {
	s.tomb.Kill(nil)
	_ = s.listener.Close()
	_ = s.tomb.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.conn.Close()
	}
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

func (s *Server) addActive(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active += change
}

func (s *Server) removeConn(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
