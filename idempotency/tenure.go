package idempotency

import "time"

const (
	// TenureSpan is how far ahead of the platform's confirmation the keys of
	// an upstream may be run, and so how long an outage of the platform or the
	// takeover of a crashed upstream can last without or with refusals.
	TenureSpan = 2 * time.Minute
	// ClockMargin bounds the difference between two hosts' clocks.
	ClockMargin = time.Second
)

// Tenure is the interval of key times that one incarnation may run, the
// horizon excluded.
type Tenure struct {
	Incarnation string    `cbor:"1,keyasint"`
	Start       time.Time `cbor:"2,keyasint"`
	Horizon     time.Time `cbor:"3,keyasint"`
}

// Covers tells whether keys minted at t belong to the tenure.
func (t Tenure) Covers(at time.Time) bool {
	return !at.Before(t.Start) && at.Before(t.Horizon)
}

// Extend returns the record an incarnation writes to hold or renew its tenure.
// now must have been read before the release notes in force were read, so that
// the horizon lies before any Placement that the incarnation does not know.
func (t Tenure) Extend(incarnation string, now time.Time) Tenure {
	next := Tenure{Incarnation: incarnation, Start: t.Start, Horizon: now.Add(TenureSpan)}
	switch {
	case t.Incarnation == "":
		// No incarnation of this upstream has run a key yet.
		next.Start = time.Time{}
	case t.Incarnation != incarnation:
		// Keys of the former incarnation's interval are never run again.
		next.Start = later(now, t.Horizon)
	}
	next.Horizon = later(next.Horizon, t.Horizon)
	if next.Horizon.Before(next.Start) {
		next.Horizon = next.Start
	}
	return next
}

// Release returns the record an incarnation writes once it accepts no more
// keys, so that its successor need not wait for the horizon; accepted is the
// latest key time it has accepted.
func (t Tenure) Release(now, accepted time.Time) Tenure {
	end := later(now, accepted.Add(time.Millisecond))
	if end.Before(t.Horizon) {
		t.Horizon = later(end, t.Start)
	}
	return t
}

// PlacementFrom returns the key time from which a list of upstreams published
// at now may apply: no horizon granted under the former list reaches it.
func PlacementFrom(now time.Time) time.Time {
	return now.Add(TenureSpan + 2*ClockMargin)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
