package hop

import (
	"encoding/base64"
	"net/http"
	"strings"
	"time"

	"github.com/banyancross/banyancross/codec"

	"github.com/banyancross/banyancross/call"
)

// Header names between nodes.
const (
	callHeader   = CallHeader
	answerHeader = AnswerHeader
	// CallHeader carries the Meta of an attempt.
	CallHeader = "Banyancross-Call"
	// AnswerHeader carries the AnswerMeta of an answer.
	AnswerHeader = "Banyancross-Answer"
	// HeaderPrefix begins the names of all headers of this system.
	HeaderPrefix = "Banyancross-"
)

// Meta is what an entry node tells a gate about an attempt.
type Meta struct {
	ID          string        `cbor:"1,keyasint"`
	Service     string        `cbor:"2,keyasint"`
	Upstream    string        `cbor:"3,keyasint"`
	Remaining   time.Duration `cbor:"4,keyasint"`
	Idempotent  bool          `cbor:"5,keyasint,omitempty"`
	Key         string        `cbor:"6,keyasint,omitempty"`
	Received    time.Time     `cbor:"7,keyasint"`
	Depth       int           `cbor:"8,keyasint,omitempty"`
	Revision    uint64        `cbor:"9,keyasint"`
	Day         string        `cbor:"10,keyasint"`
	Fingerprint uint64        `cbor:"11,keyasint,omitempty"`
	// CallerService is the service of the host where the call began.
	CallerService string `cbor:"12,keyasint,omitempty"`
	// Priority is lower for more urgent calls.
	Priority int `cbor:"13,keyasint,omitempty"`
	// MaxWait is how long the call may wait at the gate.
	MaxWait time.Duration `cbor:"14,keyasint,omitempty"`
	// Declinable asks the gate to refuse while another upstream would probably
	// answer sooner.
	Declinable bool `cbor:"15,keyasint,omitempty"`
	// MinSlowdown is the least slowdown that the entry node knows among the
	// upstreams that it can choose from, 0 when it knows none.
	MinSlowdown float32 `cbor:"18,keyasint,omitempty"`
	// Repeated tells that the call may already have run at another upstream.
	Repeated bool `cbor:"16,keyasint,omitempty"`
	// Route is the route that the call took.
	Route string `cbor:"19,keyasint,omitempty"`
	// EntryHost is the host of the entry node.
	EntryHost string `cbor:"17,keyasint,omitempty"`
}

// Encode returns the header value that carries the metadata.
func (m Meta) Encode() (string, error) { return encode(m) }

// DecodeMeta reads the value that Encode returned.
func DecodeMeta(text string) (Meta, error) {
	var meta Meta
	err := decode(text, &meta)
	return meta, err
}

// AnswerMeta is what a gate tells the entry node about an answer.
type AnswerMeta struct {
	ID              string       `cbor:"1,keyasint"`
	Outcome         call.Outcome `cbor:"2,keyasint"`
	Reason          call.Reason  `cbor:"3,keyasint,omitempty"`
	Load            *call.Load   `cbor:"4,keyasint,omitempty"`
	Revision        uint64       `cbor:"5,keyasint"`
	ReachedUpstream bool         `cbor:"6,keyasint,omitempty"`
	Replayed        bool         `cbor:"7,keyasint,omitempty"`
	// FromGate tells that a gate gave the answer, not the hop on the way to it.
	FromGate bool `cbor:"8,keyasint,omitempty"`
	// QueueTime is how long the call waited at the gate before it ran or was
	// refused.
	QueueTime time.Duration `cbor:"9,keyasint,omitempty"`
}

// Encode returns the header value that carries the metadata.
func (m AnswerMeta) Encode() (string, error) { return encode(m) }

// DecodeAnswerMeta reads the value that Encode returned.
func DecodeAnswerMeta(text string) (AnswerMeta, error) {
	var meta AnswerMeta
	err := decode(text, &meta)
	return meta, err
}

// Answer is a gate's answer; Response is nil unless the outcome is Answered.
type Answer struct {
	Meta     AnswerMeta
	Response *http.Response
}

// Refusal builds the answer to an attempt that got none from the upstream.
func Refusal(meta Meta, refusal *call.Refusal) *Answer {
	return &Answer{Meta: AnswerMeta{ID: meta.ID, Outcome: refusal.Outcome(), Reason: refusal.Reason()}}
}

func encode(value any) (string, error) {
	data, err := codec.Marshal(value)
	if err != nil {
		return "", newError("encode", KindCodec, err)
	}
	return base64.RawURLEncoding.EncodeToString(data), nil
}

func decode(text string, target any) error {
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return newError("decode", KindCodec, err)
	}
	if err := codec.Unmarshal(data, target); err != nil {
		return newError("decode", KindCodec, err)
	}
	return nil
}

// connectionHeaders are those that RFC 9110 section 7.6.1 confines to one
// connection.
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripConnection removes the headers that belong to one connection only.
func StripConnection(header http.Header) {
	for _, line := range header["Connection"] {
		for _, name := range strings.Split(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		header.Del(name)
	}
}

// StripInternal removes the headers of this system.
func StripInternal(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, HeaderPrefix) {
			delete(header, name)
		}
	}
}

// Strip removes what belongs to one hop only: the headers of the connection,
// those of this system, and the length, which whoever sends the message writes
// anew.
func Strip(header http.Header) {
	StripConnection(header)
	StripInternal(header)
	header.Del("Content-Length")
}
