package loglimit

import (
	"time"

	"golang.org/x/time/rate"
)

// Limit limits the log lines of a kind; its caller serialises the calls.
type Limit struct {
	limiter *rate.Limiter
	omitted uint64
}

// New returns a Limit of perSecond lines a second, with bursts of as many.
func New(perSecond int) *Limit { return NewWithBurst(perSecond, perSecond) }

// NewWithBurst returns a Limit of perSecond lines a second, with bursts of up to burst lines.
func NewWithBurst(perSecond, burst int) *Limit {
	return &Limit{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Allow reports whether all of the next lines, which belong together, may be written, and
// how many were omitted since the last that were.
func (l *Limit) Allow(now time.Time, lines int) (omitted uint64, ok bool) {
	if !l.limiter.AllowN(now, lines) {
		l.omitted += uint64(max(lines, 0))
		return 0, false
	}
	omitted, l.omitted = l.omitted, 0
	return omitted, true
}
