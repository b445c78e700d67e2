package deployment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/banyancross/banyancross/membership"
	"github.com/banyancross/banyancross/node"
	"github.com/banyancross/banyancross/note"
	"github.com/banyancross/banyancross/settings"
	"github.com/banyancross/banyancross/standin"
	"github.com/banyancross/banyancross/upstream"
)

const (
	pollPause = 20 * time.Millisecond
	// largeFleet is the size from which nodes are started one after another, as
	// all of them starting in one process at once exhaust its files.
	largeFleet = 60
	startPause = 25 * time.Millisecond
)

// Member is one host of a deployment: a node and the backend server beside it.
type Member struct {
	Settings *settings.Settings
	Node     *node.Node
	Upstream *standin.Upstream
	Domain   string
	Service  string
	index    int
	lost     atomic.Bool
}

// Lost tells whether Lose was called.
func (m *Member) Lost() bool { return m.lost.Load() }

// Lose ends the member's node and backend server at once.
func (m *Member) Lose() {
	m.lost.Store(true)
	m.Node.Kill()
	m.Upstream.Close()
}

// LoseDomain ends all members of a failure domain at once.
func (d *Deployment) LoseDomain(domain string) {
	var group sync.WaitGroup
	for _, member := range d.Members {
		if member.Domain != domain {
			continue
		}
		group.Add(1)
		go func() {
			defer group.Done()
			member.Lose()
		}()
	}
	group.Wait()
}

// Deployment is a running fleet.
type Deployment struct {
	Shape    Shape
	Platform *standin.Platform
	Network  *standin.Network
	Members  []*Member

	options  []node.Option
	logger   log.Logger
	seed     uint64
	contacts []string
	address  string
	server   *http.Server
	mu       sync.Mutex
	rng      *rand.Rand
	bound    map[string]net.Listener
	client   *http.Client
}

// Option configures a Deployment.
type Option func(*Deployment)

// WithSeed seeds the random choices of nodes and stand-ins.
func WithSeed(seed uint64) Option { return func(d *Deployment) { d.seed = seed } }

// WithNode passes options to every node.
func WithNode(options ...node.Option) Option {
	return func(d *Deployment) { d.options = append(d.options, options...) }
}

// WithLogger sets where the nodes log.
func WithLogger(logger log.Logger) Option { return func(d *Deployment) { d.logger = logger } }

// Start starts the platform, the nodes and the backend servers, publishes the
// first release note, and waits until every upstream is ready on every node.
func Start(ctx context.Context, shape Shape, options ...Option) (*Deployment, error) {
	d := &Deployment{
		Shape: shape, Platform: standin.NewPlatform(), logger: log.NewNopLogger(), seed: 1,
		bound: map[string]net.Listener{},
	}
	for _, option := range options {
		option(d)
	}
	d.rng = rand.New(rand.NewPCG(d.seed, d.seed))
	var delay func() time.Duration
	if shape.LinkDelay > 0 {
		delay = d.linkDelay
	}
	d.Network = standin.NewNetwork(delay)
	d.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	if err := d.build(); err != nil {
		d.Close()
		return nil, err
	}
	if err := d.run(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) linkDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Shape.LinkDelay + time.Duration(d.rng.Int64N(int64(d.Shape.LinkJitter)+1))
}

