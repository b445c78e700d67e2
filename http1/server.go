package http1

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"gopkg.in/tomb.v2"
)

// Handler serves requests; each is answered through its Reply once.
type Handler interface {
	Serve(ctx context.Context, r *Request, reply *Reply)
}

// Limits bound what one connection may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

const (
	// maxPipelined bounds the requests of one connection that are served at
	// the same time.
	maxPipelined = 32
	// bufferedBody is the largest request body that is held in memory, so that
	// it can be sent again, in bytes.
	bufferedBody = 64 << 10
	// bodyTimeout bounds the wait for a body that is held in memory.
	bodyTimeout = 10 * time.Second
	// writeTimeout bounds a write to a caller that does not read.
	writeTimeout = 20 * time.Second
	// lingerTimeout is how long a closed connection is read, so that bytes on
	// the way do not reset it before the answer has arrived.
	lingerTimeout = 300 * time.Millisecond
	// acceptPause follows an accept that failed, as when descriptors ran out.
	acceptPause = 20 * time.Millisecond
)

// Server answers the requests of a listener's connections.
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

// NewServer starts to serve a listener. limits is asked for each request.
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
			case <-time.After(acceptPause):
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

// Drain makes the next answer on each connection its last one.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
}

// CloseIdleConnections closes the connections on which nothing is served; Drain goes before
// it.
func (s *Server) CloseIdleConnections() {
	s.mu.Lock()
	conns := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.retire()
	}
}

// CloseListener takes no further connections.
func (s *Server) CloseListener() { _ = s.listener.Close() }

// Close stops the listener and cuts all connections.
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

func (s *Server) count(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active += change
}

func (s *Server) forget(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
