package quota

import (
	"github.com/rotisserie/eris"

	"github.com/banyancross/banyancross/codec"
)

// Message is a datagram between an entry node and the owners of organisations: an ask,
// or the answer to one.
type Message struct {
	_ struct{} `cbor:",toarray"`
	// Host is the sender, and Incarnation that of its process.
	Host        string
	Incarnation int64
	// ID identifies an ask among those of the process, and increases. An answer has the ID
	// of its ask.
	ID     uint64
	Answer bool
	// Entries may be empty: such a message only shows that the sender is there.
	Entries []Entry
	// Hosts holds hashes of the names of nodes that do not answer the sender of an ask, and in
	// an answer those of them that the sender heard lately.
	Hosts []uint64
}

// Entry is the part of a Message about one organisation.
type Entry struct {
	_ struct{} `cbor:",toarray"`
	// Key identifies the organisation.
	Key uint64
	// Tokens is the number wanted in an ask, and the number granted in an answer.
	Tokens uint32
	// Returned is the number of earlier tokens that an asking node gives back, and in an
	// answer the number that was wanted.
	Returned uint32
	// LifetimeMs is the time from the ask to the expiry of granted tokens, in milliseconds.
	LifetimeMs uint32
	// StandIn means that the answering node is not the owner, and can't say whether the
	// organisation is beyond its quota.
	StandIn bool
}

const (
	// messageTag is the first byte of a message: a CBOR tag, which neither a beacon nor a
	// load notice starts with.
	messageTag = 0xc6
	// maxEntries bounds the entries of a message, so that it fits into one packet.
	maxEntries = 60
	// maxHosts bounds the hosts of a message without entries, for the same reason.
	maxHosts = 100
	// maxTokens bounds the tokens of an entry.
	maxTokens = 1 << 20
)

// IsMessage reports whether a datagram carries a Message.
func IsMessage(data []byte) bool { return len(data) > 0 && data[0] == messageTag }

// Encode returns the datagram of a message.
func (m Message) Encode() ([]byte, error) {
	data, err := codec.Marshal(m)
	if err != nil {
		return nil, err
	}
	return append([]byte{messageTag}, data...), nil
}

// Decode reads the datagram of a message.
func Decode(data []byte) (Message, error) {
	var m Message
	if !IsMessage(data) {
		return m, malformed(eris.New("no message"))
	}
	if err := codec.Unmarshal(data[1:], &m); err != nil {
		return Message{}, malformed(err)
	}
	if m.Host == "" || len(m.Entries) > maxEntries || len(m.Hosts) > maxHosts {
		return Message{}, malformed(eris.Errorf("host %q, %d entries", m.Host, len(m.Entries)))
	}
	for _, e := range m.Entries {
		if e.Tokens > maxTokens || e.Returned > maxTokens {
			return Message{}, malformed(eris.Errorf("%d tokens and %d returned are out of range", e.Tokens, e.Returned))
		}
	}
	return m, nil
}

// Kind classifies an Error.
type Kind string

// KindMalformed means that a datagram carries no valid Message.
const KindMalformed Kind = "malformed"

// Error is the error type of this package.
type Error struct {
	op   string
	kind Kind
	err  error
}

func malformed(err error) *Error { return &Error{op: "decode", kind: KindMalformed, err: err} }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// Error implements error.
func (e *Error) Error() string { return "quota " + e.op + ": " + string(e.kind) + ": " + e.err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }
