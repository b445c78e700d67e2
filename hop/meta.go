package hop

import (
	"encoding/base64"
	"net/http"
	"strings"
	"time"

	"github.com/banyancross/banyancross/codec"

	"github.com/banyancross/banyancross/call"
)

// The names of the headers between nodes.
const (
	callHeader   = CallHeader
	answerHeader = AnswerHeader
	// CallHeader carries the encoded Meta of an attempt.
	CallHeader = "Banyancross-Call"
	// AnswerHeader carries the encoded AnswerMeta of a response.
	AnswerHeader = "Banyancross-Answer"
	// HeaderPrefix is the prefix of all headers of this system.
	HeaderPrefix = "Banyancross-"
)

// Meta is the metadata that an entry node sends with an attempt to the admission
// gate in front of an upstream.
type Meta struct {
	ID       string `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint"`
	Upstream string `cbor:"3,keyasint"`
	// Remaining is the time left until the call's deadline.
	Remaining  time.Duration `cbor:"4,keyasint"`
	Idempotent bool          `cbor:"5,keyasint,omitempty"`
	// Key is the idempotency key, "" when there is none.
	Key string `cbor:"6,keyasint,omitempty"`
	// Received is when the entry node received the request.
	Received time.Time `cbor:"7,keyasint"`
	// Depth is the number of calls above this one in its call chain.
	Depth int `cbor:"8,keyasint,omitempty"`
	// Revision is the configuration by which the entry node routed the call.
	Revision uint64 `cbor:"9,keyasint"`
	// Day is the day in whose daily totals the call counts.
	Day         string `cbor:"10,keyasint"`
	Fingerprint uint64 `cbor:"11,keyasint,omitempty"`
	// CallerService is the service of the host where the call began.
	CallerService string `cbor:"12,keyasint,omitempty"`
	// Priority is lower for more urgent calls.
	Priority int `cbor:"13,keyasint,omitempty"`
	// MaxWait is how long the call may be queued at the gate.
	MaxWait time.Duration `cbor:"14,keyasint,omitempty"`
	// Declinable allows the gate to refuse the call because another upstream
	// would probably answer sooner.
	Declinable bool `cbor:"15,keyasint,omitempty"`
	// MinSlowdown is the lowest known slowdown of the upstreams that the entry
	// node can choose from, 0 if none is known.
	MinSlowdown float32 `cbor:"18,keyasint,omitempty"`
	// Repeated means that the call may have run, or may be running, at another
	// upstream.
	Repeated bool `cbor:"16,keyasint,omitempty"`
	// Route is the name of the route that the request matched.
	Route string `cbor:"19,keyasint,omitempty"`
	// EntryHost is the host of the entry node.
	EntryHost string `cbor:"17,keyasint,omitempty"`
	// Organisation is the organisation of the caller, "" for none.
	Organisation string `cbor:"20,keyasint,omitempty"`
	// ObjectiveRemaining is the time left until the latency objective, negative
	// afterwards, 0 for a call that is not queued or whose late answer is as good.
	ObjectiveRemaining time.Duration `cbor:"23,keyasint,omitempty"`
	// ReportGateTime asks the gate for AnswerMeta.GateTime.
	ReportGateTime bool `cbor:"27,keyasint,omitempty"`
}

// Encode returns the metadata as a header value.
func (m Meta) Encode() (string, error) { return encode(m) }

// DecodeMeta decodes the header value that Meta.Encode returned.
func DecodeMeta(value string) (Meta, error) {
	var meta Meta
	err := decode(value, &meta)
	return meta, err
}

