package idempotency

import "time"

const (
	// LeaseDuration is how far ahead of the platform's confirmation the keys of
	// an upstream may be run, and so how long an outage of the platform or the
	// takeover of a crashed upstream can last without or with refusals.
	LeaseDuration = 2 * time.Minute
	// MaxClockSkew bounds the difference between two hosts' clocks.
	MaxClockSkew = time.Second
)

// Lease is the interval of key times that one incarnation may run, the
// horizon excluded.
type Lease struct {
	Incarnation string    `cbor:"1,keyasint"`
	Start       time.Time `cbor:"2,keyasint"`
	Expiry      time.Time `cbor:"3,keyasint"`
}

// Covers tells whether keys minted at t belong to the tenure.
func (t Lease) Covers(at time.Time) bool {
	return !at.Before(t.Start) && at.Before(t.Expiry)
}

// Extend returns the record an incarnation writes to hold or renew its tenure.
// now must have been read before the release notes in force were read, so that
// the horizon lies before any Placement that the incarnation does not know.
func (t Lease) Extend(incarnation string, now time.Time) Lease {
	next := Lease{Incarnation: incarnation, Start: t.Start, Expiry: now.Add(LeaseDuration)}
	switch {
	case t.Incarnation == "":
		// No incarnation of this upstream has run a key yet.
		next.Start = time.Time{}
	case t.Incarnation != incarnation:
		// Keys of the former incarnation's interval are never run again.
		next.Start = later(now, t.Expiry)
	}
	next.Expiry = later(next.Expiry, t.Expiry)
	if next.Expiry.Before(next.Start) {
		next.Expiry = next.Start
	}
	return next
}

// Release returns the record an incarnation writes once it accepts no more
// keys, so that its successor need not wait for the horizon; accepted is the
// latest key time it has accepted.
func (t Lease) Release(now, accepted time.Time) Lease {
	end := later(now, accepted.Add(time.Millisecond))
	if end.Before(t.Expiry) {
		t.Expiry = later(end, t.Start)
	}
	return t
}

// ShardMapStart returns the key time from which a list of upstreams published
// at now may apply: no horizon granted under the former list reaches it.
func ShardMapStart(now time.Time) time.Time {
	return now.Add(LeaseDuration + 2*MaxClockSkew)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
