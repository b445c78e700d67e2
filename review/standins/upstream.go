package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/banyancross/banyancross/platform"
)

// heartbeatInterval is the pause between heartbeats of an upstream, as in the
// platform's settings.
const heartbeatInterval = 1500 * time.Millisecond

// idleTimeout is how long an upstream keeps idle connections, in whole seconds.
const idleTimeout = 10

// serviceSpec describes a service and its route.
type serviceSpec struct {
	name               string
	kind               string
	timeout, objective time.Duration
	slots              int
	work               time.Duration
	reportsLoad        bool
}

// upstream is a stand-in for a backend server.
type upstream struct {
	instance, zone string
	service        serviceSpec
	born           time.Time
	listener       net.Listener
	record         *record
	// trouble, unless nil, may answer a request that runs in place of the normal
	// answer; it reports whether it did and whether the connection is still usable.
	trouble func(c *upstreamConn, r *http.Request, id string) (handled, usable bool)
	// repeats, unless nil, reports whether an answer is sent a second time, late.
	repeats func() bool
	// closeEvery is the number of answers of which one closes its connection, 0 for
	// none.
	closeEvery int

	mu      sync.Mutex
	running int
	answers int
	// sequence numbers the heartbeats.
	sequence uint64
	draining bool
	stopped  bool
}

// upstreamConn is one connection to an upstream.
type upstreamConn struct {
	conn net.Conn
	br   *bufio.Reader
	// late is an extra response, sent where the next response is expected.
	late string
}

func newUpstream(instance, zone, address string, service serviceSpec, rec *record) (*upstream, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	u := &upstream{instance: instance, zone: zone, service: service, born: time.Now(), listener: listener, record: rec}
	go u.accept()
	return u, nil
}

func (u *upstream) address() string { return u.listener.Addr().String() }

func (u *upstream) close() {
	u.mu.Lock()
	u.stopped = true
	u.mu.Unlock()
	_ = u.listener.Close()
}

func (u *upstream) isStopped() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.stopped
}

func (u *upstream) accept() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		go u.serve(&upstreamConn{conn: conn, br: bufio.NewReader(conn)})
	}
}

func (u *upstream) serve(c *upstreamConn) {
	defer func() { _ = c.conn.Close() }()
	for {
		_ = c.conn.SetReadDeadline(time.Now().Add(idleTimeout * time.Second))
		r, err := http.ReadRequest(c.br)
		if err != nil {
			return
		}
		_ = c.conn.SetReadDeadline(time.Time{})
		if c.late != "" {
			late := c.late
			c.late = ""
			u.record.add("upstream %s repeats an earlier answer where that to %s %s is expected: %s",
				u.instance, r.URL.Path, r.Header.Get(wire.ID), strings.SplitN(late, "\r\n\r\n", 2)[0])
			if _, err := io.WriteString(c.conn, late); err != nil {
				return
			}
		}
		if !u.handle(c, r) {
			return
		}
	}
}

// handle answers one request and reports whether the connection is still usable.
func (u *upstream) handle(c *upstreamConn, r *http.Request) bool {
	if r.URL.Path == "/healthz" {
		return u.handleProbe(c)
	}
	id := r.Header.Get(wire.ID)
	if r.Header.Get(wire.Expect) != u.instance {
		_, _ = io.Copy(io.Discard, r.Body)
		return c.write(answer(http.StatusMisdirectedRequest, id, "", wire.NotRun, "1", wire.Instance, u.instance))
	}
	if !u.take() {
		_, _ = io.Copy(io.Discard, r.Body)
		u.record.add("upstream %s rejects %s: full", u.instance, id)
		return c.write(answer(http.StatusServiceUnavailable, id, "", wire.NotRun, "1"))
	}
	u.record.ran(id, u.instance)
	deadline := time.Now().Add(requestTimeout(r))
	if u.trouble != nil {
		if handled, usable := u.trouble(c, r, id); handled {
			u.release()
			return usable
		}
	}
	_, err := io.Copy(io.Discard, r.Body)
	if err == nil {
		time.Sleep(min(jittered(u.service.work), time.Until(deadline)))
	}
	u.release()
	switch {
	case err != nil:
		return false
	case !time.Now().Before(deadline):
		return c.write(answer(http.StatusGatewayTimeout, id, "", u.answerFields()...))
	}
	fields := u.answerFields()
	closes := u.closeEvery > 0 && u.nthAnswer(u.closeEvery)
	if closes {
		fields = append(fields, "Connection", "close")
	}
	return u.send(c, answer(http.StatusOK, id, u.instance+" "+id+"\n", fields...)) && !closes
}

