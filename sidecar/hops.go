package sidecar

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/http1"
	"github.com/banyancross/banyancross/ingress"
)

const (
	// hopDialTimeout bounds the dial of another node: several round trips
	// between failure domains.
	hopDialTimeout = 250 * time.Millisecond
	// hopIdleTimeout is how long unused connections between nodes stay open.
	hopIdleTimeout = 20 * time.Second
	// hopKeepAliveInterval is the interval of TCP keep-alive probes, two of
	// which end a connection to an unresponsive node.
	hopKeepAliveInterval = time.Second
)

// hopSender sends attempts to the admission gates of the fleet.
type hopSender struct {
	clock Clock
	host  string
	gate  *egress.Gate

	mu    sync.Mutex
	pools map[string]*nodePool
}

// nodePool holds the connections to one incarnation of a node.
type nodePool struct {
	pool        *http1.Pool
	incarnation int64
}

var _ ingress.Sender = (*hopSender)(nil)

func newHopSender(clock Clock, host string, gate *egress.Gate) *hopSender {
	return &hopSender{clock: clock, host: host, gate: gate, pools: map[string]*nodePool{}}
}

func dialNode(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: hopDialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: hopKeepAliveInterval, Interval: hopKeepAliveInterval, Count: 2,
	}}
	return dialer.DialContext(ctx, "tcp", address)
}

// pool returns the connections to a node. It closes those to an earlier
// incarnation, which are unusable.
func (h *hopSender) pool(b fleet.Beacon) *http1.Pool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.pools[b.Calls]
	if p == nil || p.incarnation < b.Incarnation {
		if p != nil {
			p.pool.Close()
		}
		p = &nodePool{pool: http1.NewPool(b.Calls, dialNode, h.clock, hopIdleTimeout), incarnation: b.Incarnation}
		h.pools[b.Calls] = p
	}
	return p.pool
}

// dropPool closes the idle connections to a node that has become silent.
func (h *hopSender) dropPool(b fleet.Beacon) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.pools[b.Calls]; p != nil {
		p.pool.Close()
		delete(h.pools, b.Calls)
	}
}

// Send implements ingress.Sender.
func (h *hopSender) Send(ctx context.Context, peer fleet.Peer, meta hop.Meta, c *egress.Call) *egress.Answer {
	b := peer.Beacon()
	if b.Host == h.host {
		return h.gate.Do(ctx, meta, c)
	}
	text, err := meta.Encode()
	if err != nil {
		return egress.Refusal(call.NotRun, call.ReasonMalformed)
	}
	header := c.Header.Clone()
	hop.Strip(header)
	header.Set(hop.CallHeader, text)
	out := &http1.Outgoing{Method: c.Method, Target: c.Target, Host: c.Host, Header: header, Body: c.Content}
	if c.Rest != nil {
		out.Rest = c.Rest
	}
	response, err := h.pool(b).Do(ctx, out)
	if err != nil {
		outcome := call.Unknown
		if http1.KindOf(err) == http1.KindUnreached {
			outcome = call.NotRun
		}
		return egress.Refusal(outcome, call.ReasonConnection)
	}
	return readAnswer(meta, response)
}

// readAnswer decodes the gate's answer from a response. A response that does
// not carry the answer to this attempt counts as cut off.
func readAnswer(meta hop.Meta, response *http1.Response) *egress.Answer {
	answerMeta, err := hop.DecodeAnswerMeta(response.Header.Get(hop.AnswerHeader))
	if err != nil || answerMeta.ID != meta.ID {
		response.Finish()
		return egress.Refusal(call.Unknown, call.ReasonCut)
	}
	if answerMeta.Outcome != call.Answered {
		_, _, _ = response.Body.Buffer(1)
		response.Finish()
		return &egress.Answer{Meta: answerMeta, Finish: func() {}}
	}
	return &egress.Answer{Meta: answerMeta, Response: response, Finish: response.Finish}
}
