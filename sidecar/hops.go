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
	// hopDialTimeout bounds a connection to another node: some round trips
	// between failure domains.
	hopDialTimeout = 250 * time.Millisecond
	// hopIdle is how long unused connections between nodes are kept.
	hopIdle = 20 * time.Second
	// hopKeepAlive ends a connection to a node that does not answer any more.
	hopKeepAlive = time.Second
)

// hops sends attempts to the gates of the fleet.
type hops struct {
	clock Clock
	host  string
	gate  *egress.Gate

	mu    sync.Mutex
	pools map[string]*pooled
}

// pooled are the connections to one incarnation of a node.
type pooled struct {
	pool        *http1.Pool
	incarnation int64
}

var _ ingress.Sender = (*hops)(nil)

func newHops(clock Clock, host string, gate *egress.Gate) *hops {
	return &hops{clock: clock, host: host, gate: gate, pools: map[string]*pooled{}}
}

func dialNode(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: hopDialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: hopKeepAlive, Interval: hopKeepAlive, Count: 2,
	}}
	return dialer.DialContext(ctx, "tcp", address)
}

// pool returns the connections to a node. Those to an earlier incarnation are
// of no use any more.
func (h *hops) pool(b fleet.Beacon) *http1.Pool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.pools[b.CallAddress]
	if p == nil || p.incarnation < b.Incarnation {
		if p != nil {
			p.pool.Close()
		}
		p = &pooled{pool: http1.NewPool(b.CallAddress, dialNode, h.clock, hopIdle), incarnation: b.Incarnation}
		h.pools[b.CallAddress] = p
	}
	return p.pool
}

// reset drops the idle connections to a node that fell silent.
func (h *hops) reset(b fleet.Beacon) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.pools[b.CallAddress]; p != nil {
		p.pool.Close()
		delete(h.pools, b.CallAddress)
	}
}

// Send implements ingress.Sender.
func (h *hops) Send(ctx context.Context, peer fleet.Peer, meta hop.Meta, c *egress.Call) *egress.Answer {
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
	out := &http1.OutgoingRequest{Method: c.Method, Target: c.Target, Host: c.Host, Header: header, Body: c.Content}
	if c.Rest != nil {
		out.Rest = c.Rest
	}
	response, err := h.pool(b).Do(ctx, out)
	if err != nil {
		outcome := call.Unknown
		if http1.KindOf(err) == http1.KindNotSent {
			outcome = call.NotRun
		}
		return egress.Refusal(outcome, call.ReasonConnection)
	}
	return readAnswer(meta, response)
}

// readAnswer checks that an answer is a gate's.
func readAnswer(meta hop.Meta, response *http1.Response) *egress.Answer {
	found, err := hop.DecodeAnswerMeta(response.Header.Get(hop.AnswerHeader))
	if err != nil || found.ID != meta.ID {
		response.Release()
		return egress.Refusal(call.Unknown, call.ReasonCut)
	}
	if found.Outcome != call.Answered {
		_, _, _ = response.Body.Buffer(1)
		response.Release()
		return &egress.Answer{Meta: found, Finish: func() {}}
	}
	return &egress.Answer{Meta: found, Response: response, Finish: response.Release}
}