// send sends an answer, and notes whether it is repeated where the next one is
// expected.
func (u *upstream) send(c *upstreamConn, text string) bool {
	if u.repeats != nil && u.repeats() {
		c.late = text
	}
	return c.write(text)
}

// jittered returns a random duration from half of d to one and a half of it.
func jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)+1))
}

// handleProbe answers a health check. An upstream that reports its load answers at
// once; another one rejects the check while it is full.
func (u *upstream) handleProbe(c *upstreamConn) bool {
	u.mu.Lock()
	draining := u.draining
	u.mu.Unlock()
	if draining {
		return c.write(answer(http.StatusServiceUnavailable, "", "", append(u.loadFields(), wire.Instance, u.instance)...))
	}
	if u.service.reportsLoad {
		return c.write(answer(http.StatusOK, "", "", append(u.loadFields(), wire.Instance, u.instance)...))
	}
	if !u.take() {
		return u.send(c, answer(http.StatusServiceUnavailable, "", "", wire.NotRun, "1"))
	}
	u.release()
	return u.send(c, answer(http.StatusOK, "", "", wire.Instance, u.instance))
}

func (u *upstream) answerFields() []string {
	return append(u.loadFields(), wire.Stamp, "s."+u.instance, "Keep-Alive", "timeout="+strconv.Itoa(idleTimeout))
}

func (u *upstream) loadFields() []string {
	if !u.service.reportsLoad {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return []string{wire.Load, fmt.Sprintf("%d,0,%d,100", u.running, u.service.slots)}
}

// take takes a slot and reports whether one was free.
func (u *upstream) take() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.running >= u.service.slots {
		return false
	}
	u.running++
	return true
}

func (u *upstream) release() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

// nthAnswer counts the answers that trouble may befall and reports whether this one
// is the nth in a row.
func (u *upstream) nthAnswer(n int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answers++
	return u.answers%n == 0
}

func (c *upstreamConn) write(text string) bool {
	_, err := io.WriteString(c.conn, text)
	return err == nil
}

// writeEndlessly writes text again and again, with pauses, until the caller closes.
func (c *upstreamConn) writeEndlessly(text string, pause time.Duration) {
	for c.write(text) {
		time.Sleep(pause)
	}
}

// requestTimeout returns the time that a request has left.
func requestTimeout(r *http.Request) time.Duration {
	milliseconds, err := strconv.Atoi(r.Header.Get(wire.Timeout))
	if err != nil {
		return 30 * time.Second
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// sendHeartbeats sends heartbeats to the node at control until the upstream stops.
func (u *upstream) sendHeartbeats(control string) {
	for !u.isStopped() {
		// The next heartbeat makes up for a failed one.
		_ = u.sendHeartbeat(control)
		time.Sleep(heartbeatInterval)
	}
}

// sendHeartbeat sends one heartbeat.
func (u *upstream) sendHeartbeat(control string) error {
	u.mu.Lock()
	u.sequence++
	sequence, state := u.sequence, "ready"
	if u.draining {
		state = "draining"
	}
	u.mu.Unlock()
	body, err := heartbeat(u, state, sequence)
	if err != nil {
		return err
	}
	return post("http://"+control+platform.HeartbeatPath+u.instance, body)
}

// drainTime is how long an upstream serves after its leaving was acknowledged.
const drainTime = 2500 * time.Millisecond

// leave drains the upstream, deregisters it and ends it.
func (u *upstream) leave(control string) error {
	u.mu.Lock()
	u.draining = true
	u.mu.Unlock()
	if err := u.sendHeartbeat(control); err != nil {
		return err
	}
	u.record.add("upstream %s is draining, as planned", u.instance)
	time.Sleep(drainTime)
	body, err := heartbeat(u, "draining", 0)
	if err != nil {
		return err
	}
	if err := post("http://"+control+platform.LeavePath+u.instance, body); err != nil {
		return err
	}
	u.close()
	u.record.add("upstream %s has ended, as planned", u.instance)
	return nil
}

// post sends a call of the upstream to the node beside it.
func post(url string, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("%s: status %d", url, response.StatusCode)
	}
	return nil
}
