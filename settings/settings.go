package settings

import (
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"time"

	"github.com/banyancross/banyancross/toml"
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	KindRead    Kind = "read"
	KindInvalid Kind = "invalid value"
)

// Error is the error type of this package.
type Error struct {
	op       string
	kind     Kind
	position string
	message  string
}

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.position, e.kind, e.message)
}

// Settings are the checked settings of a node.
type Settings struct {
	host             string
	failureDomain    string
	region           string
	callerAddress    string
	nodeAddress      string
	upstreamAddress  string
	operatorAddress  string
	platformAddress  string
	contactAddresses []string
	location         *time.Location
	logLevel         string
	traceCollector   string
}

// Host returns the name of the host.
func (s *Settings) Host() string { return s.host }

// FailureDomain returns the host's failure domain.
func (s *Settings) FailureDomain() string { return s.failureDomain }

// Region returns the host's region.
func (s *Settings) Region() string { return s.region }

// CallerAddress returns the address that accepts calls from callers.
func (s *Settings) CallerAddress() string { return s.callerAddress }

// NodeAddress returns the address that accepts connections from other nodes.
func (s *Settings) NodeAddress() string { return s.nodeAddress }

// UpstreamAddress returns the address that accepts the announcements of the
// backend server.
func (s *Settings) UpstreamAddress() string { return s.upstreamAddress }

// OperatorAddress returns the address of the operators' interface.
func (s *Settings) OperatorAddress() string { return s.operatorAddress }

// PlatformAddress returns the address of the key-value service.
func (s *Settings) PlatformAddress() string { return s.platformAddress }

// ContactAddresses returns the addresses of other nodes to join the fleet through.
func (s *Settings) ContactAddresses() []string { return s.contactAddresses }

// Location returns the time zone that sets where a day of the daily totals begins.
func (s *Settings) Location() *time.Location { return s.location }

// LogLevel returns the least level that is logged: debug, info, warn or error.
func (s *Settings) LogLevel() string { return s.logLevel }

// TraceCollector returns the address of an OTLP collector that accepts traces over
// HTTP, or "none".
func (s *Settings) TraceCollector() string { return s.traceCollector }

// document is the TOML form of Settings.
type document struct {
	Host          string   `toml:"host"`
	FailureDomain string   `toml:"failure-domain"`
	Region        string   `toml:"region"`
	TimeZone      string   `toml:"time-zone"`
	LogLevel      string   `toml:"log-level"`
	Traces        string   `toml:"traces"`
	Platform      string   `toml:"platform"`
	Contacts      []string `toml:"contacts"`
	Listen        listen   `toml:"listen"`
}

type listen struct {
	Callers   string `toml:"callers"`
	Nodes     string `toml:"nodes"`
	Upstream  string `toml:"upstream"`
	Operators string `toml:"operators"`
}

// Read reads and checks the settings file at path.
func Read(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{op: "read", kind: KindRead, position: path, message: err.Error()}
	}
	return Parse(path, data)
}

// Parse decodes and checks the settings in data; name is the file name in errors.
func Parse(name string, data []byte) (*Settings, error) {
	doc := document{LogLevel: "info", Traces: "none", TimeZone: "UTC"}
	if err := toml.Decode(name, data, &doc); err != nil {
		return nil, err
	}
	c := &checker{lines: toml.IndexLines(name, data)}
	s := &Settings{
		host:            c.name(doc.Host, "host"),
		failureDomain:   c.name(doc.FailureDomain, "failure-domain"),
		region:          c.name(doc.Region, "region"),
		callerAddress:   c.address(doc.Listen.Callers, "listen", "callers"),
		nodeAddress:     c.address(doc.Listen.Nodes, "listen", "nodes"),
		upstreamAddress: c.address(doc.Listen.Upstream, "listen", "upstream"),
		operatorAddress: c.address(doc.Listen.Operators, "listen", "operators"),
		platformAddress: c.address(doc.Platform, "platform"),
		location:        c.location(doc.TimeZone),
		logLevel:        c.oneOf(doc.LogLevel, []string{"debug", "info", "warn", "error"}, "log-level"),
		traceCollector:  doc.Traces,
	}
	for _, contact := range doc.Contacts {
		s.contactAddresses = append(s.contactAddresses, c.address(contact, "contacts"))
	}
	if s.traceCollector != "none" {
		c.address(s.traceCollector, "traces")
	}
	if c.err != nil {
		return nil, c.err
	}
	return s, nil
}

var kebabCase = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// checker checks the values of a document and records the first error.
type checker struct {
	lines *toml.Lines
	err   error
}

func (c *checker) fail(path []string, format string, args ...any) {
	if c.err == nil {
		c.err = &Error{
			op: "parse", kind: KindInvalid, position: c.lines.Position(path...),
			message: fmt.Sprintf(format, args...),
		}
	}
}

func (c *checker) name(value string, path ...string) string {
	if !kebabCase.MatchString(value) {
		c.fail(path, "key %q: %q is not a name in kebab case (such as etalase-1)", dottedKey(path), value)
	}
	return value
}

func (c *checker) address(value string, path ...string) string {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		c.fail(path, "key %q: %q is not an IP number and port (such as 127.0.0.1:7001)", dottedKey(path), value)
	}
	return value
}

func (c *checker) oneOf(value string, allowed []string, path ...string) string {
	for _, a := range allowed {
		if a == value {
			return value
		}
	}
	c.fail(path, "key %q: %q is not one of %q", dottedKey(path), value, allowed)
	return value
}

func (c *checker) location(value string) *time.Location {
	location, err := time.LoadLocation(value)
	if err != nil {
		c.fail([]string{"time-zone"}, "key %q: %q is not a time zone (such as Asia/Jakarta)", "time-zone", value)
	}
	return location
}

func dottedKey(path []string) string {
	text := path[0]
	for _, part := range path[1:] {
		text += "." + part
	}
	return text
}
