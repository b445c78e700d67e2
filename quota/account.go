package quota

import (
	"math"
	"time"
)

const (
	// demandSpan is the time over which demand is averaged: a hot organisation is
	// recognised within it, and a shorter one would see single requests as demand.
	demandSpan = time.Second
	// aheadShare is the part of the lifetime of tokens for whose demand they are asked ahead,
	// so that most are spent before they expire.
	aheadShare = 0.5
	// refusedPause is the time for which an organisation counts as beyond its quota after
	// its owner granted less than it was asked for: requests that come in it cost no message.
	refusedPause = 50 * time.Millisecond
	// resendAfter is the time after which an ask without an answer is repeated: more
	// than a round trip between failure domains.
	resendAfter = 20 * time.Millisecond
)

// account holds the tokens of one organisation at an entry node.
type account struct {
	key   uint64
	limit Limit
	// onHand holds the tokens by expiry, earliest first.
	onHand []grant
	// demand and admitted are the numbers of requests per second, averaged until updated.
	demand, admitted float64
	updated          time.Time
	// returned holds the tokens of requests that no upstream ran, to give back with the next
	// ask.
	returned []grant
	// waiting counts the requests that wait for tokens.
	waiting int
	// askedAt is when an unanswered ask was sent, zero if there is none.
	askedAt time.Time
	// refusedUntil is the time until which the organisation counts as beyond its quota,
	// and answered when the owner last answered.
	refusedUntil, answered time.Time
	owner                  string
	// standIn means that a stand-in answered.
	standIn bool
	// due means that the account is in the list of those to ask for.
	due   bool
	usage Usage
}

// Usage counts the requests of an organisation at a node.
type Usage struct {
	Asked, Admitted, Refused uint64
	// Unanswered counts those for which no owner answered in time.
	Unanswered uint64
}

// Add adds other counts.
func (u *Usage) Add(other Usage) {
	u.Asked += other.Asked
	u.Admitted += other.Admitted
	u.Refused += other.Refused
	u.Unanswered += other.Unanswered
}

// expire drops the tokens that may no longer be spent. They are not given back: the ledger
// no longer counts them as on hand and may have minted others in their place, so that hosts
// that give back many at once would exceed the bound.
func (a *account) expire(now time.Time) {
	for len(a.onHand) > 0 && !now.Before(a.onHand[0].expires) {
		a.onHand = a.onHand[1:]
	}
}

// tokens returns the number of tokens on hand.
func (a *account) tokens() int {
	total := 0
	for _, g := range a.onHand {
		total += g.tokens
	}
	return total
}

// spend takes a token, and returns when it expires and whether there was one.
func (a *account) spend(now time.Time) (expires time.Time, ok bool) {
	a.expire(now)
	if len(a.onHand) == 0 {
		return time.Time{}, false
	}
	expires = a.onHand[0].expires
	if a.onHand[0].tokens--; a.onHand[0].tokens == 0 {
		a.onHand = a.onHand[1:]
	}
	a.admitted += 1 / demandSpan.Seconds()
	a.usage.Admitted++
	return expires, true
}

// takeReturned returns the number of tokens to give back, and forgets them. Those that
// expired meanwhile are lost, for the same reason as those on hand.
func (a *account) takeReturned(now time.Time) int {
	total := 0
	for _, g := range a.returned {
		if now.Before(g.expires) {
			total += g.tokens
		}
	}
	a.returned = a.returned[:0]
	return total
}

// credit adds tokens.
func (a *account) credit(now time.Time, g grant) {
	if g.tokens == 0 {
		return
	}
	a.onHand = append(a.onHand, g)
	for i := len(a.onHand) - 1; i > 0 && a.onHand[i].expires.Before(a.onHand[i-1].expires); i-- {
		a.onHand[i], a.onHand[i-1] = a.onHand[i-1], a.onHand[i]
	}
	a.expire(now)
}

// drop gives up all tokens on hand.
func (a *account) drop() { a.onHand = nil }

// decay brings the averages up to now.
func (a *account) decay(now time.Time) {
	factor := math.Exp(-now.Sub(a.updated).Seconds() / demandSpan.Seconds())
	a.demand, a.admitted, a.updated = a.demand*factor, a.admitted*factor, now
}

// want returns how many tokens to ask for: those for the waiting requests, and those for
// the demand ahead. Nothing is asked while more than half of that is on hand.
func (a *account) want(lifetime time.Duration) int {
	ahead := int(a.demand * aheadShare * lifetime.Seconds())
	tokens := a.tokens()
	if a.waiting == 0 && 2*tokens > ahead {
		return 0
	}
	return max(0, a.waiting+ahead-tokens)
}

// retryAfter returns the time in which tokens come for what was refused here in the
// latest second, at most the window.
func (a *account) retryAfter(nodes int, window time.Duration) time.Duration {
	supply := max(a.admitted, a.limit.Rate/float64(nodes))
	seconds := max(0, a.demand-a.admitted) * demandSpan.Seconds() / supply
	return time.Duration(min(seconds, window.Seconds()) * float64(time.Second))
}
