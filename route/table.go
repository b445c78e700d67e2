package route

import (
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/banyancross/banyancross/organisation"
)

// WeightedService is a service and its weight among the targets of a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route maps the requests for a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent is set if a request may run more than once.
	Idempotent bool
	// LongResponses is set if most responses are long.
	LongResponses bool
	// Timeout is the longest time until a request is answered, zero for no bound.
	Timeout time.Duration
	// Objective is the latency objective.
	Objective time.Duration
	// MaxAttempts is the largest number of upstreams that one request is sent to.
	MaxAttempts int
	// Priority orders requests; lower is more urgent.
	Priority int
	// Public is set if requests need no key of an organisation.
	Public bool
	// Regions are the only regions that requests may enter, none for all.
	Regions []string
	Targets []WeightedService

	balancer *balancer
}

// Service is the configuration of a service.
type Service struct {
	HealthPath     string
	MaxConnections int
	// WarmupRate is how many requests per second a cold upstream tolerates, 0 for no
	// bound.
	WarmupRate float64
	// WarmupDuration is how long an upstream is cold after its start.
	WarmupDuration time.Duration
}

// Limits are the bounds on callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Definition is the content of a Table.
type Definition struct {
	Revision uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Organisations has the organisations whose callers need a key.
	Organisations *organisation.Directory
}

// Table is one revision of the configuration; it is immutable.
type Table struct {
	definition Definition
	hosts      map[string]*hostRoutes
}

// hostRoutes finds the routes of a host. Its lookup does not depend on their number, so
// that a configuration may add a thousand while requests pass.
type hostRoutes struct {
	byPrefix map[string]*Route
	// longest is the length of the longest prefix in bytes.
	longest int
}

func (h *hostRoutes) add(r *Route) {
	h.byPrefix[r.Prefix] = r
	h.longest = max(h.longest, len(r.Prefix))
}

// match returns the route with the longest prefix of path, nil if there is none. All
// prefixes end with a slash.
func (h *hostRoutes) match(path string) *Route {
	for end := min(len(path), h.longest); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if r := h.byPrefix[path[:end]]; r != nil {
			return r
		}
	}
	return nil
}

// NewTable validates a definition and returns its Table.
func NewTable(d Definition) (*Table, error) {
	t := &Table{definition: d, hosts: map[string]*hostRoutes{}}
	for name, service := range d.Services {
		if !(service.WarmupRate >= 0 && service.WarmupRate <= math.MaxFloat32) || service.WarmupDuration < 0 {
			return nil, invalid("service %q: the warmup rate or duration is out of range", name)
		}
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := t.validate(r); err != nil {
			return nil, err
		}
		r.balancer = newBalancer(r.Targets)
		host := strings.ToLower(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = &hostRoutes{byPrefix: map[string]*Route{}}
		}
		t.hosts[host].add(r)
	}
	return t, nil
}

func (t *Table) validate(r *Route) error {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return invalid("route %q: host %q is empty or prefix %q does not start and end with a slash", r.Name, r.Host, r.Prefix)
	}
	if len(r.Targets) == 0 {
		return invalid("route %q has neither a service nor a split", r.Name)
	}
	if slices.Contains(r.Regions, "") {
		return invalid("route %q has a region without a name", r.Name)
	}
	if r.Timeout < 0 || r.Objective < 0 || r.MaxAttempts < 0 {
		return invalid("route %q has a negative timeout, latency objective or number of attempts", r.Name)
	}
	if h := t.hosts[strings.ToLower(r.Host)]; h != nil && h.byPrefix[r.Prefix] != nil {
		return invalid("routes %q and %q have the same host and prefix", h.byPrefix[r.Prefix].Name, r.Name)
	}
	for _, target := range r.Targets {
		if _, ok := t.definition.Services[target.Service]; !ok {
			return invalid("route %q: service %q does not exist", r.Name, target.Service)
		}
		if target.Weight < 0 || math.IsNaN(target.Weight) {
			return invalid("route %q: the weight of service %q is negative or not a number", r.Name, target.Service)
		}
	}
	return nil
}

// Regions returns the regions that routes and organisations name, sorted.
func (t *Table) Regions() []string {
	named := map[string]bool{}
	for i := range t.definition.Routes {
		for _, region := range t.definition.Routes[i].Regions {
			named[region] = true
		}
	}
	for _, name := range t.definition.Organisations.Names() {
		o, _ := t.definition.Organisations.Named(name)
		for _, region := range o.Regions() {
			named[region] = true
		}
	}
	return slices.Sorted(maps.Keys(named))
}

// Revision returns the revision of the configuration.
func (t *Table) Revision() uint64 { return t.definition.Revision }

// Limits returns the bounds on callers' requests.
func (t *Table) Limits() Limits { return t.definition.Limits }

// Organisations returns the organisations whose callers need a key, none if callers need
// no keys.
func (t *Table) Organisations() *organisation.Directory { return t.definition.Organisations }

// Service returns the configuration of a service.
func (t *Table) Service(name string) (Service, bool) {
	service, ok := t.definition.Services[name]
	return service, ok
}

// ServiceNames returns the names of all services, sorted.
func (t *Table) ServiceNames() []string {
	return slices.Sorted(maps.Keys(t.definition.Services))
}

// Match returns the route for a host and path, nil if there is none.
func (t *Table) Match(host, path string) *Route {
	if h := t.hosts[canonicalHost(host)]; h != nil {
		return h.match(path)
	}
	return nil
}

// canonicalHost removes the port of a Host header and converts it to lower case.
func canonicalHost(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}

// NextService returns the service that the route's next request goes to.
func (r *Route) NextService() string { return r.balancer.next() }

// PeekService returns the service that NextService would return, and leaves the
// distribution of the requests unchanged.
func (r *Route) PeekService() string { return r.balancer.peek() }

// balancer distributes requests over targets by smooth weighted round robin; it
// is safe for concurrent use.
type balancer struct {
	mu          sync.Mutex
	targets     []WeightedService
	totalWeight float64
	credit      []float64
}

func newBalancer(targets []WeightedService) *balancer {
	b := &balancer{targets: targets, credit: make([]float64, len(targets))}
	for _, target := range targets {
		b.totalWeight += target.Weight
	}
	return b
}

// next adds each target's weight to its credit, and chooses the target with the
// highest credit, from which it subtracts the total weight.
func (b *balancer) next() string {
	if len(b.targets) == 1 || b.totalWeight <= 0 {
		return b.targets[0].Service
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.step(b.credit)
}

// peek returns what next would return.
func (b *balancer) peek() string {
	if len(b.targets) == 1 || b.totalWeight <= 0 {
		return b.targets[0].Service
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.step(slices.Clone(b.credit))
}

// step chooses a target and changes the credits.
func (b *balancer) step(credit []float64) string {
	best := 0
	for i := range b.targets {
		credit[i] += b.targets[i].Weight
		if credit[i] > credit[best] {
			best = i
		}
	}
	credit[best] -= b.totalWeight
	return b.targets[best].Service
}
