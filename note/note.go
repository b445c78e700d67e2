package note

import (
	"regexp"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyancross/banyancross/toml"
)

// Note is one release note.
type Note struct {
	id        string
	message   string
	digest    uint64
	services  []serviceEntry
	upstreams []upstreamEntry
}

type serviceEntry struct {
	name      string
	withdrawn bool
	service   Service
}

type upstreamEntry struct {
	name      string
	withdrawn bool
	upstream  Upstream
}

// ID returns the note's unique id.
func (n *Note) ID() string { return n.id }

// Message returns the operator's message.
func (n *Note) Message() string { return n.message }

// document is the TOML form of a note.
type document struct {
	ID       string                      `toml:"id"`
	Message  string                      `toml:"message"`
	Service  map[string]serviceDocument  `toml:"service"`
	Upstream map[string]upstreamDocument `toml:"upstream"`
}

type serviceDocument struct {
	Withdrawn           bool     `toml:"withdrawn"`
	Timeout             string   `toml:"timeout"`
	MaxBody             int64    `toml:"max-body"`
	Slots               int      `toml:"slots"`
	Connections         int      `toml:"connections"`
	RetryShare          *float64 `toml:"retry-share"`
	ProbesPerSecond     *float64 `toml:"probes-per-second"`
	ProbeBytesPerSecond *float64 `toml:"probe-bytes-per-second"`
	IdempotentMethods   []string `toml:"idempotent-methods"`
	Preference          string   `toml:"preference"`
	RejectStatuses      []int    `toml:"reject-statuses"`
	RequireKey          bool     `toml:"require-key"`
}

type upstreamDocument struct {
	Withdrawn   bool   `toml:"withdrawn"`
	Service     string `toml:"service"`
	Slots       int    `toml:"slots"`
	Connections int    `toml:"connections"`
}

var kebabCase = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

const (
	maxTimeout             = 10 * time.Minute
	maxSlots               = 1024
	maxConnections         = 65536
	maxBodyBytes           = 1 << 40
	maxProbesPerSecond     = 100
	maxProbeBytesPerSecond = 1 << 20
)

// Parse parses and validates a note; name is the file name used in errors.
func Parse(name string, data []byte) (*Note, error) {
	var doc document
	if err := toml.Decode(name, data, &doc); err != nil {
		return nil, err
	}
	p := &parser{lines: toml.IndexLines(name, data)}
	return p.note(doc, data)
}

// parser converts a document into a Note and reports the line of an invalid
// value.
type parser struct {
	lines *toml.Lines
}

func (p *parser) invalid(format string, args []any, path ...string) error {
	return newError("parse", KindInvalid, p.lines.Position(path...), format, args...)
}

func (p *parser) note(doc document, data []byte) (*Note, error) {
	if !kebabCase.MatchString(doc.ID) {
		return nil, p.invalid("id %q is not in kebab case (such as 2026-12-04-new-stalls)", []any{doc.ID}, "id")
	}
	if len(doc.Service)+len(doc.Upstream) == 0 {
		return nil, p.invalid("the note lists no service and no upstream", nil)
	}
	n := &Note{id: doc.ID, message: doc.Message, digest: xxhash.Sum64(data)}
	for _, name := range sortedServices(doc.Service) {
		entry, err := p.service(name, doc.Service[name])
		if err != nil {
			return nil, err
		}
		n.services = append(n.services, entry)
	}
	for _, name := range sortedUpstreams(doc.Upstream) {
		entry, err := p.upstream(name, doc.Upstream[name])
		if err != nil {
			return nil, err
		}
		n.upstreams = append(n.upstreams, entry)
	}
	return n, nil
}

