package membership

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Status tells what the fleet believes of a member.
type Status uint8

// The statuses of a member, in rising precedence at the same version.
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

// UpstreamState is what a node says of the backend server beside it.
type UpstreamState uint8

// The states of an upstream.
const (
	Absent UpstreamState = iota
	Starting
	Ready
	Draining
	Leaving
	Unlisted
)

// String returns the state in kebab case.
func (s UpstreamState) String() string {
	return [...]string{"absent", "starting", "ready", "draining", "leaving", "unlisted"}[min(int(s), 5)]
}

// Member is one incarnation of a host's node as it is sent between nodes.
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

// Usable tells whether calls may be sent to the member's upstream. A suspect
// still counts, since most suspicions are refuted.
func (m Member) Usable() bool {
	return m.Status <= Suspect && m.State == Ready
}

// supersedes tells whether m is newer than old, which has the same host.
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

// hash covers all that makes two records differ.
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

// record is a Member with what this node alone knows of it.
type record struct {
	member    Member
	suspected time.Time
	downSince time.Time
}