// AnswerMeta is the metadata that a gate returns to the entry node.
type AnswerMeta struct {
	// ID repeats the identity of the attempt.
	ID      string       `cbor:"1,keyasint"`
	Outcome call.Outcome `cbor:"2,keyasint"`
	Reason  call.Reason  `cbor:"3,keyasint,omitempty"`
	Load    *call.Load   `cbor:"4,keyasint,omitempty"`
	// Revision is the configuration in force at the gate's node.
	Revision uint64 `cbor:"5,keyasint"`
	// ReachedUpstream means that the call was sent to the upstream, whether or
	// not the upstream ran it.
	ReachedUpstream bool `cbor:"6,keyasint,omitempty"`
	// Replayed means that the response is that of an earlier send with the same
	// idempotency key.
	Replayed bool `cbor:"7,keyasint,omitempty"`
	// FromGate means that the answer comes from a gate. It is false if the
	// attempt failed on the way to or from the gate.
	FromGate bool `cbor:"8,keyasint,omitempty"`
	// QueueTime is how long the call was queued at the gate before it ran or was
	// refused.
	QueueTime time.Duration `cbor:"9,keyasint,omitempty"`
	// NestedCalls counts the calls that the run made, by the called service.
	NestedCalls map[string]int `cbor:"10,keyasint,omitempty"`
	// GateTime is the time from the arrival of the call at the gate to its answer, with
	// QueueTime, 0 unless Meta.ReportGateTime asks for it.
	GateTime time.Duration `cbor:"17,keyasint,omitempty"`
	// NestedExcess is the share of the nested calls to other services without room, by
	// service, as the gate's node sees it; empty without overload.
	NestedExcess map[string]float32 `cbor:"13,keyasint,omitempty"`
	// RoomIn is when a cold upstream that rejected the call can be sent another one.
	RoomIn time.Duration `cbor:"11,keyasint,omitempty"`
	// UpstreamStatus is the status of an upstream's response that is not passed on, such as a
	// rejection, and Connection and Exchange are those of http1.Response; 0 without one.
	UpstreamStatus int    `cbor:"28,keyasint,omitempty"`
	Connection     uint64 `cbor:"29,keyasint,omitempty"`
	Exchange       uint64 `cbor:"30,keyasint,omitempty"`
}

// Encode returns the metadata as a header value.
func (m AnswerMeta) Encode() (string, error) { return encode(m) }

// DecodeAnswerMeta decodes the header value that AnswerMeta.Encode returned.
func DecodeAnswerMeta(value string) (AnswerMeta, error) {
	var meta AnswerMeta
	err := decode(value, &meta)
	return meta, err
}

// Answer is the result of an attempt; Response is nil unless the outcome is
// Answered.
type Answer struct {
	Meta     AnswerMeta
	Response *http.Response
}

// Refusal returns the Answer to an attempt without a response of the upstream.
func Refusal(meta Meta, refusal *call.Refusal) *Answer {
	return &Answer{Meta: AnswerMeta{ID: meta.ID, Outcome: refusal.Outcome(), Reason: refusal.Reason()}}
}

func encode(value any) (string, error) {
	data, err := codec.Marshal(value)
	if err != nil {
		return "", newError("encode", KindMalformed, err)
	}
	return base64.RawURLEncoding.EncodeToString(data), nil
}

func decode(value string, target any) error {
	data, err := base64.RawURLEncoding.DecodeString(value)
	if err != nil {
		return newError("decode", KindMalformed, err)
	}
	if err := codec.Unmarshal(data, target); err != nil {
		return newError("decode", KindMalformed, err)
	}
	return nil
}

// connectionHeaders are the hop-by-hop headers of RFC 9110 section 7.6.1.
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripConnection removes the hop-by-hop headers: those of RFC 9110 and those that
// the Connection header lists.
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

// StripInternal removes the headers that start with HeaderPrefix.
func StripInternal(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, HeaderPrefix) {
			delete(header, name)
		}
	}
}

// Strip removes the hop-by-hop headers, the headers of this system and
// Content-Length, which the sender of the message sets again.
func Strip(header http.Header) {
	StripConnection(header)
	StripInternal(header)
	header.Del("Content-Length")
}

// StripResponse is Strip for a response to a request of the given method. One to HEAD keeps
// its Content-Length, which no sender can tell from its empty body.
func StripResponse(method string, header http.Header) {
	length := header["Content-Length"]
	Strip(header)
	if method == http.MethodHead && len(length) > 0 {
		header["Content-Length"] = length
	}
}