// build binds addresses and writes the settings of all members.
func (d *Deployment) build() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.address = listener.Addr().String()
	d.server = &http.Server{Handler: d.Platform, ReadHeaderTimeout: time.Minute}
	go func() { _ = d.server.Serve(listener) }()
	for _, service := range d.Shape.Services {
		for i := range service.Upstreams {
			if err := d.addMember(fmt.Sprintf("%s-%d", service.Name, i+1), service.Name); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *Deployment) addMember(host, service string) error {
	index := len(d.Members)
	domain := d.Shape.Domains[index%len(d.Shape.Domains)]
	var addresses [4]string
	for i := range addresses {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		addresses[i] = listener.Addr().String()
		d.bound[addresses[i]] = listener
	}
	if len(d.contacts) < len(d.Shape.Domains) {
		d.contacts = append(d.contacts, addresses[1])
	}
	text := fmt.Sprintf(`host = %q
failure-domain = %q
region = %q
time-zone = %q
platform = %q
contacts = [%s]
[listen]
callers = %q
nodes = %q
upstream = %q
operators = %q
`, host, domain.Name, domain.Region, d.Shape.TimeZone, d.address, quoted(d.contacts),
		addresses[0], addresses[1], addresses[2], addresses[3])
	parsed, err := settings.Parse(host+".toml", []byte(text))
	if err != nil {
		return err
	}
	d.Network.SetFailureDomain(addresses[1], domain.Name)
	d.Members = append(d.Members, &Member{Settings: parsed, Domain: domain.Name, Service: service, index: index})
	return nil
}

func quoted(values []string) string {
	text := ""
	for i, value := range values {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%q", value)
	}
	return text
}

// bind hands out a listener bound by build, or binds again after a restart.
func (d *Deployment) bind(address string) (net.Listener, error) {
	d.mu.Lock()
	listener, ok := d.bound[address]
	delete(d.bound, address)
	d.mu.Unlock()
	if ok {
		return listener, nil
	}
	return net.Listen("tcp", address)
}

func (d *Deployment) run(ctx context.Context) error {
	for _, member := range d.Members {
		if err := d.StartNode(member); err != nil {
			return err
		}
		if err := d.StartUpstream(member); err != nil {
			return err
		}
		if len(d.Members) >= largeFleet {
			time.Sleep(startPause)
		}
	}
	document, err := note.Parse("first.toml", []byte(d.Shape.Note()))
	if err != nil {
		return err
	}
	if _, err := d.Members[0].Node.Publish(ctx, document, 0, ""); err != nil {
		return err
	}
	return d.WaitReady(ctx)
}

// StartNode starts a member's node, after build or after it was stopped.
func (d *Deployment) StartNode(member *Member) error {
	options := []node.Option{
		node.WithDial(d.Network.Dialer(member.Domain)), node.WithListen(d.bind),
		node.WithSeed(d.seed*1000 + uint64(member.index)), node.WithLogger(d.logger),
	}
	started, err := node.New(member.Settings, append(options, d.options...)...)
	if err != nil {
		return err
	}
	member.Node = started
	return nil
}

// StartUpstream starts a member's backend server.
func (d *Deployment) StartUpstream(member *Member) error {
	options := []standin.UpstreamOption{
		standin.WithServiceTime(d.Shape.ServiceTime), standin.WithUpstreamSeed(d.seed + uint64(member.index)),
	}
	for _, service := range d.Shape.Services {
		if service.Name == member.Service && service.Calls != "" {
			options = append(options, standin.WithHandler(d.caller(member, service.Calls)))
		}
	}
	started, err := standin.NewUpstream(member.Settings.Host(), member.Service, d.Shape.Slots,
		member.Settings.UpstreamAddress(), options...)
	if err != nil {
		return err
	}
	member.Upstream = started
	return nil
}

// caller returns what a backend server does to call another service: it goes
// through its own node and hands on the headers of the chain.
func (d *Deployment) caller(member *Member, service string) func(context.Context, http.ResponseWriter, *http.Request) bool {
	return func(ctx context.Context, w http.ResponseWriter, r *http.Request) bool {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet,
			"http://"+member.Settings.CallerAddress()+"/"+service+r.URL.Path, http.NoBody)
		if err != nil {
			return false
		}
		for _, name := range []string{upstream.DepthHeader, upstream.TimeoutHeader, "Traceparent"} {
			if value := r.Header.Get(name); value != "" {
				request.Header.Set(name, value)
			}
		}
		response, err := d.client.Do(request)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return true
		}
		_ = response.Body.Close()
		if response.StatusCode >= http.StatusInternalServerError {
			w.WriteHeader(http.StatusBadGateway)
			return true
		}
		return false
	}
}

// WaitReady waits until every node holds the same revision and sees every
// running upstream ready.
func (d *Deployment) WaitReady(ctx context.Context) error {
	return d.Wait(ctx, func() bool {
		revision := uint64(0)
		for _, member := range d.Members {
			if member.Node != nil && member.Node.State() != nil {
				revision = max(revision, member.Node.State().Revision)
			}
		}
		for _, member := range d.Members {
			if member.Node != nil && !d.sees(member.Node, revision) {
				return false
			}
			if member.Node != nil && member.Upstream != nil && !member.Node.HoldsLease() {
				return false
			}
		}
		return true
	})
}

func (d *Deployment) sees(n *node.Node, revision uint64) bool {
	state := n.State()
	if state == nil || state.Revision != revision {
		return false
	}
	ready := map[string]bool{}
	for _, service := range d.Shape.Services {
		for _, target := range n.Targets(service.Name) {
			ready[target.Upstream()] = true
		}
	}
	for _, member := range d.Members {
		if member.Node != nil && member.Upstream != nil && !ready[member.Upstream.Name()] {
			return false
		}
	}
	return true
}

// Wait polls until the condition holds.
func (d *Deployment) Wait(ctx context.Context, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollPause):
		}
	}
	return nil
}

// State returns what the fleet believes of an upstream, as one node sees it.
func (d *Deployment) State(observer *Member, host string) membership.UpstreamState {
	found, ok := observer.Node.Member(host)
	if !ok || found.Status >= membership.Down {
		return membership.Absent
	}
	return found.State
}

// Close ends everything.
func (d *Deployment) Close() {
	var group sync.WaitGroup
	for _, member := range d.Members {
		group.Add(1)
		go func() {
			defer group.Done()
			if member.Lost() {
				return
			}
			if member.Node != nil {
				member.Node.Kill()
			}
			if member.Upstream != nil {
				member.Upstream.Close()
			}
		}()
	}
	group.Wait()
	for _, listener := range d.bound {
		_ = listener.Close()
	}
	d.Platform.Close()
	if d.server != nil {
		_ = d.server.Close()
	}
	d.client.CloseIdleConnections()
}
