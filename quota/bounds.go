package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limit bounds the requests of an organisation over all nodes.
type Limit struct {
	// Rate is the number of requests per second.
	Rate float64
	// Burst is the number of requests allowed in addition at once.
	Burst float64
}

// Bounds are what callers tolerate beyond a Limit in any span of Window: Overage is a
// share of what the limit allows in the window, and Slack a number of requests.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

const (
	// leaseShare is the part of the tolerance that covers tokens on hand in addition to
	// the burst, standInShare the part that one stand-in mints, and startShare the part that
	// a new owner starts with. An owner that is replaced and returns within a window takes
	// up all of them, startShare twice, and a tenth is left for the moment in which it
	// hands over.
	leaseShare   = 0.4
	standInShare = 0.2
	startShare   = 0.15
	// maxLifetime bounds the time from an ask to the expiry of the tokens that it yields:
	// several round trips between failure domains, and a tenth of the usual window.
	maxLifetime = 500 * time.Millisecond
	// minLifetime exceeds a round trip between regions.
	minLifetime = 100 * time.Millisecond
	// lifetimeShare is the part of the capacity that tokens on hand may take up at the full
	// rate; the rest is left for bursts.
	lifetimeShare = 0.5
)

// tolerance returns how many requests beyond the limit a window may hold.
func (b Bounds) tolerance(l Limit) float64 {
	return b.Overage*(l.Rate*b.Window.Seconds()+l.Burst) + b.Slack
}

// Allowed returns how many requests any window may hold.
func (b Bounds) Allowed(l Limit) float64 {
	return l.Rate*b.Window.Seconds() + l.Burst + b.tolerance(l)
}

// spare returns how many tokens in a ledger and on hand the burst and the tolerance cover.
func (b Bounds) spare(l Limit) float64 { return l.Burst + leaseShare*b.tolerance(l) }

// capacity bounds the tokens in a ledger and on hand at all nodes together. It holds at least
// one, and what is on hand for the least lifetime at the full rate.
func (b Bounds) capacity(l Limit) float64 {
	return max(b.spare(l), 1, l.Rate*minLifetime.Seconds()/lifetimeShare)
}

// mintRate returns how many tokens an owner mints per second: the rate, less what makes up
// for a capacity that the burst and the tolerance do not cover.
func (b Bounds) mintRate(l Limit) float64 {
	return max(0, l.Rate-(b.capacity(l)-b.spare(l))/b.Window.Seconds())
}

// standInRate returns how many tokens per second a stand-in mints.
func (b Bounds) standInRate(l Limit) float64 {
	return min(l.Rate, standInShare*b.tolerance(l)/b.Window.Seconds())
}

// start returns the tokens of a new ledger.
func (b Bounds) start(l Limit) float64 { return startShare * b.tolerance(l) }

// twiceExceeds reports whether two owners at the same time would exceed the bound.
func (b Bounds) twiceExceeds(l Limit) bool {
	return l.Rate*b.Window.Seconds() > b.tolerance(l)
}

// lifetime returns how long tokens may be on hand.
func (b Bounds) lifetime(l Limit) time.Duration {
	seconds := lifetimeShare * b.capacity(l) / l.Rate
	if seconds > maxLifetime.Seconds() {
		return maxLifetime
	}
	return max(minLifetime, time.Duration(seconds*float64(time.Second)))
}

// Key identifies an organisation in messages.
func Key(organisation string) uint64 { return xxhash.Sum64String(organisation) }
