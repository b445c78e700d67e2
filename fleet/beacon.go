package fleet

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/codec"
	"github.com/banyancross/banyancross/evacuation"
	"github.com/banyancross/banyancross/quarantine"
)

// Phase is the state of the upstream on a node's host.
type Phase uint8

// The phases of an upstream.
const (
	// Absent means that there is no upstream, or none that is reachable and
	// confirmed.
	Absent Phase = iota
	// Ready means that the upstream takes new calls.
	Ready
	// Draining means that the upstream finishes running calls and takes no new ones.
	Draining
)

// String returns the kebab-case name.
func (p Phase) String() string {
	switch p {
	case Absent:
		return "absent"
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	}
	return fmt.Sprintf("phase-%d", uint8(p))
}

// Beacon is the gossip message with a node's whole state.
type Beacon struct {
	Host string `cbor:"1,keyasint"`
	// Incarnation increases with each start of the node.
	Incarnation int64 `cbor:"2,keyasint"`
	// Sequence increases with each beacon and notice of an incarnation.
	Sequence uint64 `cbor:"3,keyasint"`
	// CallAddress is the address that takes calls for the node's upstream.
	CallAddress string `cbor:"4,keyasint"`
	// GossipAddress is the address that takes beacons and notices.
	GossipAddress string `cbor:"5,keyasint"`
	FailureDomain string `cbor:"6,keyasint"`
	Service       string `cbor:"7,keyasint,omitempty"`
	Upstream      string `cbor:"8,keyasint,omitempty"`
	Phase         Phase  `cbor:"9,keyasint,omitempty"`
	Slots         int    `cbor:"10,keyasint,omitempty"`
	// Load is the load of the upstream.
	Load call.Load `cbor:"11,keyasint"`
	// Revision is the revision of the configuration that the node uses.
	Revision uint64 `cbor:"12,keyasint,omitempty"`
	// Stopping means that the node is shutting down.
	Stopping bool `cbor:"13,keyasint,omitempty"`
	// Earlier versions use key 15 for another value.

	// SaturationSlowdown is the ratio of run times at high utilization of the slots
	// to those at low utilization, estimated from SaturationSamples samples.
	SaturationSlowdown float32 `cbor:"16,keyasint,omitempty"`
	SaturationSamples  float32 `cbor:"17,keyasint,omitempty"`
	// Blocklist holds records of requests that have crashed upstreams.
	Blocklist []quarantine.Record `cbor:"18,keyasint,omitempty"`
	// StoreUnreachable means that the store does not answer the node.
	StoreUnreachable bool `cbor:"19,keyasint,omitempty"`
	// StoreTimeline is the latest timeline in which the store has answered the node.
	StoreTimeline uint64 `cbor:"34,keyasint,omitempty"`
	// Ping asks the receiver for a beacon in return.
	Ping bool `cbor:"20,keyasint,omitempty"`
	// EvacuationRevision is the revision of the store at which Evacuated was known, 0 if
	// there never was an evacuation, and EvacuationTimeline the timeline of the revision, 0
	// from earlier versions.
	EvacuationRevision uint64 `cbor:"30,keyasint,omitempty"`
	EvacuationTimeline uint64 `cbor:"35,keyasint,omitempty"`
	// Evacuated holds the evacuated failure domains.
	Evacuated []string `cbor:"31,keyasint,omitempty"`
	// Earlier versions use key 32 for another value.

	// Crashes holds the crash counts that the node knows, in a roster of its own only; nil
	// if it has not read those of the fleet.
	Crashes *quarantine.Snapshot `cbor:"33,keyasint,omitempty"`
	// Interval is the time until the receiver is sent the next beacon.
	Interval time.Duration `cbor:"14,keyasint,omitempty"`
}

// Encode returns the datagram of a beacon.
func (b Beacon) Encode() ([]byte, error) { return codec.Marshal(b) }

// EncodeWithin returns the datagram of a beacon without the oldest of the records if it
// exceeds a number of bytes otherwise.
func (b Beacon) EncodeWithin(bytes int) ([]byte, error) {
	for {
		data, err := b.Encode()
		if err != nil || len(data) <= bytes || len(b.Blocklist) == 0 {
			return data, err
		}
		b.Blocklist = b.Blocklist[:len(b.Blocklist)*3/4]
	}
}

// Decode reads the datagram of a beacon.
func Decode(data []byte) (Beacon, error) {
	var b Beacon
	if err := codec.Unmarshal(data, &b); err != nil {
		return Beacon{}, malformed("decode", err)
	}
	if err := b.validate(); err != nil {
		return Beacon{}, malformed("decode", err)
	}
	b.Crashes = nil
	return b, nil
}

const (
	// maxIncarnation and maxSequence bound the numbers that order a node's beacons.
	// They leave room for those that follow: an incarnation is a Unix time in
	// nanoseconds, and a node raises its own above one that others know.
	maxIncarnation = 1 << 62
	maxSequence    = 1 << 62
	// maxRevision bounds the revision and the timeline of an evacuation, which a later one
	// must exceed.
	maxRevision = 1 << 62
)

// validate returns why the beacon names no node that can be called, nil if it does.
func (b Beacon) validate() error {
	if b.Host == "" {
		return eris.New("no host")
	}
	for _, address := range []string{b.CallAddress, b.GossipAddress} {
		if parsed, err := netip.ParseAddrPort(address); err != nil || parsed.Port() == 0 {
			return eris.Errorf("address %q is not an IP number and port", address)
		}
	}
	if b.Incarnation < 0 || b.Incarnation > maxIncarnation || b.Sequence > maxSequence {
		return eris.Errorf("incarnation %d or sequence %d is out of range", b.Incarnation, b.Sequence)
	}
	if b.Slots < 0 || b.Slots > call.MaxSlots {
		return eris.Errorf("%d slots are out of range", b.Slots)
	}
	if _, unusable := evacuation.Usable(b.Evacuated); len(unusable) > 0 {
		return eris.Errorf("%q cannot be evacuated failure domains", unusable)
	}
	if b.EvacuationRevision > maxRevision || b.EvacuationTimeline > maxRevision {
		return eris.Errorf("evacuation revision %d or timeline %d is out of range", b.EvacuationRevision, b.EvacuationTimeline)
	}
	for _, ratio := range []float32{b.Load.Slowdown, b.Load.NestedExcess, b.SaturationSlowdown, b.SaturationSamples} {
		// The comparisons are false for NaN.
		if !(ratio >= 0 && ratio <= math.MaxFloat32) {
			return eris.Errorf("ratio %v is out of range", ratio)
		}
	}
	return nil
}

// olderThan reports whether the beacon was sent before another one of its node.
func (b Beacon) olderThan(other *Beacon) bool {
	return b.Incarnation < other.Incarnation || (b.Incarnation == other.Incarnation && b.Sequence < other.Sequence)
}
