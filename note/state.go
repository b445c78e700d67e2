package note

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/banyancross/banyancross/codec"

	"github.com/banyancross/banyancross/idempotency"
)

// The routing preferences of a service.
const (
	// PreferLocal sends a call out of the failure domain only if no upstream in
	// it can accept the call.
	PreferLocal = "local"
	// PreferFastest sends a call to the upstream with the earliest expected
	// response, in any failure domain.
	PreferFastest = "fastest"
)

const (
	// maxAppliedNotes is the number of latest notes that a State records.
	maxAppliedNotes = 4096
	// maxUndoNotes is the number of latest notes that can be amended or withdrawn.
	maxUndoNotes = 64
	// MaxEncodedBytes is the size of the largest value that the platform stores.
	MaxEncodedBytes = 1 << 20
)

// Service is the configuration of a service.
type Service struct {
	Timeout             time.Duration `cbor:"1,keyasint"`
	MaxBody             int64         `cbor:"2,keyasint"` // bytes
	Slots               int           `cbor:"3,keyasint"` // calls running at a time
	Connections         int           `cbor:"4,keyasint"`
	RetryShare          float64       `cbor:"5,keyasint"` // retries per call
	ProbesPerSecond     float64       `cbor:"6,keyasint"`
	ProbeBytesPerSecond float64       `cbor:"7,keyasint"`
	IdempotentMethods   []string      `cbor:"8,keyasint"`
	Preference          string        `cbor:"9,keyasint"`
	RejectStatuses      []int         `cbor:"10,keyasint"`
	RequireKey          bool          `cbor:"11,keyasint,omitempty"`
}

// DefaultService returns the defaults of the settings that a note omits.
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

// Idempotent reports whether requests with the method may run more than once.
func (s Service) Idempotent(method string) bool {
	return slices.Contains(s.IdempotentMethods, method)
}

// Upstream is the configuration of a backend server; a zero limit means that of
// its service.
type Upstream struct {
	Service     string `cbor:"1,keyasint"`
	Slots       int    `cbor:"2,keyasint,omitempty"`
	Connections int    `cbor:"3,keyasint,omitempty"`
}

// ServiceEntry is a service in a State.
type ServiceEntry struct {
	Name        string                 `cbor:"1,keyasint"`
	ModRevision uint64                 `cbor:"2,keyasint"`
	Withdrawn   bool                   `cbor:"3,keyasint,omitempty"`
	Service     Service                `cbor:"4,keyasint"`
	ShardMaps   []idempotency.ShardMap `cbor:"5,keyasint"`
}

// UpstreamEntry is a backend server in a State.
type UpstreamEntry struct {
	Name        string   `cbor:"1,keyasint"`
	ModRevision uint64   `cbor:"2,keyasint"`
	Withdrawn   bool     `cbor:"3,keyasint,omitempty"`
	Upstream    Upstream `cbor:"4,keyasint"`
}

// AppliedNote records a note that was applied to a State.
type AppliedNote struct {
	ID       string    `cbor:"1,keyasint"`
	Digest   uint64    `cbor:"2,keyasint"`
	Revision uint64    `cbor:"3,keyasint"`
	At       time.Time `cbor:"4,keyasint"`
	Message  string    `cbor:"5,keyasint,omitempty"`
	Action   string    `cbor:"6,keyasint"`
	Undo     *Undo     `cbor:"7,keyasint,omitempty"`
}

// Undo holds the entries that a note replaced; an entry that the note added is
// held as withdrawn.
type Undo struct {
	Services  []ServiceEntry  `cbor:"1,keyasint,omitempty"`
	Upstreams []UpstreamEntry `cbor:"2,keyasint,omitempty"`
}

// State is the immutable configuration at a revision.
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

// Decode parses the CBOR form of a state.
func Decode(data []byte) (*State, error) {
	var s State
	if err := codec.Unmarshal(data, &s); err != nil {
		return nil, newError("decode", KindSyntax, "", "%v", err)
	}
	return &s, nil
}

// Service returns the named service unless it is absent or withdrawn.
func (s *State) Service(name string) (*ServiceEntry, bool) {
	i, ok := s.serviceIndex(name)
	if !ok || s.Services[i].Withdrawn {
		return nil, false
	}
	return &s.Services[i], true
}

// Upstream returns the named backend server unless it is absent or withdrawn.
func (s *State) Upstream(name string) (*UpstreamEntry, bool) {
	i, ok := s.upstreamIndex(name)
	if !ok || s.Upstreams[i].Withdrawn {
		return nil, false
	}
	return &s.Upstreams[i], true
}

// Slots returns how many calls the upstream may run at a time.
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

// Note returns the record of the note with the given id.
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

// clone returns a copy whose slices do not alias those of s.
func (s *State) clone() *State {
	next := *s
	next.Services = slices.Clone(s.Services)
	next.Upstreams = slices.Clone(s.Upstreams)
	next.Notes = slices.Clone(s.Notes)
	return &next
}
