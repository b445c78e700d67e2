package deployment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
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
	pollInterval = 20 * time.Millisecond
	// staggeredStartSize is the number of members from which starts are spaced
	// by startInterval: starting all nodes at once in one process exhausts its
	// file descriptors.
	staggeredStartSize = 60
	startInterval      = 25 * time.Millisecond
)

// Member is one host of a deployment: a node and the backend server beside it.
type Member struct {
	Settings *settings.Settings
	Node     *node.Node
	Upstream *standin.Upstream
	Domain   string
	Service  string
	index    int
	failed   atomic.Bool
}

// Failed reports whether Fail was called.
func (m *Member) Failed() bool { return m.failed.Load() }

// Fail kills the member's node and its backend server, without draining.
func (m *Member) Fail() {
	m.failed.Store(true)
	m.Node.Kill()
	m.Upstream.Close()
}

// FailDomain fails all members of a failure domain at the same time.
func (d *Deployment) FailDomain(domain string) {
	var group sync.WaitGroup
	for _, member := range d.Members {
		if member.Domain != domain {
			continue
		}
		group.Add(1)
		go func() {
			defer group.Done()
			member.Fail()
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

	options         []node.Option
	upstreamOptions []standin.UpstreamOption
	logger          log.Logger
	seed            uint64
	// contacts holds the first node address of each failure domain, for the
	// setting of that name.
	contacts        []string
	platformAddress string
	platformServer  *http.Server
	mu              sync.Mutex
	rng             *rand.Rand
	// listeners holds the listeners bound before their nodes start, by address.
	listeners map[string]net.Listener
	// chainClient sends the calls between services.
	chainClient *http.Client
}

// Option configures a Deployment.
type Option func(*Deployment)

// WithSeed seeds the random number generators of nodes and stand-ins.
func WithSeed(seed uint64) Option { return func(d *Deployment) { d.seed = seed } }

// WithNodeOptions passes options to every node.
func WithNodeOptions(options ...node.Option) Option {
	return func(d *Deployment) { d.options = append(d.options, options...) }
}

// WithUpstreamOptions passes options to every backend server.
func WithUpstreamOptions(options ...standin.UpstreamOption) Option {
	return func(d *Deployment) { d.upstreamOptions = append(d.upstreamOptions, options...) }
}

// WithLogger sets where the nodes log.
func WithLogger(logger log.Logger) Option { return func(d *Deployment) { d.logger = logger } }

// Start starts the platform, the nodes and the backend servers, publishes the
// first release note, and waits until every upstream is ready on every node.
func Start(ctx context.Context, shape Shape, options ...Option) (*Deployment, error) {
	d := &Deployment{
		Shape: shape, Platform: standin.NewPlatform(), logger: log.NewNopLogger(), seed: 1,
		listeners: map[string]net.Listener{},
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
	d.chainClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	if err := d.prepareMembers(); err != nil {
		d.Close()
		return nil, err
	}
	if err := d.startMembers(ctx); err != nil {
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

// prepareMembers starts the platform, and binds the addresses and builds the
// settings of all members.
func (d *Deployment) prepareMembers() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.platformAddress = listener.Addr().String()
	d.platformServer = &http.Server{Handler: d.Platform, ReadHeaderTimeout: time.Minute}
	go func() { _ = d.platformServer.Serve(listener) }()
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
		d.listeners[addresses[i]] = listener
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
`, host, domain.Name, domain.Region, d.Shape.TimeZone, d.platformAddress, quoted(d.contacts),
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

// listen returns the listener bound by addMember, or binds the address again
// after a restart.
func (d *Deployment) listen(address string) (net.Listener, error) {
	d.mu.Lock()
	listener, ok := d.listeners[address]
	delete(d.listeners, address)
	d.mu.Unlock()
	if ok {
		return listener, nil
	}
	return net.Listen("tcp", address)
}

func (d *Deployment) startMembers(ctx context.Context) error {
	for _, member := range d.Members {
		if err := d.StartNode(member); err != nil {
			return err
		}
		if err := d.StartUpstream(member); err != nil {
			return err
		}
		if len(d.Members) >= staggeredStartSize {
			time.Sleep(startInterval)
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

// StartNode starts a member's node, the first time or after it was stopped.
func (d *Deployment) StartNode(member *Member) error {
	options := []node.Option{
		node.WithDial(d.Network.Dialer(member.Domain)), node.WithListen(d.listen),
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
		if service.Name == member.Service && service.Dependency != "" {
			options = append(options, standin.WithHandler(d.callNext(member, service.Dependency)))
		}
	}
	started, err := standin.NewUpstream(member.Settings.Host(), member.Service, d.Shape.Slots,
		member.Settings.UpstreamAddress(), append(options, d.upstreamOptions...)...)
	if err != nil {
		return err
	}
	member.Upstream = started
	return nil
}

// callNext returns a function with which a backend server calls another service
// through its own node, passing on the depth, timeout and trace headers. It
// returns true when that call failed and it has answered with status 502.
func (d *Deployment) callNext(member *Member, service string) func(context.Context, http.ResponseWriter, *http.Request) bool {
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
		response, err := d.chainClient.Do(request)
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

// WaitReady waits until every node is at the newest revision, has every running
// upstream among its targets, and accepts newly issued idempotency keys for its
// own upstream. If the context ends before, the error says which members are not
// ready and why.
func (d *Deployment) WaitReady(ctx context.Context) error {
	var reasons []string
	err := d.Wait(ctx, func() bool {
		reasons = d.unready()
		return len(reasons) == 0
	})
	if err != nil {
		return fmt.Errorf("%w: not ready: %s", err, strings.Join(reasons, ", "))
	}
	return nil
}

// revision returns the newest revision in force at a node.
func (d *Deployment) revision() uint64 {
	revision := uint64(0)
	for _, member := range d.Members {
		if member.Node != nil && member.Node.State() != nil {
			revision = max(revision, member.Node.State().Revision)
		}
	}
	return revision
}

// unready returns what keeps the fleet from being ready, none if it is. Of an upstream that
// some nodes lack, it gives the state at its own node, which tells whether the upstream or the
// nodes are late.
func (d *Deployment) unready() []string {
	revision := d.revision()
	var reasons []string
	missing := map[string][]string{}
	for _, member := range d.Members {
		if member.Node == nil {
			continue
		}
		host := member.Settings.Host()
		if state := member.Node.State(); state == nil || state.Revision != revision {
			reasons = append(reasons, fmt.Sprintf("%s is not at revision %d", host, revision))
			continue
		}
		if member.Upstream != nil && !member.Node.HoldsLease() {
			reasons = append(reasons, host+" has no lease")
		}
		for _, name := range d.missingTargets(member.Node) {
			missing[name] = append(missing[name], host)
		}
	}
	for _, member := range d.Members {
		if member.Upstream == nil || len(missing[member.Upstream.Name()]) == 0 {
			continue
		}
		reasons = append(reasons, fmt.Sprintf("upstream %s (%s at its node) is no target of %s", member.Upstream.Name(),
			d.State(member, member.Settings.Host()), shorten(missing[member.Upstream.Name()])))
	}
	return reasons
}

// shorten returns the first hosts and the number of the others: a large fleet has too
// many for an error.
func shorten(hosts []string) string {
	const limit = 8
	if len(hosts) <= limit {
		return strings.Join(hosts, " ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(hosts[:limit], " "), len(hosts)-limit)
}

// missingTargets returns the running upstreams that are not among a node's targets.
func (d *Deployment) missingTargets(n *node.Node) []string {
	targets := map[string]bool{}
	for _, service := range d.Shape.Services {
		for _, target := range n.Targets(service.Name) {
			targets[target.Upstream()] = true
		}
	}
	var missing []string
	for _, member := range d.Members {
		if member.Node != nil && member.Upstream != nil && !targets[member.Upstream.Name()] {
			missing = append(missing, member.Upstream.Name())
		}
	}
	return missing
}

// Wait polls until the condition holds or the context ends.
func (d *Deployment) Wait(ctx context.Context, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// State returns the state of a host's upstream as observed by one node; it is
// Absent if the node does not know the host or has marked it down.
func (d *Deployment) State(observer *Member, host string) membership.UpstreamState {
	member, ok := observer.Node.Member(host)
	if !ok || member.Status >= membership.Down {
		return membership.Absent
	}
	return member.State
}

// Close kills the nodes, the backend servers and the platform.
func (d *Deployment) Close() {
	var group sync.WaitGroup
	for _, member := range d.Members {
		group.Add(1)
		go func() {
			defer group.Done()
			if member.Failed() {
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
	for _, listener := range d.listeners {
		_ = listener.Close()
	}
	d.Platform.Close()
	if d.platformServer != nil {
		_ = d.platformServer.Close()
	}
	d.chainClient.CloseIdleConnections()
}
