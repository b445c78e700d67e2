package http1

import (
	"net/http"
	"time"
)

const (
	// surplusReadTimeout bounds how long the unread bytes of an idle connection are read.
	surplusReadTimeout = 100 * time.Millisecond
	// maxSurplusReads bounds how many connections of a pool are read at once for their
	// unread bytes. Those of further ones are reported as unreadable.
	maxSurplusReads = 4
)

// Surplus is a response that belongs to no request in progress.
type Surplus struct {
	// Request is the request that waited for another response, nil if the response was
	// found unread on an idle connection.
	Request *OutgoingRequest
	// Status is 0 and Header nil if the bytes could not be read as a response.
	Status int
	Header http.Header
	// Connection is the number of the connection, in the order of opening, from 1.
	Connection uint64
	// Exchange is how many requests the connection had carried.
	Exchange uint64
}

// WithObserver sets a function that is called for each surplus response. It must not
// block, and is called concurrently.
func WithObserver(observer func(Surplus)) PoolOption {
	return func(p *Pool) { p.observer = observer }
}

// observe reports a surplus response, nil for an unreadable one, that came while out
// waited, nil if no request did.
func (c *clientConn) observe(response *Response, out *OutgoingRequest) {
	if c.pool.observer == nil {
		return
	}
	surplus := Surplus{Request: out, Connection: c.number, Exchange: c.exchanges}
	if response != nil {
		surplus.Status, surplus.Header = response.Status, response.Header
	}
	c.pool.observer(surplus)
}

// closeUnread closes an idle connection with unread bytes after they were reported, without
// making the caller wait.
func (c *clientConn) closeUnread() {
	if c.pool.observer == nil {
		c.close()
		return
	}
	select {
	case c.pool.surplusReads <- struct{}{}:
	default:
		c.observe(nil, nil)
		c.close()
		return
	}
	go func() {
		defer func() { <-c.pool.surplusReads }()
		defer c.close()
		c.readUnread()
	}()
}

// readUnread reads the head of an unread response and reports it.
func (c *clientConn) readUnread() {
	_ = c.conn.SetReadDeadline(time.Now().Add(surplusReadTimeout))
	c.limited.remaining = maxResponseHead
	for {
		response, err := readResponse(c.br, c.limited, http.MethodGet)
		if err != nil {
			c.observe(nil, nil)
			return
		}
		if response.Status >= http.StatusOK {
			c.observe(response, nil)
			return
		}
	}
}
