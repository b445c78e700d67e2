package note

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/banyancross/banyancross/codec"

	"github.com/banyancross/banyancross/idempotency"
)

// The values of a service's preference between failure domains.
const (
	// PreferLocal sends a call out of the failure domain only when no
	// upstream in it can take the call.
	PreferLocal = "local"
	// PreferFastest sends a call wherever the answer is expected first.
	PreferFastest = "fastest"
)

const (
	// maxApplied is how many notes a State remembers by identity.
	maxApplied = 4096
	// maxUndo is how many notes a State can amend or withdraw.
	maxUndo = 64
	// MaxEncodedBytes is the largest value the platform stores, in bytes.
	MaxEncodedBytes = 1 << 20
)

// Service is the configuration of a service.
type Service struct {
	Timeout             time.Duration `cbor:"1,keyasint"`
	MaxBody             int64         `cbor:"2,keyasint"`
	Slots               int           `cbor:"3,keyasint"`
	Connections         int           `cbor:"4,keyasint"`
	RetryShare          float64       `cbor:"5,keyasint"`
	ProbesPerSecond     float64       `cbor:"6,keyasint"`
	ProbeBytesPerSecond float64       `cbor:"7,keyasint"`
	IdempotentMethods   []string      `cbor:"8,keyasint"`
	Preference          string        `cbor:"9,keyasint"`
	RejectStatuses      []int         `cbor:"10,keyasint"`
	RequireKey          bool          `cbor:"11,keyasint,omitempty"`
}

// DefaultService returns what holds for a service whose note is silent.
func DefaultService() Service {
	return Service{
		Timeout:             5 * time.Second,
		MaxBody:             1 << 20,
		Slots:               16,
		Connections:         240,
		RetryShare:          0.1,
		ProbesPerSecond:     1,
		ProbeBytesPerSecond: 512,
		IdempotentMethods:   []string{"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"},
		Preference:          PreferFastest,
	}
}

// Idempotent tells whether requests with the method may run twice.
func (s Service) Idempotent(method string) bool {
	return slices.Contains(s.IdempotentMethods, method)
}

// Upstream is the configuration of a backend server; zero limits are taken
// from its service.
type Upstream struct {
	Service     string `cbor:"1,keyasint"`
	Slots       int    `cbor:"2,keyasint,omitempty"`
	Connections int    `cbor:"3,keyasint,omitempty"`
}

// ServiceEntry is a service in force.
type ServiceEntry struct {
	Name        string                 `cbor:"1,keyasint"`
	ModRevision uint64                 `cbor:"2,keyasint"`
	Withdrawn   bool                   `cbor:"3,keyasint,omitempty"`
	Service     Service                `cbor:"4,keyasint"`
	ShardMaps   []idempotency.ShardMap `cbor:"5,keyasint"`
}

// UpstreamEntry is a backend server in force.
type UpstreamEntry struct {
	Name        string   `cbor:"1,keyasint"`
	ModRevision uint64   `cbor:"2,keyasint"`
	Withdrawn   bool     `cbor:"3,keyasint,omitempty"`
	Upstream    Upstream `cbor:"4,keyasint"`
}

// AppliedNote records a note that a State was built from.
type AppliedNote struct {
	ID       string    `cbor:"1,keyasint"`
	Digest   uint64    `cbor:"2,keyasint"`
	Revision uint64    `cbor:"3,keyasint"`
	At       time.Time `cbor:"4,keyasint"`
	Message  string    `cbor:"5,keyasint,omitempty"`
	Action   string    `cbor:"6,keyasint"`
	Undo     *Undo     `cbor:"7,keyasint,omitempty"`
}

// Undo holds the entries a note replaced; one it added is held as withdrawn.
type Undo struct {
	Services  []ServiceEntry  `cbor:"1,keyasint,omitempty"`
	Upstreams []UpstreamEntry `cbor:"2,keyasint,omitempty"`
}

// State is the configuration in force at a revision; it is not changed after
// it was built.
type State struct {
	Revision  uint64          `cbor:"1,keyasint"`
	Services  []ServiceEntry  `cbor:"2,keyasint"`
	Upstreams []UpstreamEntry `cbor:"3,keyasint"`
	Notes     []AppliedNote   `cbor:"4,keyasint"`
}

// Encode returns the CBOR form of the state.
func (s *State) Encode() ([]byte, error) {
	data, err := codec.Marshal(s)
	if err != nil {
		return nil, newError("encode", KindInvalid, "", "%v", err)
	}
	if len(data) > MaxEncodedBytes {
		return nil, newError("encode", KindTooLarge, "", "state of %d bytes exceeds %d", len(data), MaxEncodedBytes)
	}
	return data, nil
}

// Decode reads a state from its CBOR form.
func Decode(data []byte) (*State, error) {
	var s State
	if err := codec.Unmarshal(data, &s); err != nil {
		return nil, newError("decode", KindSyntax, "", "%v", err)
	}
	return &s, nil
}

// Service returns the service called name unless it is absent or withdrawn.
func (s *State) Service(name string) (*ServiceEntry, bool) {
	i, ok := s.serviceIndex(name)
	if !ok || s.Services[i].Withdrawn {
		return nil, false
	}
	return &s.Services[i], true
}

// Upstream returns the backend server called name unless it is absent or
// withdrawn.
func (s *State) Upstream(name string) (*UpstreamEntry, bool) {
	i, ok := s.upstreamIndex(name)
	if !ok || s.Upstreams[i].Withdrawn {
		return nil, false
	}
	return &s.Upstreams[i], true
}

// Slots returns how many calls the upstream runs at a time.
func (s *State) Slots(entry *UpstreamEntry) int {
	if entry.Upstream.Slots > 0 {
		return entry.Upstream.Slots
	}
	service, ok := s.Service(entry.Upstream.Service)
	if !ok {
		return DefaultService().Slots
	}
	return service.Service.Slots
}

// Note returns the record of the note called id.
func (s *State) Note(id string) (*AppliedNote, bool) {
	for i := len(s.Notes) - 1; i >= 0; i-- {
		if s.Notes[i].ID == id {
			return &s.Notes[i], true
		}
	}
	return nil, false
}

func (s *State) serviceIndex(name string) (int, bool) {
	return sort.Find(len(s.Services), func(i int) int { return strings.Compare(name, s.Services[i].Name) })
}

func (s *State) upstreamIndex(name string) (int, bool) {
	return sort.Find(len(s.Upstreams), func(i int) int { return strings.Compare(name, s.Upstreams[i].Name) })
}

// clone copies what Apply changes.
func (s *State) clone() *State {
	next := *s
	next.Services = slices.Clone(s.Services)
	next.Upstreams = slices.Clone(s.Upstreams)
	next.Notes = slices.Clone(s.Notes)
	return &next
}
