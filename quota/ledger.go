package quota

import "time"

// ledger holds the tokens of one organisation at its owner.
type ledger struct {
	level float64
	// minted is the time up to which tokens were minted.
	minted time.Time
	// outstanding holds the grants that may still be on hand somewhere, oldest first.
	outstanding []grant
	// onHand is the sum of outstanding.
	onHand float64
	// used is when the ledger was last asked.
	used time.Time
	// short is when the ledger of a limit that needs a roll call last had less than it was
	// asked for.
	short time.Time
}

// grant is a number of tokens that expire together.
type grant struct {
	tokens  int
	expires time.Time
}

// newLedger returns the ledger of a new owner with a number of tokens. The burst is not
// among them, since an earlier owner may have handed it out.
func newLedger(now time.Time, tokens float64) *ledger {
	return &ledger{level: tokens, minted: now, used: now}
}

// mint adds the tokens of the time since the latest call. Tokens beyond the capacity,
// less those that may be on hand, are lost; a lower limit takes effect here at once.
func (l *ledger) mint(now time.Time, rate, capacity float64) {
	for len(l.outstanding) > 0 && !now.Before(l.outstanding[0].expires) {
		l.onHand -= float64(l.outstanding[0].tokens)
		l.outstanding = l.outstanding[1:]
	}
	if elapsed := now.Sub(l.minted); elapsed > 0 {
		l.level += rate * elapsed.Seconds()
		l.minted = now
	}
	l.level = max(0, min(l.level, capacity-l.onHand))
}

// take grants at most want tokens, which may be on hand until expires.
func (l *ledger) take(want int, expires time.Time) int {
	tokens := min(want, int(l.level))
	if tokens <= 0 {
		return 0
	}
	l.level -= float64(tokens)
	l.onHand += float64(tokens)
	if last := len(l.outstanding) - 1; last >= 0 && !expires.After(l.outstanding[last].expires) {
		l.outstanding[last].tokens += tokens
	} else {
		l.outstanding = append(l.outstanding, grant{tokens: tokens, expires: expires.Add(grantMerge)})
	}
	return tokens
}

// grantMerge is how much longer a grant counts as on hand than it may be, so that a ledger
// keeps those as one that follow within this time.
const grantMerge = 25 * time.Millisecond

// giveBack returns tokens that were not spent.
func (l *ledger) giveBack(tokens int) { l.level += float64(tokens) }

// empty forgets all tokens that were not granted.
func (l *ledger) empty(now time.Time) { l.level, l.minted = 0, now }
