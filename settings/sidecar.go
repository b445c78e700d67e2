package settings

import (
	"os"
	"time"

	"github.com/banyancross/banyancross/routing"
	"github.com/banyancross/banyancross/toml"
)

// Sidecar are the checked settings of a node that runs as a sidecar on a host of
// the platform.
type Sidecar struct {
	host                  string
	failureDomain         string
	service               string
	platformAddress       string
	logLevel              string
	callerAddress         string
	nodeAddress           string
	advertisedNodeAddress string
	gossipAddress         string
	readinessAddress      string
	upstreamAddress       string
	metricsAddress        string
	backendAddress        string
	retryRatio            float64
	retrySlack            float64
	retryWindow           time.Duration
	gracePeriod           time.Duration
	memoryLimitMB         int
	transferUnit          int64
	firstStart            bool
}

// Host returns the name of the host.
func (s *Sidecar) Host() string { return s.host }

// FailureDomain returns the host's failure domain.
func (s *Sidecar) FailureDomain() string { return s.failureDomain }

// Service returns the service that the host's upstream belongs to.
func (s *Sidecar) Service() string { return s.service }

// PlatformAddress returns the address of the key-value service.
func (s *Sidecar) PlatformAddress() string { return s.platformAddress }

// LogLevel returns the least level that is logged: debug, info, warn or error.
func (s *Sidecar) LogLevel() string { return s.logLevel }

// CallerAddress returns the address that accepts requests from callers.
func (s *Sidecar) CallerAddress() string { return s.callerAddress }

// NodeAddress returns the address that accepts calls from other nodes.
func (s *Sidecar) NodeAddress() string { return s.nodeAddress }

// AdvertisedNodeAddress returns the address that other nodes send calls to. It
// differs from NodeAddress if a forwarder, such as a proxy, stands in between.
func (s *Sidecar) AdvertisedNodeAddress() string { return s.advertisedNodeAddress }

// GossipAddress returns the UDP address that other nodes send gossip to.
func (s *Sidecar) GossipAddress() string { return s.gossipAddress }

// ReadinessAddress returns the address that serves the readiness check.
func (s *Sidecar) ReadinessAddress() string { return s.readinessAddress }

// UpstreamAddress returns the address that accepts the heartbeats of the backend
// server.
func (s *Sidecar) UpstreamAddress() string { return s.upstreamAddress }

// MetricsAddress returns the address that serves the metrics.
func (s *Sidecar) MetricsAddress() string { return s.metricsAddress }

// BackendAddress returns the address of the backend server.
func (s *Sidecar) BackendAddress() string { return s.backendAddress }

// RetryRatio returns how many retries the retry budget allows per request.
func (s *Sidecar) RetryRatio() float64 { return s.retryRatio }

// RetrySlack returns how many retries of all nodes together the retry budget
// allows in addition.
func (s *Sidecar) RetrySlack() float64 { return s.retrySlack }

// RetryWindow returns the time span that the retry budget applies to.
func (s *Sidecar) RetryWindow() time.Duration { return s.retryWindow }

// GracePeriod returns the time limit of a graceful shutdown.
func (s *Sidecar) GracePeriod() time.Duration { return s.gracePeriod }

// MemoryLimitMB returns the limit of the process's memory in megabytes.
func (s *Sidecar) MemoryLimitMB() int { return s.memoryLimitMB }

// FirstStart reports whether the whole fleet starts for the first time.
func (s *Sidecar) FirstStart() bool { return s.firstStart }

// TransferUnit returns the number of bytes whose transfer between failure domains
// costs as much as the whole capacity of an upstream.
func (s *Sidecar) TransferUnit() int64 { return s.transferUnit }

// sidecarDocument is the TOML form of Sidecar.
type sidecarDocument struct {
	Host          string        `toml:"host"`
	FailureDomain string        `toml:"failure-domain"`
	Service       string        `toml:"service"`
	Platform      string        `toml:"platform"`
	LogLevel      string        `toml:"log-level"`
	Backend       string        `toml:"backend"`
	FirstStart    bool          `toml:"first-start"`
	Listen        sidecarListen `toml:"listen"`
	Bounds        sidecarBounds `toml:"bounds"`
	// Advertise holds addresses that other nodes use in place of those in Listen.
	Advertise sidecarAdvertise `toml:"advertise"`
	Placement sidecarPlacement `toml:"placement"`
}

type sidecarPlacement struct {
	TransferUnitBytes int64 `toml:"transfer-unit-bytes"`
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

// ParseSidecar decodes and checks the settings in data; name is the file name in
// errors.
func ParseSidecar(name string, data []byte) (*Sidecar, error) {
	doc := sidecarDocument{LogLevel: "info", Placement: sidecarPlacement{TransferUnitBytes: routing.DefaultTransferUnit}}
	if err := toml.Decode(name, data, &doc); err != nil {
		return nil, err
	}
	c := &checker{lines: toml.IndexLines(name, data)}
	s := &Sidecar{
		firstStart:       doc.FirstStart,
		host:             c.name(doc.Host, "host"),
		failureDomain:    c.name(doc.FailureDomain, "failure-domain"),
		service:          c.name(doc.Service, "service"),
		platformAddress:  c.address(doc.Platform, "platform"),
		logLevel:         c.oneOf(doc.LogLevel, []string{"debug", "info", "warn", "error"}, "log-level"),
		backendAddress:   c.address(doc.Backend, "backend"),
		callerAddress:    c.address(doc.Listen.Callers, "listen", "callers"),
		nodeAddress:      c.address(doc.Listen.Nodes, "listen", "nodes"),
		gossipAddress:    c.address(doc.Listen.Datagrams, "listen", "datagrams"),
		readinessAddress: c.address(doc.Listen.Ready, "listen", "ready"),
		upstreamAddress:  c.address(doc.Listen.Upstream, "listen", "upstream"),
		metricsAddress:   c.address(doc.Listen.Metrics, "listen", "metrics"),
		retryRatio:       c.positive(doc.Bounds.RetryRatio, "bounds", "retry-ratio"),
		retrySlack:       c.positive(doc.Bounds.RetrySlack, "bounds", "retry-slack"),
		retryWindow:      c.duration(doc.Bounds.RetryWindow, "bounds", "retry-window"),
		gracePeriod:      c.duration(doc.Bounds.Grace, "bounds", "grace"),
		memoryLimitMB:    int(c.positive(float64(doc.Bounds.MemoryMB), "bounds", "memory-mb")),
		transferUnit:     int64(c.positive(float64(doc.Placement.TransferUnitBytes), "placement", "transfer-unit-bytes")),
	}
	s.advertisedNodeAddress = s.nodeAddress
	if doc.Advertise.Nodes != "" {
		s.advertisedNodeAddress = c.address(doc.Advertise.Nodes, "advertise", "nodes")
	}
	if c.err != nil {
		return nil, c.err
	}
	return s, nil
}

func (c *checker) positive(value float64, path ...string) float64 {
	if value <= 0 {
		c.fail(path, "key %q: %v is not above zero", dottedKey(path), value)
	}
	return value
}

func (c *checker) duration(value string, path ...string) time.Duration {
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 {
		c.fail(path, "key %q: %q is not a duration above zero (such as 10s)", dottedKey(path), value)
	}
	return d
}
