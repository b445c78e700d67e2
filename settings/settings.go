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

// Kind returns the class of the error.
func (e *Error) Kind() Kind { return e.kind }

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.position, e.kind, e.message)
}

// Settings are the checked settings of a node.
type Settings struct {
	host          string
	failureDomain string
	region        string
	callers       string
	nodes         string
	upstream      string
	operators     string
	platform      string
	contacts      []string
	location      *time.Location
	logLevel      string
	traces        string
}

// Host returns the name of the host.
func (s *Settings) Host() string { return s.host }

// FailureDomain returns the host's failure domain.
func (s *Settings) FailureDomain() string { return s.failureDomain }

// Region returns the host's region.
func (s *Settings) Region() string { return s.region }

// CallerAddress returns the address that takes calls.
func (s *Settings) CallerAddress() string { return s.callers }

// NodeAddress returns the address that other nodes connect to.
func (s *Settings) NodeAddress() string { return s.nodes }

// UpstreamAddress returns the address that the backend server announces itself to.
func (s *Settings) UpstreamAddress() string { return s.upstream }

// OperatorAddress returns the address of the operators' interface.
func (s *Settings) OperatorAddress() string { return s.operators }

// PlatformAddress returns the address of the key-value service.
func (s *Settings) PlatformAddress() string { return s.platform }

// ContactAddresses returns the addresses of nodes to join through.
func (s *Settings) ContactAddresses() []string { return s.contacts }

// Location returns the time zone that the daily totals' days follow.
func (s *Settings) Location() *time.Location { return s.location }

// LogLevel returns debug, info, warn or error.
func (s *Settings) LogLevel() string { return s.logLevel }

// TraceCollector returns the IP and port of an OTLP collector over HTTP, or "none".
func (s *Settings) TraceCollector() string { return s.traces }

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

// Parse checks the settings in data, from the file called name.
func Parse(name string, data []byte) (*Settings, error) {
	doc := document{LogLevel: "info", Traces: "none", TimeZone: "UTC"}
	if err := toml.Decode(name, data, &doc); err != nil {
		return nil, err
	}
	c := &checker{lines: toml.IndexLines(name, data)}
	s := &Settings{
		host:          c.name(doc.Host, "host"),
		failureDomain: c.name(doc.FailureDomain, "failure-domain"),
		region:        c.name(doc.Region, "region"),
		callers:       c.address(doc.Listen.Callers, "listen", "callers"),
		nodes:         c.address(doc.Listen.Nodes, "listen", "nodes"),
		upstream:      c.address(doc.Listen.Upstream, "listen", "upstream"),
		operators:     c.address(doc.Listen.Operators, "listen", "operators"),
		platform:      c.address(doc.Platform, "platform"),
		location:      c.location(doc.TimeZone),
		logLevel:      c.oneOf(doc.LogLevel, []string{"debug", "info", "warn", "error"}, "log-level"),
		traces:        doc.Traces,
	}
	for _, contact := range doc.Contacts {
		s.contacts = append(s.contacts, c.address(contact, "contacts"))
	}
	if s.traces != "none" {
		c.address(s.traces, "traces")
	}
	if c.err != nil {
		return nil, c.err
	}
	return s, nil
}

var kebab = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// checker keeps the first error of a document.
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
	if !kebab.MatchString(value) {
		c.fail(path, "key %q: %q is not a name in kebab case (such as etalase-1)", dotted(path), value)
	}
	return value
}

func (c *checker) address(value string, path ...string) string {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		c.fail(path, "key %q: %q is not an IP number and port (such as 127.0.0.1:7001)", dotted(path), value)
	}
	return value
}

func (c *checker) oneOf(value string, allowed []string, path ...string) string {
	for _, a := range allowed {
		if a == value {
			return value
		}
	}
	c.fail(path, "key %q: %q is not one of %q", dotted(path), value, allowed)
	return value
}

func (c *checker) location(value string) *time.Location {
	location, err := time.LoadLocation(value)
	if err != nil {
		c.fail([]string{"time-zone"}, "key %q: %q is not a time zone (such as Asia/Jakarta)", "time-zone", value)
	}
	return location
}

func dotted(path []string) string {
	text := path[0]
	for _, part := range path[1:] {
		text += "." + part
	}
	return text
}
