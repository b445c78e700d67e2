package route

import (
	"math"
	"sort"
	"strings"
	"sync"
	"time"
)

// WeightedService is one of the services that a route's requests are spread over.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route tells where the requests of a host and path go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent tells that a request may run more than once.
	Idempotent bool
	// Timeout is how long a request may be kept waiting, zero for no bound.
	Timeout time.Duration
	// Objective is the latency objective.
	Objective time.Duration
	// MaxAttempts bounds the upstreams that one request may be sent to.
	MaxAttempts int
	// Priority is lower for more urgent requests.
	Priority int
	Services []WeightedService

	spread *spread
}

// Service is what the operators say of a service.
type Service struct {
	HealthPath     string
	MaxConnections int
}

// Limits bound what a caller may send.
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
}

// Table is one revision of the configuration; it does not change.
type Table struct {
	definition Definition
	hosts      map[string][]*Route
}

// NewTable checks a definition and returns its Table.
func NewTable(d Definition) (*Table, error) {
	t := &Table{definition: d, hosts: map[string][]*Route{}}
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := t.check(r); err != nil {
			return nil, err
		}
		r.spread = newSpread(r.Services)
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return t, nil
}

func (t *Table) check(r *Route) error {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return invalid("route %q: host %q and prefix %q do not name a path", r.Name, r.Host, r.Prefix)
	}
	if len(r.Services) == 0 {
		return invalid("route %q has no service", r.Name)
	}
	if r.Timeout < 0 || r.Objective < 0 || r.MaxAttempts < 0 {
		return invalid("route %q has a negative bound", r.Name)
	}
	for _, other := range t.hosts[strings.ToLower(r.Host)] {
		if other.Prefix == r.Prefix {
			return invalid("routes %q and %q have the same host and prefix", other.Name, r.Name)
		}
	}
	for _, part := range r.Services {
		if _, ok := t.definition.Services[part.Service]; !ok {
			return invalid("route %q: service %q does not exist", r.Name, part.Service)
		}
		if part.Weight < 0 || math.IsNaN(part.Weight) {
			return invalid("route %q: the weight of service %q is negative", r.Name, part.Service)
		}
	}
	return nil
}

// Revision returns the number of the configuration.
func (t *Table) Revision() uint64 { return t.definition.Revision }

// Limits returns the bounds on callers' requests.
func (t *Table) Limits() Limits { return t.definition.Limits }

// Service returns what the operators say of a service.
func (t *Table) Service(name string) (Service, bool) {
	service, ok := t.definition.Services[name]
	return service, ok
}

// Match returns the route of a host and path, nil when there is none.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// canonicalHost drops the port and the case of a Host header.
func canonicalHost(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}

// NextService returns the service that the route's next request goes to.
func (r *Route) NextService() string { return r.spread.next() }

// spread deals requests out to parts by weight; it is safe for concurrent use.
type spread struct {
	mu     sync.Mutex
	parts  []WeightedService
	total  float64
	credit []float64
}

func newSpread(parts []WeightedService) *spread {
	s := &spread{parts: parts, credit: make([]float64, len(parts))}
	for _, part := range parts {
		s.total += part.Weight
	}
	return s
}

// next gives each part its weight and takes the total from the richest.
func (s *spread) next() string {
	if len(s.parts) == 1 || s.total <= 0 {
		return s.parts[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	best := 0
	for i := range s.parts {
		s.credit[i] += s.parts[i].Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= s.total
	return s.parts[best].Service
}
