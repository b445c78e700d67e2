package settings

import (
	"maps"
	"math"
	"os"
	"slices"
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
	leaveDomain           string
	domainBytePrice       float64
	regionBytePrice       float64
	firstStart            bool
	region                string
	regions               map[string]string
	quotaWindow           time.Duration
	quotaOverage          float64
	quotaSlack            float64
	warmupOverage         float64
	warmupSlack           float64
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

// LeavesByRoom reports whether calls leave their failure domain by the room there and at
// the prices of the ways, in place of a constant cost: if the settings say so, or say
// nothing and name more than one region, as one constant can't be right for both ways.
func (s *Sidecar) LeavesByRoom() bool {
	if s.leaveDomain == "" {
		return s.manyRegions()
	}
	return s.leaveDomain == leaveByRoom
}

// manyRegions reports whether the settings name more than one region.
func (s *Sidecar) manyRegions() bool {
	for _, region := range s.regions {
		if region != s.RegionOf(s.failureDomain) {
			return true
		}
	}
	return false
}

// DomainBytePrice returns the price of a byte between failure domains of a region:
// TransferUnit bytes at a price of 1 cost as much as a lost answer.
func (s *Sidecar) DomainBytePrice() float64 { return s.domainBytePrice }

// RegionBytePrice returns the price of a byte between regions; see DomainBytePrice.
func (s *Sidecar) RegionBytePrice() float64 { return s.regionBytePrice }

// Region returns the host's region, "" if the settings have none.
func (s *Sidecar) Region() string { return s.region }

// RegionOf returns the region of a failure domain, "" if the settings do not say.
func (s *Sidecar) RegionOf(failureDomain string) string {
	if failureDomain == s.failureDomain && s.region != "" {
		return s.region
	}
	return s.regions[failureDomain]
}

// HasRegion reports whether a region is the host's or that of a known failure domain.
func (s *Sidecar) HasRegion(region string) bool {
	return region == s.region || slices.Contains(slices.Collect(maps.Values(s.regions)), region)
}

// FailureDomains returns the known failure domains, sorted.
func (s *Sidecar) FailureDomains() []string { return slices.Sorted(maps.Keys(s.regions)) }

// QuotaWindow returns the time span over which the requests of an organisation are
// counted.
func (s *Sidecar) QuotaWindow() time.Duration { return s.quotaWindow }

// QuotaOverage returns the share of a quota that may be exceeded in a window.
func (s *Sidecar) QuotaOverage() float64 { return s.quotaOverage }

// QuotaSlack returns how many requests beyond the quota a window may hold in addition.
func (s *Sidecar) QuotaSlack() float64 { return s.quotaSlack }

// WarmupOverage returns the factor by which the rate of requests to a cold upstream may
// exceed what it tolerates.
func (s *Sidecar) WarmupOverage() float64 { return s.warmupOverage }

// WarmupSlack returns how many requests a cold upstream may get in a second in
// addition.
func (s *Sidecar) WarmupSlack() float64 { return s.warmupSlack }

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
	Region    string           `toml:"region"`
	// Regions holds the region of each failure domain.
	Regions map[string]string `toml:"regions"`
}

type sidecarPlacement struct {
	TransferUnitBytes int64 `toml:"transfer-unit-bytes"`
	// LeaveDomain is by-room, by-constant, or "" for by-room where there are several regions.
	LeaveDomain     string  `toml:"leave-domain"`
	DomainBytePrice float64 `toml:"domain-byte-price"`
	RegionBytePrice float64 `toml:"region-byte-price"`
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
	// The quotas of organisations and the warmup of upstreams come with the
	// configuration; these bounds say how strictly they are kept.
	QuotaWindow   string  `toml:"quota-window"`
	QuotaOverage  float64 `toml:"quota-overage"`
	QuotaSlack    float64 `toml:"quota-slack"`
	WarmupOverage float64 `toml:"warmup-overage"`
	WarmupSlack   float64 `toml:"warmup-slack"`
}

const (
	// defaultQuotaWindow is the default of the span over which a quota is counted.
	defaultQuotaWindow = "5s"
	// defaultDomainBytePrice and defaultRegionBytePrice are the defaults of the prices of
	// bytes: a way between regions uses the links of two domains and the one between.
	defaultDomainBytePrice = 1
	defaultRegionBytePrice = 2
	// leaveByRoom and leaveByConstant are values of placement.leave-domain.
	leaveByRoom     = "by-room"
	leaveByConstant = "by-constant"
	// defaultWarmupOverage allows cold upstreams what they tolerate.
	defaultWarmupOverage = 1
)

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
	doc := sidecarDocument{
		LogLevel: "info", Placement: sidecarPlacement{
			TransferUnitBytes: routing.DefaultTransferUnit, DomainBytePrice: defaultDomainBytePrice, RegionBytePrice: defaultRegionBytePrice,
		},
		Bounds: sidecarBounds{QuotaWindow: defaultQuotaWindow, WarmupOverage: defaultWarmupOverage},
	}
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
		quotaWindow:      c.duration(doc.Bounds.QuotaWindow, "bounds", "quota-window"),
		quotaOverage:     c.notNegative(doc.Bounds.QuotaOverage, "bounds", "quota-overage"),
		quotaSlack:       c.notNegative(doc.Bounds.QuotaSlack, "bounds", "quota-slack"),
		warmupOverage:    c.positive(doc.Bounds.WarmupOverage, "bounds", "warmup-overage"),
		warmupSlack:      c.notNegative(doc.Bounds.WarmupSlack, "bounds", "warmup-slack"),
		region:           doc.Region,
		regions:          doc.Regions,
		transferUnit:     int64(c.positive(float64(doc.Placement.TransferUnitBytes), "placement", "transfer-unit-bytes")),
		leaveDomain:      c.oneOf(doc.Placement.LeaveDomain, []string{"", leaveByRoom, leaveByConstant}, "placement", "leave-domain"),
		domainBytePrice:  c.notNegative(doc.Placement.DomainBytePrice, "placement", "domain-byte-price"),
		regionBytePrice:  c.notNegative(doc.Placement.RegionBytePrice, "placement", "region-byte-price"),
	}
	if doc.Region != "" {
		c.name(doc.Region, "region")
	}
	for domain, region := range doc.Regions {
		c.name(domain, "regions", domain)
		c.name(region, "regions", domain)
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
	if !(value > 0) {
		c.fail(path, "key %q: %v is not above zero", dottedKey(path), value)
	}
	return c.finite(value, path...)
}

func (c *checker) notNegative(value float64, path ...string) float64 {
	if !(value >= 0) {
		c.fail(path, "key %q: %v is below zero", dottedKey(path), value)
	}
	return c.finite(value, path...)
}

func (c *checker) finite(value float64, path ...string) float64 {
	if math.IsInf(value, 0) {
		c.fail(path, "key %q: %v is not finite", dottedKey(path), value)
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
