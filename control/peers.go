package control

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"gopkg.in/tomb.v2"
)

const (
	// Path is the HTTP path at which a node accepts WebSocket connections.
	Path = "/control"
	// maxMessageBytes bounds a message; the largest one carries a State.
	maxMessageBytes = 2 << 20
	// requestTimeout bounds a Send or Request, including the connection setup.
	requestTimeout = time.Second
	idleTimeout    = time.Minute
	// maxConnections bounds the connections that this node has opened; above it,
	// the least recently used one is closed. Without it, a fleet whose neighbours
	// change while it starts would connect every pair of nodes.
	maxConnections = 16
)

// Handler returns the reply to a message, nil for none; each call has a goroutine
// of its own.
type Handler func(ctx context.Context, message *Message) *Message

// Peers holds this node's connections to other nodes; it is safe for concurrent
// use.
type Peers struct {
	handler     Handler
	client      *http.Client
	sequence    atomic.Uint64
	bytes       atomic.Uint64
	messages    atomic.Uint64
	useSequence atomic.Uint64
	tomb        tomb.Tomb

	mu      sync.Mutex
	peers   map[string]*peer
	dialing map[string]chan struct{}
}

// Dial opens a connection to another node.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewPeers returns Peers that pass received messages to handler and connect with
// dial, or directly if dial is nil.
func NewPeers(handler Handler, dial Dial) *Peers {
	transport := &http.Transport{DisableCompression: true}
	if dial != nil {
		transport.DialContext = dial
	}
	p := &Peers{handler: handler, client: &http.Client{Transport: transport}, peers: map[string]*peer{}, dialing: map[string]chan struct{}{}}
	p.tomb.Go(func() error {
		<-p.tomb.Dying()
		return nil
	})
	return p
}

// Bytes returns how many bytes of messages were sent and received.
func (p *Peers) Bytes() uint64 { return p.bytes.Load() }

// Messages returns how many messages were sent and received.
func (p *Peers) Messages() uint64 { return p.messages.Load() }

// Connections returns the number of open connections that this node opened.
func (p *Peers) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.peers)
}

// Close closes all connections and waits for their goroutines.
func (p *Peers) Close() {
	p.mu.Lock()
	p.tomb.Kill(nil)
	for _, peer := range p.peers {
		peer.close()
	}
	p.mu.Unlock()
	_ = p.tomb.Wait()
}

// ServeHTTP accepts a connection from another node and serves it until it ends.
func (p *Peers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	conn.SetReadLimit(maxMessageBytes)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := context.AfterFunc(p.tomb.Context(ctx), func() { _ = conn.CloseNow() })
	defer stop()
	p.read(ctx, &peer{conn: conn, pending: map[uint64]chan *Message{}})
}

// Send sends a message without a reply; the error covers only connecting and
// writing.
func (p *Peers) Send(ctx context.Context, address string, message Message) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	peer, err := p.connect(ctx, address)
	if err != nil {
		return err
	}
	message.Sequence = p.sequence.Add(1)
	return p.write(ctx, peer, &message)
}

// Request sends a message and returns its reply.
func (p *Peers) Request(ctx context.Context, address string, message Message) (*Message, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	peer, err := p.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	message.Sequence = p.sequence.Add(1)
	replies := peer.addPending(message.Sequence)
	defer peer.removePending(message.Sequence)
	if err := p.write(ctx, peer, &message); err != nil {
		return nil, err
	}
	select {
	case reply, ok := <-replies:
		if !ok {
			return nil, newError("request", KindClosed, nil)
		}
		return reply, nil
	case <-ctx.Done():
		return nil, newError("request", KindTimeout, ctx.Err())
	}
}

// connect returns the connection to address, opening it if there is none. Only
// one goroutine dials an address at a time; the others wait for it.
func (p *Peers) connect(ctx context.Context, address string) (*peer, error) {
	for {
		p.mu.Lock()
		existing, ok := p.peers[address]
		dialing, inProgress := p.dialing[address]
		if !ok && !inProgress {
			dialing = make(chan struct{})
			p.dialing[address] = dialing
		}
		p.mu.Unlock()
		if ok {
			existing.lastUse.Store(p.useSequence.Add(1))
			return existing, nil
		}
		if !inProgress {
			return p.dial(ctx, address, dialing)
		}
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, newError("connect", KindTimeout, ctx.Err())
		}
	}
}

