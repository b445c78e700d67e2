package fleet

import (
	"fmt"
	"time"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/codec"
	"github.com/banyancross/banyancross/quarantine"
)

// Phase is the state of the upstream beside a node.
type Phase uint8

// The phases of an upstream.
const (
	// Absent means that no upstream has announced itself, or that it has left.
	Absent Phase = iota
	// Ready means that it takes new calls.
	Ready
	// Draining means that it ends what runs and takes nothing new.
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

// Beacon is what a node says of itself.
type Beacon struct {
	Host string `cbor:"1,keyasint"`
	// Incarnation rises with each start of the node.
	Incarnation int64 `cbor:"2,keyasint"`
	// Sequence rises with each beacon of an incarnation.
	Sequence uint64 `cbor:"3,keyasint"`
	// CallAddress is where the node takes calls for its upstream.
	CallAddress string `cbor:"4,keyasint"`
	// GossipAddress is where the node takes beacons.
	GossipAddress string `cbor:"5,keyasint"`
	FailureDomain string `cbor:"6,keyasint"`
	Service       string `cbor:"7,keyasint,omitempty"`
	Upstream      string `cbor:"8,keyasint,omitempty"`
	Phase         Phase  `cbor:"9,keyasint,omitempty"`
	Slots         int    `cbor:"10,keyasint,omitempty"`
	// Load is the gate's report of the upstream.
	Load call.Load `cbor:"11,keyasint"`
	// Revision is the configuration in force at the node.
	Revision uint64 `cbor:"12,keyasint,omitempty"`
	// Stopping tells that the node ends soon.
	Stopping bool `cbor:"13,keyasint,omitempty"`
	// Fanout is how many calls a run at the upstream makes to other upstreams.
	Fanout float32 `cbor:"15,keyasint,omitempty"`
	// SaturationSlowdown is how much longer runs take when nearly all slots are in use,
	// as far as the node has compared Compared of them.
	SaturationSlowdown float32 `cbor:"16,keyasint,omitempty"`
	SaturationSamples  float32 `cbor:"17,keyasint,omitempty"`
	// Holds tells of requests under which upstreams ended.
	Holds []quarantine.Record `cbor:"18,keyasint,omitempty"`
	// StoreUnreachable tells that the store does not answer the node.
	StoreUnreachable bool `cbor:"19,keyasint,omitempty"`
	// Interval is when the receiver may expect the next beacon.
	Interval time.Duration `cbor:"14,keyasint,omitempty"`
}

// Encode returns the datagram.
func (b Beacon) Encode() ([]byte, error) { return codec.Marshal(b) }

// Decode reads a datagram.
func Decode(data []byte) (Beacon, error) {
	var b Beacon
	if err := codec.Unmarshal(data, &b); err != nil {
		return Beacon{}, newError("decode", KindMalformed, err)
	}
	if b.Host == "" || b.CallAddress == "" || b.GossipAddress == "" {
		return Beacon{}, newError("decode", KindMalformed, nil)
	}
	return b, nil
}
