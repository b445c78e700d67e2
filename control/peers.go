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
	// Path is where a node takes WebSocket connections from others.
	Path = "/control"
	// maxMessage bounds a message, in bytes; a State is the largest.
	maxMessage = 2 << 20
	// requestTimeout bounds a request when its context has no deadline.
	requestTimeout = time.Second
	idleTimeout    = time.Minute
	// maxConnections is how many opened connections are held; the one unused
	// for longest gives way, so that a fleet whose contacts change while it
	// starts does not connect everyone with everyone.
	maxConnections = 16
)

// Handler answers a message, each on a goroutine of its own; a nil reply is not
// sent.
type Handler func(ctx context.Context, message *Message) *Message

// Peers holds this node's connections to others; it is safe for concurrent use.
type Peers struct {
	handler  Handler
	client   *http.Client
	sequence atomic.Uint64
	bytes    atomic.Uint64
	messages atomic.Uint64
	uses     atomic.Uint64
	tomb     tomb.Tomb

	mu      sync.Mutex
	peers   map[string]*peer
	opening map[string]chan struct{}
}

// Dial opens a connection to another node.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewPeers returns Peers that answer with handler and connect with dial, or
// directly when dial is nil.
func NewPeers(handler Handler, dial Dial) *Peers {
	transport := &http.Transport{DisableCompression: true}
	if dial != nil {
		transport.DialContext = dial
	}
	p := &Peers{handler: handler, client: &http.Client{Transport: transport}, peers: map[string]*peer{}, opening: map[string]chan struct{}{}}
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

// Connections returns how many connections this node has opened and holds.
func (p *Peers) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.peers)
}

// Close ends all connections and waits for their goroutines.
func (p *Peers) Close() {
	p.tomb.Kill(nil)
	p.mu.Lock()
	for _, peer := range p.peers {
		peer.close()
	}
	p.mu.Unlock()
	_ = p.tomb.Wait()
}

// ServeHTTP takes a connection from another node.
func (p *Peers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	conn.SetReadLimit(maxMessage)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := context.AfterFunc(p.tomb.Context(ctx), func() { _ = conn.CloseNow() })
	defer stop()
	p.read(ctx, &peer{conn: conn, pending: map[uint64]chan *Message{}})
}

// Send sends a message that needs no reply, and reports only whether it could
// be written.
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
	reply := peer.expect(message.Sequence)
	defer peer.forget(message.Sequence)
	if err := p.write(ctx, peer, &message); err != nil {
		return nil, err
	}
	select {
	case found, ok := <-reply:
		if !ok {
			return nil, newError("request", KindClosed, nil)
		}
		return found, nil
	case <-ctx.Done():
		return nil, newError("request", KindTimeout, ctx.Err())
	}
}

// connect returns the connection to address, opening it if there is none. Only
// one caller opens it; the others wait for that.
func (p *Peers) connect(ctx context.Context, address string) (*peer, error) {
	for {
		p.mu.Lock()
		known, ok := p.peers[address]
		opening, busy := p.opening[address]
		if !ok && !busy {
			opening = make(chan struct{})
			p.opening[address] = opening
		}
		p.mu.Unlock()
		if ok {
			known.used.Store(p.uses.Add(1))
			return known, nil
		}
		if !busy {
			return p.open(ctx, address, opening)
		}
		select {
		case <-opening:
		case <-ctx.Done():
			return nil, newError("connect", KindTimeout, ctx.Err())
		}
	}
}

// open dials address and closes opening when it is done.
func (p *Peers) open(ctx context.Context, address string, opening chan struct{}) (*peer, error) {
	defer func() {
		p.mu.Lock()
		delete(p.opening, address)
		p.mu.Unlock()
		close(opening)
	}()
	//nolint:bodyclose // the body of a successful upgrade is the connection
	conn, _, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{
		HTTPClient: p.client, CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, newError("connect", KindConnect, err)
	}
	conn.SetReadLimit(maxMessage)
	return p.adopt(address, conn)
}

// adopt registers a connection and reads from it until it ends.
func (p *Peers) adopt(address string, conn *websocket.Conn) (*peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.tomb.Alive() {
		_ = conn.CloseNow()
		return nil, newError("connect", KindClosed, nil)
	}
	if len(p.peers) >= maxConnections {
		p.dropUnused()
	}
	added := &peer{conn: conn, pending: map[uint64]chan *Message{}}
	added.used.Store(p.uses.Add(1))
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

// dropUnused closes the connection that was unused for longest and waits for no
// reply.
func (p *Peers) dropUnused() {
	var oldest *peer
	var address string
	for a, candidate := range p.peers {
		if candidate.waiting() {
			continue
		}
		if oldest == nil || candidate.used.Load() < oldest.used.Load() {
			oldest, address = candidate, a
		}
	}
	if oldest == nil {
		return
	}
	delete(p.peers, address)
	oldest.close()
}

// read handles messages until the connection ends or is idle for too long.
func (p *Peers) read(ctx context.Context, from *peer) {
	defer from.close()
	for {
		message, err := p.next(ctx, from)
		if err != nil {
			return
		}
		if message.Reply {
			from.deliver(message)
			continue
		}
		p.tomb.Go(func() error {
			p.answer(ctx, from, message)
			return nil
		})
	}
}

func (p *Peers) answer(ctx context.Context, to *peer, message *Message) {
	reply := p.handler(ctx, message)
	if reply == nil {
		return
	}
	reply.Sequence = message.Sequence
	reply.Reply = true
	_ = p.write(ctx, to, reply)
}

func (p *Peers) next(ctx context.Context, from *peer) (*Message, error) {
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

// peer is one connection.
type peer struct {
	conn    *websocket.Conn
	used    atomic.Uint64
	mu      sync.Mutex
	pending map[uint64]chan *Message
	closed  bool
}

func (p *peer) expect(sequence uint64) <-chan *Message {
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

// waiting tells whether a reply is expected.
func (p *peer) waiting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pending) > 0
}

func (p *peer) forget(sequence uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, sequence)
}

// deliver hands a reply to its request; one that comes too late has none.
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