func (p *parser) service(name string, doc serviceDocument) (serviceEntry, error) {
	entry := serviceEntry{name: name, withdrawn: doc.Withdrawn, service: DefaultService()}
	if !kebabCase.MatchString(name) {
		return entry, p.invalid("service name %q is not in kebab case", []any{name}, "service", name)
	}
	entry.service.RequireKey = doc.RequireKey
	if doc.IdempotentMethods != nil {
		entry.service.IdempotentMethods = doc.IdempotentMethods
	}
	if doc.RejectStatuses != nil {
		entry.service.RejectStatuses = doc.RejectStatuses
	}
	parsers := []func(string, serviceDocument, *Service) error{p.timeout, p.integers, p.floats, p.preference}
	for _, parse := range parsers {
		if err := parse(name, doc, &entry.service); err != nil {
			return entry, err
		}
	}
	return entry, nil
}

func (p *parser) timeout(name string, doc serviceDocument, service *Service) error {
	if doc.Timeout == "" {
		return nil
	}
	timeout, err := time.ParseDuration(doc.Timeout)
	if err != nil || timeout <= 0 || timeout > maxTimeout {
		return p.invalid("timeout %q is not a duration above 0s and up to %s",
			[]any{doc.Timeout, maxTimeout}, "service", name, "timeout")
	}
	service.Timeout = timeout
	return nil
}

// integers reads the integer settings, for which zero means the default.
func (p *parser) integers(name string, doc serviceDocument, service *Service) error {
	fields := []struct {
		key   string
		value int64
		limit int64
		set   func(int64)
	}{
		{"max-body", doc.MaxBody, maxBodyBytes, func(v int64) { service.MaxBody = v }},
		{"slots", int64(doc.Slots), maxSlots, func(v int64) { service.Slots = int(v) }},
		{"connections", int64(doc.Connections), maxConnections, func(v int64) { service.Connections = int(v) }},
	}
	for _, field := range fields {
		if field.value < 0 || field.value > field.limit {
			return p.invalid("%s %d is not between 1 and %d",
				[]any{field.key, field.value, field.limit}, "service", name, field.key)
		}
		if field.value > 0 {
			field.set(field.value)
		}
	}
	return nil
}

// floats reads the settings for which zero differs from an absent value.
func (p *parser) floats(name string, doc serviceDocument, service *Service) error {
	fields := []struct {
		key    string
		value  *float64
		limit  float64
		target *float64
	}{
		{"retry-share", doc.RetryShare, 1, &service.RetryShare},
		{"probes-per-second", doc.ProbesPerSecond, maxProbesPerSecond, &service.ProbesPerSecond},
		{"probe-bytes-per-second", doc.ProbeBytesPerSecond, maxProbeBytesPerSecond, &service.ProbeBytesPerSecond},
	}
	for _, field := range fields {
		if field.value == nil {
			continue
		}
		if *field.value < 0 || *field.value > field.limit {
			return p.invalid("%s %g is not between 0 and %g",
				[]any{field.key, *field.value, field.limit}, "service", name, field.key)
		}
		*field.target = *field.value
	}
	return nil
}

func (p *parser) preference(name string, doc serviceDocument, service *Service) error {
	switch doc.Preference {
	case "":
	case PreferLocal, PreferFastest:
		service.Preference = doc.Preference
	default:
		return p.invalid("preference %q is neither %q nor %q",
			[]any{doc.Preference, PreferLocal, PreferFastest}, "service", name, "preference")
	}
	return nil
}

func (p *parser) upstream(name string, doc upstreamDocument) (upstreamEntry, error) {
	entry := upstreamEntry{name: name, withdrawn: doc.Withdrawn}
	if !kebabCase.MatchString(name) {
		return entry, p.invalid("upstream name %q is not in kebab case", []any{name}, "upstream", name)
	}
	if !doc.Withdrawn && !kebabCase.MatchString(doc.Service) {
		return entry, p.invalid("upstream %q names no service", []any{name}, "upstream", name, "service")
	}
	if doc.Slots < 0 || doc.Slots > maxSlots {
		return entry, p.invalid("slots %d is not between 1 and %d", []any{doc.Slots, maxSlots}, "upstream", name, "slots")
	}
	entry.upstream = Upstream{Service: doc.Service, Slots: doc.Slots, Connections: doc.Connections}
	return entry, nil
}

func sortedServices(m map[string]serviceDocument) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func sortedUpstreams(m map[string]upstreamDocument) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
