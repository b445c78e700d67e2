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
	maxKeyBytes     = 256
)

// Key is an idempotency key, which all sends of a request share.
type Key struct {
	text        string
	timestamp   time.Time
	upstream    string
	incarnation string
}

// Mint returns a new ticket, a key that only the given incarnation of the
// upstream may run.
func Mint(upstream, incarnation string) (Key, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return Key{}, newError("mint", KindEntropy, err)
	}
	text := strings.Join([]string{ticketPrefix, upstream, incarnation, id.String()}, ticketSeparator)
	return Key{text: text, timestamp: uuidTimestamp(id), upstream: upstream, incarnation: incarnation}, nil
}

// Parse parses the value of an Idempotency-Key header, with or without the
// quotes of a structured field string.
func Parse(value string) (Key, error) {
	text := strings.Trim(value, `"`)
	if len(text) > maxKeyBytes {
		return Key{}, newError("parse", KindMalformed, nil)
	}
	if !strings.HasPrefix(text, ticketPrefix+ticketSeparator) {
		return parseUUID(text)
	}
	parts := strings.Split(text, ticketSeparator)
	if len(parts) != 4 || parts[1] == "" || parts[2] == "" {
		return Key{}, newError("parse", KindMalformed, nil)
	}
	key, err := parseUUID(parts[3])
	if err != nil {
		return Key{}, err
	}
	return Key{text: text, timestamp: key.timestamp, upstream: parts[1], incarnation: parts[2]}, nil
}

func parseUUID(text string) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil {
		return Key{}, newError("parse", KindMalformed, err)
	}
	if id.Version() != 7 {
		return Key{}, newError("parse", KindNotTimeOrdered, nil)
	}
	return Key{text: id.String(), timestamp: uuidTimestamp(id)}, nil
}

func uuidTimestamp(id uuid.UUID) time.Time {
	seconds, nanoseconds := id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds).Truncate(time.Millisecond)
}

// String returns the key in its header form, without quotes.
func (k Key) String() string { return k.text }

// Timestamp returns the time in the key's UUID, to the millisecond.
func (k Key) Timestamp() time.Time { return k.timestamp }

// IsTicket reports whether the key is a ticket, which names its upstream and
// gate incarnation.
func (k Key) IsTicket() bool { return k.incarnation != "" }

// Upstream returns the upstream that a ticket names, or "" for a caller's key.
func (k Key) Upstream() string { return k.upstream }

// Incarnation returns the gate incarnation that a ticket names, or "" for a
// caller's key.
func (k Key) Incarnation() string { return k.incarnation }

// ShardMap lists the upstreams among which keys with a timestamp at or after
// From are divided.
type ShardMap struct {
	From      time.Time `cbor:"1,keyasint"`
	Upstreams []string  `cbor:"2,keyasint"`
}

// Owner returns the upstream that owns the key under shardMaps, which are
// ordered by From, or "" if the key is older than all of them. A ticket is
// owned by the upstream that it names.
func (k Key) Owner(shardMaps []ShardMap) string {
	if k.IsTicket() {
		return k.upstream
	}
	var current *ShardMap
	for i := range shardMaps {
		if !shardMaps[i].From.After(k.timestamp) {
			current = &shardMaps[i]
		}
	}
	if current == nil {
		return ""
	}
	return rendezvousOwner(k.text, current.Upstreams)
}

// rendezvousOwner selects an upstream by rendezvous hashing (Thaler and
// Ravishankar, 1996).
func rendezvousOwner(text string, upstreams []string) string {
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
