package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// lastID is the number in the latest request's identity.
var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("%016x", 0x9c41d07be0000000+lastID.Add(1)) }

// caller sends requests to the node on its host, one after another on a connection
// that it keeps.
type caller struct {
	host    *host
	service serviceSpec
	record  *record
	method  string
	// prefix is that of the route, the service's name if it is empty.
	prefix string
	conn   net.Conn
	br     *bufio.Reader
	used   bool
}

func newCaller(h *host, service serviceSpec, rec *record) *caller {
	method := http.MethodGet
	if service.kind == "unsafe" {
		method = http.MethodPost
	}
	return &caller{host: h, service: service, record: rec, method: method}
}

func (c *caller) connect() bool {
	if c.conn != nil {
		return true
	}
	conn, err := net.DialTimeout("tcp", c.host.callers, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.br, c.used = conn, bufio.NewReader(conn), false
	return true
}

func (c *caller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// run sends requests with pauses until stop is closed.
func (c *caller) run(stop <-chan struct{}, pause time.Duration) {
	defer c.disconnect()
	for {
		select {
		case <-stop:
			return
		case <-time.After(jittered(pause)):
		}
		if c.connect() {
			c.exchange()
		}
	}
}

// runArrivals sends a request for each arrival until stop is closed.
func (c *caller) runArrivals(stop, arrivals <-chan struct{}) {
	defer c.disconnect()
	for {
		select {
		case <-stop:
			return
		case <-arrivals:
		}
		if c.connect() {
			c.exchange()
		}
	}
}

func (c *caller) head(id, framing string) string {
	prefix := c.prefix
	if prefix == "" {
		prefix = c.service.name
	}
	return fmt.Sprintf("%s /%s/item HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n", c.method, prefix, callerHost,
		wire.ID, id, wire.Timeout, c.service.timeout.Milliseconds(), framing)
}

// exchange sends a request and waits for its answer.
func (c *caller) exchange() {
	id := newID()
	framing := ""
	if c.method == http.MethodPost {
		framing = "Content-Length: 9\r\n"
	}
	text := c.head(id, framing)
	if framing != "" {
		text += "candles=3"
	}
	c.record.sent(id, c.service.name, c.host.name, c.used)
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.record.ended(id, 0, "connection closed without an answer")
		c.disconnect()
		return
	}
	c.readAnswer(id)
}

// readAnswer reads the answer to a request and records it.
func (c *caller) readAnswer(id string) {
	_ = c.conn.SetReadDeadline(time.Now().Add(c.service.timeout + time.Second))
	response, err := http.ReadResponse(c.br, &http.Request{Method: c.method})
	if err != nil {
		c.record.ended(id, 0, "connection closed without an answer")
		c.disconnect()
		return
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err != nil {
		c.record.ended(id, 0, fmt.Sprintf("answer %d broke off", response.StatusCode))
		c.disconnect()
		return
	}
	c.record.ended(id, response.StatusCode, fmt.Sprintf("answered %d", response.StatusCode))
	c.used = true
	if response.Close {
		c.disconnect()
	}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		time.Sleep(time.Duration(seconds * float64(time.Second)))
	}
}

const (
	// uploadStart is the part of a long body that is sent at once, uploadPart the
	// size of the later parts, and uploadParts their number.
	uploadStart = 96 << 10
	uploadPart  = 16 << 10
	uploadParts = 20
	// uploadPause is the pause between two parts.
	uploadPause = 30 * time.Millisecond
)

// runUploads sends requests with long bodies in chunks until stop is closed.
func (c *caller) runUploads(stop <-chan struct{}, pause time.Duration) {
	defer c.disconnect()
	for {
		select {
		case <-stop:
			return
		case <-time.After(jittered(pause)):
		}
		if c.connect() {
			c.upload()
		}
	}
}

// upload sends a long body to its end, also if the answer comes earlier.
func (c *caller) upload() {
	id := newID()
	c.record.sent(id, c.service.name, c.host.name, c.used)
	conn := c.conn
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		if _, err := io.WriteString(conn, c.head(id, "Transfer-Encoding: chunked\r\n")); err != nil {
			return
		}
		part := make([]byte, uploadStart)
		for i := range uploadParts + 1 {
			if i > 0 {
				time.Sleep(uploadPause)
				part = part[:uploadPart]
			}
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(part), part); err != nil {
				return
			}
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}()
	c.readAnswer(id)
	<-sent
}
