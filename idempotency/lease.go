package idempotency

import "time"

const (
	// LeaseDuration is how far the expiry of a renewed lease lies ahead of the
	// current time. It bounds how long callers' keys still run during an outage of
	// the platform, and how long they are refused after an upstream crashes.
	LeaseDuration = 2 * time.Minute
	// MaxClockSkew is the largest difference assumed between two hosts' clocks.
	MaxClockSkew = time.Second
)

// Lease is the interval of key timestamps from Start until before Expiry, whose
// keys only one incarnation of an upstream may run.
type Lease struct {
	Incarnation string    `cbor:"1,keyasint"`
	Start       time.Time `cbor:"2,keyasint"`
	Expiry      time.Time `cbor:"3,keyasint"`
}

// Covers reports whether the lease includes keys with the given timestamp.
func (l Lease) Covers(at time.Time) bool {
	return !at.Before(l.Start) && at.Before(l.Expiry)
}

// Extend returns the lease that an incarnation writes to acquire or renew it.
// now must have been read before the release notes in force were read, so that
// the expiry lies before the From of any ShardMap that the incarnation has not
// read.
func (l Lease) Extend(incarnation string, now time.Time) Lease {
	next := Lease{Incarnation: incarnation, Start: l.Start, Expiry: now.Add(LeaseDuration)}
	switch {
	case l.Incarnation == "":
		// No incarnation of this upstream has run a key yet.
		next.Start = time.Time{}
	case l.Incarnation != incarnation:
		// Start after the former incarnation's interval, whose keys only that
		// incarnation may run.
		next.Start = maxTime(now, l.Expiry)
	}
	next.Expiry = maxTime(next.Expiry, l.Expiry)
	if next.Expiry.Before(next.Start) {
		next.Expiry = next.Start
	}
	return next
}

// Release returns the lease that an incarnation writes after Records.Stop. It
// expires early, so that the successor need not wait for the full duration;
// lastClaimed is the latest timestamp of the keys that were claimed.
func (l Lease) Release(now, lastClaimed time.Time) Lease {
	end := maxTime(now, lastClaimed.Add(time.Millisecond))
	if end.Before(l.Expiry) {
		l.Expiry = maxTime(end, l.Start)
	}
	return l
}

// ShardMapStart returns the earliest key timestamp for which a list of upstreams
// published at now may apply. Every lease granted under the former list expires
// before it.
func ShardMapStart(now time.Time) time.Time {
	return now.Add(LeaseDuration + 2*MaxClockSkew)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
