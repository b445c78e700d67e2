package control

import (
	"fmt"
	"time"

	"github.com/banyancross/banyancross/codec"

	"github.com/banyancross/banyancross/membership"
	"github.com/banyancross/banyancross/quarantine"
	"github.com/banyancross/banyancross/totals"
)

// Kind is the type of a message.
type Kind uint8

// The kinds of message.
const (
	// Ping asks whether the receiver is alive.
	Ping Kind = iota + 1
	// IndirectPing asks the receiver to ping the address in Target; OK in the reply
	// reports whether that node answered.
	IndirectPing
	// Gossip forwards membership records and quarantine entries.
	Gossip
	// Sync sends the full membership and requests the receiver's.
	Sync
	// Fetch requests the configuration in force.
	Fetch
	// DailyTotals sends a node's daily totals to a relay of its failure domain.
	DailyTotals
)

// Message is a message between nodes. Peers sets Sequence and Reply; From,
// Revision, Digest (of the sender's view) and ConfirmedAge describe the sender in
// every message; Kind determines which other fields are set.
type Message struct {
	Sequence    uint64              `cbor:"1,keyasint"`
	Reply       bool                `cbor:"2,keyasint,omitempty"`
	Kind        Kind                `cbor:"3,keyasint"`
	From        string              `cbor:"4,keyasint"`
	Revision    uint64              `cbor:"5,keyasint,omitempty"`
	Digest      uint64              `cbor:"6,keyasint,omitempty"`
	Members     []membership.Member `cbor:"7,keyasint,omitempty"`
	Target      string              `cbor:"8,keyasint,omitempty"`
	State       []byte              `cbor:"9,keyasint,omitempty"` // an encoded note.State
	DailyTotals []totals.DayReport  `cbor:"10,keyasint,omitempty"`
	OK          bool                `cbor:"11,keyasint,omitempty"`
	// ConfirmedAge is how long ago the platform last confirmed the revision, as
	// far as the sender knows; zero if it never did.
	ConfirmedAge       time.Duration                  `cbor:"12,keyasint,omitempty"`
	FormerIncarnations []membership.FormerIncarnation `cbor:"14,keyasint,omitempty"`
	Quarantined        []quarantine.Entry             `cbor:"13,keyasint,omitempty"`
}

// ErrorKind classifies an Error.
type ErrorKind string

// The kinds of Error.
const (
	KindCodec   ErrorKind = "malformed message"
	KindConnect ErrorKind = "connection failed"
	KindClosed  ErrorKind = "connection closed"
	KindTimeout ErrorKind = "no reply in time"
)

// Error is the error type of this package.
type Error struct {
	op   string
	kind ErrorKind
	err  error
}

func newError(op string, kind ErrorKind, err error) *Error {
	return &Error{op: op, kind: kind, err: err}
}

// Kind returns the kind of the error.
func (e *Error) Kind() ErrorKind { return e.kind }

// Error implements error.
func (e *Error) Error() string {
	if e.err == nil {
		return fmt.Sprintf("control %s: %s", e.op, e.kind)
	}
	return fmt.Sprintf("control %s: %s: %v", e.op, e.kind, e.err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Decode decodes a message from CBOR.
func Decode(data []byte) (*Message, error) {
	var message Message
	if err := codec.Unmarshal(data, &message); err != nil {
		return nil, newError("decode", KindCodec, err)
	}
	return &message, nil
}

// Encode encodes a message in CBOR.
func Encode(message *Message) ([]byte, error) {
	data, err := codec.Marshal(message)
	if err != nil {
		return nil, newError("encode", KindCodec, err)
	}
	return data, nil
}
