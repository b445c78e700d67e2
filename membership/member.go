package membership

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Status is the health of a member in a node's view.
type Status uint8

// The statuses of a member, in ascending precedence at the same version.
const (
	Alive Status = iota
	Suspect
	Down
	Left
)

// String returns the status in kebab case.
func (s Status) String() string {
	return [...]string{"alive", "suspect", "down", "left"}[min(int(s), 3)]
}

// UpstreamState is the state that a node reports for the backend server beside it.
type UpstreamState uint8

// The states of an upstream.
const (
	Absent   UpstreamState = iota // not announced or not reachable
	Starting                      // no release notes are in force yet
	Ready
	Draining
	Leaving
	Unlisted // not in the release notes in force
)

// String returns the state in kebab case.
func (s UpstreamState) String() string {
	return [...]string{"absent", "starting", "ready", "draining", "leaving", "unlisted"}[min(int(s), 5)]
}

// Member is the record of one incarnation of a host's node, as nodes exchange it.
type Member struct {
	Host            string        `cbor:"1,keyasint"`
	Incarnation     string        `cbor:"2,keyasint"`
	StartedUnixNano int64         `cbor:"3,keyasint"`
	Version         uint64        `cbor:"4,keyasint"`
	Status          Status        `cbor:"5,keyasint,omitempty"`
	FailureDomain   string        `cbor:"6,keyasint"`
	Region          string        `cbor:"7,keyasint"`
	Address         string        `cbor:"8,keyasint"`
	Upstream        string        `cbor:"9,keyasint,omitempty"`
	Service         string        `cbor:"10,keyasint,omitempty"`
	Slots           int           `cbor:"11,keyasint,omitempty"`
	State           UpstreamState `cbor:"12,keyasint,omitempty"`
}

// Usable reports whether calls may be sent to the member's upstream. A suspect
// is usable, since most suspicions are refuted.
func (m Member) Usable() bool {
	return m.Status <= Suspect && m.State == Ready
}

// supersedes reports whether m is newer than old, a record of the same host.
func (m Member) supersedes(old Member) bool {
	if m.Incarnation != old.Incarnation {
		if m.StartedUnixNano != old.StartedUnixNano {
			return m.StartedUnixNano > old.StartedUnixNano
		}
		return strings.Compare(m.Incarnation, old.Incarnation) > 0
	}
	if old.Status == Left {
		return false
	}
	if m.Version != old.Version {
		return m.Version > old.Version
	}
	return m.Status > old.Status
}

// hash covers the host and the fields that supersedes compares.
func (m Member) hash() uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(m.Host)
	_, _ = digest.WriteString(m.Incarnation)
	var numbers [17]byte
	for i := range 8 {
		numbers[i] = byte(m.Version >> (8 * i))
		numbers[8+i] = byte(m.StartedUnixNano >> (8 * i))
	}
	numbers[16] = byte(m.Status)
	_, _ = digest.Write(numbers[:])
	return digest.Sum64()
}

// record is a Member with the local times of its status changes.
type record struct {
	member      Member
	suspectedAt time.Time
	downSince   time.Time
}
