package idempotency

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

const (
	ticketPrefix    = "bx1"
	ticketSeparator = "/"
	maxKeyLength    = 256
)

// Key identifies a request across its resends.
type Key struct {
	text        string
	minted      time.Time
	upstream    string
	incarnation string
}

// Mint returns a ticket that only the given incarnation of upstream may run.
func Mint(upstream, incarnation string) (Key, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return Key{}, newError("mint", KindEntropy, err)
	}
	text := strings.Join([]string{ticketPrefix, upstream, incarnation, id.String()}, ticketSeparator)
	return Key{text: text, minted: timeOf(id), upstream: upstream, incarnation: incarnation}, nil
}

// Parse reads the value of an Idempotency-Key header, with or without the
// quotes of a structured field.
func Parse(value string) (Key, error) {
	text := strings.Trim(value, `"`)
	if len(text) > maxKeyLength {
		return Key{}, newError("parse", KindMalformed, nil)
	}
	if !strings.HasPrefix(text, ticketPrefix+ticketSeparator) {
		return parseOwn(text)
	}
	parts := strings.Split(text, ticketSeparator)
	if len(parts) != 4 || parts[1] == "" || parts[2] == "" {
		return Key{}, newError("parse", KindMalformed, nil)
	}
	key, err := parseOwn(parts[3])
	if err != nil {
		return Key{}, err
	}
	return Key{text: text, minted: key.minted, upstream: parts[1], incarnation: parts[2]}, nil
}

func parseOwn(text string) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil {
		return Key{}, newError("parse", KindMalformed, err)
	}
	if id.Version() != 7 {
		return Key{}, newError("parse", KindNotTimeOrdered, nil)
	}
	return Key{text: id.String(), minted: timeOf(id)}, nil
}

func timeOf(id uuid.UUID) time.Time {
	seconds, nanoseconds := id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds).Truncate(time.Millisecond)
}

// String returns the key as it is sent.
func (k Key) String() string { return k.text }

// Timestamp returns the time in the key, to the millisecond.
func (k Key) Timestamp() time.Time { return k.minted }

// IsTicket tells whether the key names its gate.
func (k Key) IsTicket() bool { return k.incarnation != "" }

// Upstream returns the upstream that a ticket names.
func (k Key) Upstream() string { return k.upstream }

// Incarnation returns the gate incarnation that a ticket names.
func (k Key) Incarnation() string { return k.incarnation }

// ShardMap is the list of upstreams that own the keys minted from a time on.
type ShardMap struct {
	From      time.Time `cbor:"1,keyasint"`
	Upstreams []string  `cbor:"2,keyasint"`
}

// Owner returns the upstream that owns the key under placements, which are
// ordered by From, or "" when none covers it.
func (k Key) Owner(placements []ShardMap) string {
	if k.IsTicket() {
		return k.upstream
	}
	var current *ShardMap
	for i := range placements {
		if !placements[i].From.After(k.minted) {
			current = &placements[i]
		}
	}
	if current == nil {
		return ""
	}
	return highest(k.text, current.Upstreams)
}

// highest is rendezvous hashing (Thaler and Ravishankar, 1996).
func highest(text string, upstreams []string) string {
	owner := ""
	var best uint64
	for _, name := range upstreams {
		score := xxhash.Sum64String(name + "\x00" + text)
		if owner == "" || score > best {
			owner, best = name, score
		}
	}
	return owner
}
