package deployment

import (
	"cmp"
	"fmt"
	"strings"
	"time"
)

// Domain is a failure domain.
type Domain struct {
	Name   string
	Region string
}

// Service is a service with its number of upstreams.
type Service struct {
	Name      string
	Upstreams int
	// Dependency is the service that this one calls once for each of its own
	// calls, or "".
	Dependency string
}

// defaultTimeout is the time that a call may take where a Shape sets none.
const defaultTimeout = 2 * time.Second

// Shape describes a fleet.
type Shape struct {
	Name     string
	TimeZone string
	Domains  []Domain
	Services []Service
	// Slots is how many calls an upstream runs at once before it slows down.
	Slots int
	// LinkDelay plus up to LinkJitter is the one-way delay between failure domains,
	// CallerDelay the one between callers and nodes.
	LinkDelay   time.Duration
	LinkJitter  time.Duration
	CallerDelay time.Duration
	// Timeout is the time that a call may take, 2 s if it is zero.
	Timeout time.Duration
	// ServiceTime is the mean time of a call while a slot is free.
	ServiceTime time.Duration
}

// Paguyuban returns the fleet of the guild of candle sellers.
func Paguyuban() Shape {
	return Shape{
		Name: "paguyuban", TimeZone: "Asia/Jakarta", Slots: 16,
		Domains: []Domain{
			{Name: "jawa-barat", Region: "java"}, {Name: "jawa-tengah", Region: "java"}, {Name: "jawa-timur", Region: "java"},
		},
		Services: []Service{
			{Name: "etalase", Upstreams: 5},
			{Name: "kasir", Upstreams: 3},
			{Name: "pustaka", Upstreams: 3},
			{Name: "grosir", Upstreams: 3},
		},
		LinkDelay: 4 * time.Millisecond, LinkJitter: time.Millisecond,
		CallerDelay: 8 * time.Millisecond, ServiceTime: 10 * time.Millisecond,
	}
}

// Rotacesped returns the fleet of the croquet lawns.
func Rotacesped() Shape {
	return Shape{
		Name: "rotacesped", TimeZone: "America/Guayaquil", Slots: 12,
		Domains: []Domain{
			{Name: "sierra-quito", Region: "sierra"}, {Name: "sierra-cuenca", Region: "sierra"}, {Name: "sierra-ibarra", Region: "sierra"},
		},
		Services: []Service{
			{Name: "calendario", Upstreams: 5, Dependency: "escalafon"},
			{Name: "reservas", Upstreams: 3, Dependency: "calendario"},
			{Name: "archivo", Upstreams: 3},
			{Name: "escalafon", Upstreams: 3},
		},
		LinkDelay: 5 * time.Millisecond, LinkJitter: time.Millisecond,
		CallerDelay: 3 * time.Millisecond, ServiceTime: 10 * time.Millisecond,
	}
}

// Sized returns a shape with the given number of upstreams in six failure
// domains of two regions, without link delays, for measuring control traffic.
func Sized(upstreams int) Shape {
	shape := Shape{Name: fmt.Sprintf("sized-%d", upstreams), TimeZone: "UTC", Slots: 16, ServiceTime: time.Millisecond}
	for i := range 6 {
		shape.Domains = append(shape.Domains, Domain{
			Name: fmt.Sprintf("domain-%d", i+1), Region: fmt.Sprintf("region-%d", i/3+1),
		})
	}
	const services = 19
	for i := range services {
		count := upstreams / services
		if i < upstreams%services {
			count++
		}
		if count > 0 {
			shape.Services = append(shape.Services, Service{Name: fmt.Sprintf("service-%d", i+1), Upstreams: count})
		}
	}
	return shape
}

// Chain returns a shape of depth services, each of which calls the next.
func Chain(depth int) Shape {
	shape := Paguyuban()
	shape.Name = "chain"
	shape.ServiceTime = 0
	shape.LinkDelay = 0
	shape.LinkJitter = 0
	shape.Services = nil
	for i := range depth {
		service := Service{Name: fmt.Sprintf("link-%d", i+1), Upstreams: 1}
		if i+1 < depth {
			service.Dependency = fmt.Sprintf("link-%d", i+2)
		}
		shape.Services = append(shape.Services, service)
	}
	return shape
}

// Note returns the first release note of the shape, in TOML.
func (s Shape) Note() string {
	var b strings.Builder
	timeout := cmp.Or(s.Timeout, defaultTimeout)
	fmt.Fprintf(&b, "id = \"first-%s\"\nmessage = \"first note of %s\"\n", s.Name, s.Name)
	for _, service := range s.Services {
		fmt.Fprintf(&b, "\n[service.%s]\ntimeout = %q\nslots = %d\nconnections = 240\nmax-body = 268435456\n",
			service.Name, timeout, s.Slots)
	}
	for _, service := range s.Services {
		for i := range service.Upstreams {
			fmt.Fprintf(&b, "\n[upstream.%s-%d]\nservice = %q\n", service.Name, i+1, service.Name)
		}
	}
	return b.String()
}
