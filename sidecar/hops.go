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
	// hopKeepAliveInterval is the interval of TCP keep-alive probes. Two
	// unanswered ones end a connection.
	hopKeepAliveInterval = time.Second
)

// sender sends attempts to the admission gates of the fleet.
type sender struct {
	clock     Clock
	host      string
	gate      *egress.Gate
	transfers *transfers
	// usage counts the connections to all nodes.
	usage http1.Usage

	mu    sync.Mutex
	pools map[string]*nodePool
}

// nodePool holds the connections to one incarnation of a node.
type nodePool struct {
	pool        *http1.Pool
	incarnation int64
}

var _ ingress.Sender = (*sender)(nil)

func newSender(clock Clock, host string, gate *egress.Gate, transfers *transfers) *sender {
	return &sender{
		clock: clock, host: host, gate: gate, transfers: transfers, pools: map[string]*nodePool{},
	}
}

func dialNode(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: hopDialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: hopKeepAliveInterval, Interval: hopKeepAliveInterval, Count: 2,
	}}
	return dialer.DialContext(ctx, "tcp", address)
}

// pool returns the connections to a node. It closes those to an earlier
// incarnation, which are unusable.
func (s *sender) pool(b *fleet.Beacon) *http1.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[b.CallAddress]
	if p == nil || p.incarnation < b.Incarnation {
		if p != nil {
			p.pool.Close()
		}
		p = &nodePool{pool: http1.NewPool(b.CallAddress, dialNode, s.clock, hopIdleTimeout, http1.WithUsage(&s.usage)), incarnation: b.Incarnation}
		s.pools[b.CallAddress] = p
	}
	return p.pool
}

// dropPool closes the idle connections to a node that has become silent.
func (s *sender) dropPool(b *fleet.Beacon) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.pools[b.CallAddress]; p != nil {
		p.pool.Close()
		delete(s.pools, b.CallAddress)
	}
}

// Send implements ingress.Sender.
func (s *sender) Send(ctx context.Context, peer fleet.Peer, meta hop.Meta, c *egress.Call) *egress.Answer {
	b := peer.Beacon()
	if b.Host == s.host {
		return s.gate.Do(ctx, meta, c)
	}
	text, err := meta.Encode()
	if err != nil {
		return egress.Refusal(call.NotRun, call.ReasonMalformed)
	}
	header := c.Header.Clone()
	hop.Strip(header)
	header.Set(hop.CallHeader, text)
	out := &http1.OutgoingRequest{Method: c.Method, Target: c.Target, Host: c.Host, Header: header, Body: c.Content, Rest: c.Rest}
	response, err := s.pool(b).Do(ctx, out)
	if err != nil {
		switch http1.KindOf(err) {
		case http1.KindNotSent:
			return egress.Refusal(call.NotRun, call.ReasonConnection)
		case http1.KindBodyCut:
			return egress.Refusal(call.Unknown, call.ReasonCancelled)
		}
		return egress.Refusal(call.Unknown, call.ReasonConnection)
	}
	answer := readAnswer(meta, response)
	s.transfers.addCall(b.FailureDomain, meta, header, len(c.Content), answer)
	return answer
}

// readAnswer decodes the gate's answer from a response. A response that does
// not carry the answer to this attempt counts as cut off.
func readAnswer(meta hop.Meta, response *http1.Response) *egress.Answer {
	answerMeta, err := hop.DecodeAnswerMeta(response.Header.Get(hop.AnswerHeader))
	if err != nil || answerMeta.ID != meta.ID {
		response.Release()
		return egress.Refusal(call.Unknown, call.ReasonCut)
	}
	if answerMeta.Outcome != call.Answered {
		_, _, _ = response.Body.Buffer(1)
		response.Release()
		return &egress.Answer{Meta: answerMeta, Finish: func() {}}
	}
	return &egress.Answer{Meta: answerMeta, Response: response, Finish: response.Release}
}