// dial opens a connection to address and closes dialing when it is done.
func (p *Peers) dial(ctx context.Context, address string, dialing chan struct{}) (*peer, error) {
	defer func() {
		p.mu.Lock()
		delete(p.dialing, address)
		p.mu.Unlock()
		close(dialing)
	}()
	//nolint:bodyclose // the body of a successful upgrade is the connection
	conn, _, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{
		HTTPClient: p.client, CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, newError("connect", KindConnect, err)
	}
	conn.SetReadLimit(maxMessageBytes)
	return p.add(address, conn)
}

// add stores an opened connection and starts to read from it.
func (p *Peers) add(address string, conn *websocket.Conn) (*peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.tomb.Alive() {
		_ = conn.CloseNow()
		return nil, newError("connect", KindClosed, nil)
	}
	if len(p.peers) >= maxConnections {
		p.closeLeastRecentlyUsed()
	}
	added := &peer{conn: conn, pending: map[uint64]chan *Message{}}
	added.lastUse.Store(p.useSequence.Add(1))
	p.peers[address] = added
	p.tomb.Go(func() error {
		p.read(p.tomb.Context(context.Background()), added)
		p.mu.Lock()
		if p.peers[address] == added {
			delete(p.peers, address)
		}
		p.mu.Unlock()
		return nil
	})
	return added, nil
}

// startHandling handles a message on a goroutine of its own and returns true, or returns
// false once the connections are closed.
func (p *Peers) startHandling(ctx context.Context, from *peer, message *Message) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.tomb.Alive() {
		return false
	}
	p.tomb.Go(func() error {
		p.handle(ctx, from, message)
		return nil
	})
	return true
}

// closeLeastRecentlyUsed closes the least recently used connection on which no
// reply is pending.
func (p *Peers) closeLeastRecentlyUsed() {
	var lru *peer
	var address string
	for a, candidate := range p.peers {
		if candidate.hasPending() {
			continue
		}
		if lru == nil || candidate.lastUse.Load() < lru.lastUse.Load() {
			lru, address = candidate, a
		}
	}
	if lru == nil {
		return
	}
	delete(p.peers, address)
	lru.close()
}

// read handles messages until the connection ends or no message arrives for
// idleTimeout.
func (p *Peers) read(ctx context.Context, from *peer) {
	defer from.close()
	for {
		message, err := p.readMessage(ctx, from)
		if err != nil {
			return
		}
		if message.Reply {
			from.deliver(message)
			continue
		}
		if !p.startHandling(ctx, from, message) {
			return
		}
	}
}

func (p *Peers) handle(ctx context.Context, to *peer, message *Message) {
	reply := p.handler(ctx, message)
	if reply == nil {
		return
	}
	reply.Sequence = message.Sequence
	reply.Reply = true
	_ = p.write(ctx, to, reply)
}

func (p *Peers) readMessage(ctx context.Context, from *peer) (*Message, error) {
	ctx, cancel := context.WithTimeout(ctx, idleTimeout)
	defer cancel()
	_, data, err := from.conn.Read(ctx)
	if err != nil {
		return nil, newError("read", KindClosed, err)
	}
	p.bytes.Add(uint64(len(data)))
	p.messages.Add(1)
	return Decode(data)
}

func (p *Peers) write(ctx context.Context, to *peer, message *Message) error {
	data, err := Encode(message)
	if err != nil {
		return err
	}
	p.bytes.Add(uint64(len(data)))
	p.messages.Add(1)
	if err := to.conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		to.close()
		return newError("write", KindClosed, err)
	}
	return nil
}

// peer is one connection to another node, opened by either side.
type peer struct {
	conn    *websocket.Conn
	lastUse atomic.Uint64 // value of Peers.useSequence
	mu      sync.Mutex
	pending map[uint64]chan *Message
	closed  bool
}

func (p *peer) addPending(sequence uint64) <-chan *Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	reply := make(chan *Message, 1)
	if p.closed {
		close(reply)
		return reply
	}
	p.pending[sequence] = reply
	return reply
}

// hasPending reports whether a request still waits for its reply.
func (p *peer) hasPending() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pending) > 0
}

func (p *peer) removePending(sequence uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, sequence)
}

// deliver passes a reply to its request; without a pending request it is dropped.
func (p *peer) deliver(message *Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reply, ok := p.pending[message.Sequence]
	if !ok {
		return
	}
	delete(p.pending, message.Sequence)
	reply <- message
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.closed = true
	for sequence, reply := range p.pending {
		delete(p.pending, sequence)
		close(reply)
	}
	_ = p.conn.CloseNow()
}
