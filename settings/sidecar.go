package settings

import (
	"os"
	"time"

	"github.com/banyancross/banyancross/toml"
)

// Sidecar are the checked settings of a node on a host that the platform runs.
type Sidecar struct {
	host          string
	failureDomain string
	service       string
	platform      string
	logLevel      string
	callers       string
	nodes         string
	advertised    string
	datagrams     string
	ready         string
	upstream      string
	metrics       string
	backend       string
	retryRatio    float64
	retrySlack    float64
	retryWindow   time.Duration
	grace         time.Duration
	memory        int
}

// Host returns the name of the host.
func (s *Sidecar) Host() string { return s.host }

// FailureDomain returns the host's failure domain.
func (s *Sidecar) FailureDomain() string { return s.failureDomain }

// Service returns the service of the host's upstream.
func (s *Sidecar) Service() string { return s.service }

// PlatformAddress returns the address of the key-value service.
func (s *Sidecar) PlatformAddress() string { return s.platform }

// LogLevel returns debug, info, warn or error.
func (s *Sidecar) LogLevel() string { return s.logLevel }

// CallerAddress returns the address that takes requests.
func (s *Sidecar) CallerAddress() string { return s.callers }

// NodeAddress returns the address that takes the calls of other nodes.
func (s *Sidecar) NodeAddress() string { return s.nodes }

// AdvertisedNodeAddress returns the address that other nodes send calls to: that of
// Nodes, unless something stands between them that forwards to it.
func (s *Sidecar) AdvertisedNodeAddress() string { return s.advertised }

// GossipAddress returns the address that other nodes send beacons to.
func (s *Sidecar) GossipAddress() string { return s.datagrams }

// ReadinessAddress returns the address that tells whether the node takes requests.
func (s *Sidecar) ReadinessAddress() string { return s.ready }

// UpstreamAddress returns the address that the backend server reports itself to.
func (s *Sidecar) UpstreamAddress() string { return s.upstream }

// MetricsAddress returns the address of the metrics.
func (s *Sidecar) MetricsAddress() string { return s.metrics }

// BackendAddress returns the address of the backend server.
func (s *Sidecar) BackendAddress() string { return s.backend }

// RetryRatio returns how many repeats may be sent for each request.
func (s *Sidecar) RetryRatio() float64 { return s.retryRatio }

// RetrySlack returns how many repeats all nodes may send besides.
func (s *Sidecar) RetrySlack() float64 { return s.retrySlack }

// RetryWindow returns the time over which repeats are counted.
func (s *Sidecar) RetryWindow() time.Duration { return s.retryWindow }

// GracePeriod returns how long a stop may take.
func (s *Sidecar) GracePeriod() time.Duration { return s.grace }

// MemoryLimitMB returns the bound on the process's memory in megabytes.
func (s *Sidecar) MemoryLimitMB() int { return s.memory }

type sidecarDocument struct {
	Host          string        `toml:"host"`
	FailureDomain string        `toml:"failure-domain"`
	Service       string        `toml:"service"`
	Platform      string        `toml:"platform"`
	LogLevel      string        `toml:"log-level"`
	Backend       string        `toml:"backend"`
	Listen        sidecarListen `toml:"listen"`
	Bounds        sidecarBounds `toml:"bounds"`
	// Advertise holds what other nodes are told instead of an address of Listen.
	Advertise sidecarAdvertise `toml:"advertise"`
}

type sidecarAdvertise struct {
	Nodes string `toml:"nodes"`
}

type sidecarListen struct {
	Callers   string `toml:"callers"`
	Nodes     string `toml:"nodes"`
	Datagrams string `toml:"datagrams"`
	Ready     string `toml:"ready"`
	Upstream  string `toml:"upstream"`
	Metrics   string `toml:"metrics"`
}

type sidecarBounds struct {
	RetryRatio  float64 `toml:"retry-ratio"`
	RetrySlack  float64 `toml:"retry-slack"`
	RetryWindow string  `toml:"retry-window"`
	Grace       string  `toml:"grace"`
	MemoryMB    int     `toml:"memory-mb"`
}

// ReadSidecar reads and checks the settings file at path.
func ReadSidecar(path string) (*Sidecar, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{op: "read", kind: KindRead, position: path, message: err.Error()}
	}
	return ParseSidecar(path, data)
}

// ParseSidecar checks the settings in data, from the file called name.
func ParseSidecar(name string, data []byte) (*Sidecar, error) {
	doc := sidecarDocument{LogLevel: "info"}
	if err := toml.Decode(name, data, &doc); err != nil {
		return nil, err
	}
	c := &checker{lines: toml.IndexLines(name, data)}
	s := &Sidecar{
		host:          c.name(doc.Host, "host"),
		failureDomain: c.name(doc.FailureDomain, "failure-domain"),
		service:       c.name(doc.Service, "service"),
		platform:      c.address(doc.Platform, "platform"),
		logLevel:      c.oneOf(doc.LogLevel, []string{"debug", "info", "warn", "error"}, "log-level"),
		backend:       c.address(doc.Backend, "backend"),
		callers:       c.address(doc.Listen.Callers, "listen", "callers"),
		nodes:         c.address(doc.Listen.Nodes, "listen", "nodes"),
		datagrams:     c.address(doc.Listen.Datagrams, "listen", "datagrams"),
		ready:         c.address(doc.Listen.Ready, "listen", "ready"),
		upstream:      c.address(doc.Listen.Upstream, "listen", "upstream"),
		metrics:       c.address(doc.Listen.Metrics, "listen", "metrics"),
		retryRatio:    c.positive(doc.Bounds.RetryRatio, "bounds", "retry-ratio"),
		retrySlack:    c.positive(doc.Bounds.RetrySlack, "bounds", "retry-slack"),
		retryWindow:   c.duration(doc.Bounds.RetryWindow, "bounds", "retry-window"),
		grace:         c.duration(doc.Bounds.Grace, "bounds", "grace"),
		memory:        int(c.positive(float64(doc.Bounds.MemoryMB), "bounds", "memory-mb")),
	}
	s.advertised = s.nodes
	if doc.Advertise.Nodes != "" {
		s.advertised = c.address(doc.Advertise.Nodes, "advertise", "nodes")
	}
	if c.err != nil {
		return nil, c.err
	}
	return s, nil
}

func (c *checker) positive(value float64, path ...string) float64 {
	if value <= 0 {
		c.fail(path, "key %q: %v is not above zero", dotted(path), value)
	}
	return value
}

func (c *checker) duration(value string, path ...string) time.Duration {
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 {
		c.fail(path, "key %q: %q is not a time above zero (such as 10s)", dotted(path), value)
	}
	return d
}
