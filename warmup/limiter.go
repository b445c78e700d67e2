package warmup

import (
	"math"
	"sort"
	"time"
)

// The decisions in this file answer a herd of calls to an upstream that has just started
// or turns cold, the whole failure domain at once, while the node beside it may have
// restarted as well.

const (
	// Window is the time within which sends are counted: the second of the rate, and
	// sendDelay at its end.
	Window = time.Second + sendDelay
	// sendDelay is the longest time that usually passes between a send's place in the
	// window and its bytes on a connection, which may have to be opened.
	sendDelay = 50 * time.Millisecond
	// presumedSlackShare is the share of the slack that sends may use before the
	// upstream is known to be cold. The rest is for sends that take longer than
	// sendDelay.
	presumedSlackShare = 0.75
	// reportShare is the share of the places taken since the last report from which
	// another report is due, so that it arrives before a burst takes the others.
	reportShare = 0.4
	// coldReportInterval is the interval between reports of a cold upstream in use.
	coldReportInterval = 500 * time.Millisecond
)

// Bounds is what a cold upstream tolerates. The zero value means that it is not limited.
type Bounds struct {
	// Rate is the number of requests per second that it tolerates.
	Rate float64
	// Overage is the factor by which the rate may be exceeded, and Slack the number of
	// requests beyond that in any second.
	Overage, Slack float64
}

// Limited reports whether the bounds limit an upstream.
func (b Bounds) Limited() bool { return b.Rate > 0 }

// total returns the number of requests that the upstream may get in a second.
func (b Bounds) total() int { return int(math.Min(b.Rate*b.Overage+b.Slack, math.MaxInt32)) }

// cold returns the number of sends in a Window to an upstream known as cold.
func (b Bounds) cold() int {
	return min(max(1, int(math.Min(b.Rate*b.Overage, math.MaxInt32))), b.total())
}

// presumed returns the number of sends in a Window since a report that said warm.
func (b Bounds) presumed() int {
	return max(b.cold(), int(math.Min(b.Rate*b.Overage+presumedSlackShare*b.Slack, math.MaxInt32)))
}

// Limiter decides when an upstream may be sent a request. It is not safe for concurrent
// use.
type Limiter struct {
	// started is the start of the process, before which another one may have sent, zero
	// if none can have.
	started time.Time
	// sends holds the times of the sends that count, the earliest first.
	sends []time.Time
	// reportedAt is the time of the last report, zero if there is none.
	reportedAt time.Time
	// warmAt is the time of the last report that said warm.
	warmAt time.Time
	cold   bool
	// coldUntil is when the upstream ceases to be cold, if cold is set.
	coldUntil time.Time
}

// NewLimiter returns a Limiter of a process that started at started.
func NewLimiter(started time.Time) *Limiter { return &Limiter{started: started} }

// Reset forgets what was reported, as another incarnation of the upstream runs. The
// sends before count still: it may have received them.
//
// started is when the incarnation started by the host's clock. An earlier process cannot
// have sent to one that started after this process.
func (l *Limiter) Reset(started time.Time) {
	if started.After(l.started) {
		l.started = time.Time{}
	}
	l.reportedAt, l.warmAt, l.cold, l.coldUntil = time.Time{}, time.Time{}, false, time.Time{}
}

// Report records a report, received at now, that the upstream stays cold for left; 0
// means that it is warm. The upstream made the report not before asked. Report returns
// whether the upstream became cold or warm by it.
func (l *Limiter) Report(now, asked time.Time, left time.Duration) (changed bool) {
	if asked.Before(l.reportedAt) {
		return false
	}
	known, wasCold := !l.reportedAt.IsZero(), l.cold
	l.reportedAt, l.cold = asked, left > 0
	if l.cold {
		l.coldUntil = now.Add(left)
	} else {
		l.warmAt = asked
		l.prune(now)
	}
	return l.cold != wasCold || !known
}

// Cold reports whether the upstream said that it is cold at now.
func (l *Limiter) Cold(now time.Time) bool { return l.cold && now.Before(l.coldUntil) }

// Room returns how many requests may be sent at now.
func (l *Limiter) Room(now time.Time, bounds Bounds) int {
	limit := bounds.presumed()
	if l.warmAt.IsZero() || l.cold {
		limit = bounds.cold()
	}
	if l.earlierSends(now) {
		return 0
	}
	return max(0, limit-len(l.counted(now)))
}

// Take takes a place for a send at now, and reports whether there was one.
func (l *Limiter) Take(now time.Time, bounds Bounds) bool {
	if l.Room(now, bounds) == 0 {
		return false
	}
	l.prune(now)
	at := sort.Search(len(l.sends), func(i int) bool { return l.sends[i].After(now) })
	l.sends = append(l.sends, time.Time{})
	copy(l.sends[at+1:], l.sends[at:])
	l.sends[at] = now
	return true
}

// Return gives back the place taken at a time, for a request that the upstream did not
// receive.
func (l *Limiter) Return(taken time.Time) {
	for i, at := range l.sends {
		if at.Equal(taken) {
			l.sends = append(l.sends[:i], l.sends[i+1:]...)
			return
		}
	}
}

// NextRoom returns when, without another report, there is room for a request after
// ahead others.
func (l *Limiter) NextRoom(now time.Time, bounds Bounds, ahead int) time.Time {
	counted := l.counted(now)
	free := l.Room(now, bounds)
	if ahead < free {
		return now
	}
	if l.earlierSends(now) {
		return l.started.Add(Window * time.Duration(1+ahead/max(1, bounds.cold())))
	}
	if i := ahead - free; i < len(counted) {
		return counted[i].Add(Window)
	}
	return now.Add(2 * Window)
}

// ReportDue reports whether a report of the upstream is due before more is sent.
func (l *Limiter) ReportDue(now time.Time, bounds Bounds) bool {
	switch {
	case l.reportedAt.IsZero() || l.cold && !l.Cold(now):
		return true
	case l.cold:
		return now.Sub(l.reportedAt) >= coldReportInterval
	}
	return float64(len(l.counted(now))) >= reportShare*float64(bounds.presumed())
}

// earlierSends reports whether another process on the host may have sent in this Window
// all that a cold upstream tolerates.
func (l *Limiter) earlierSends(now time.Time) bool {
	return l.warmAt.Before(l.started) && now.Before(l.started.Add(Window))
}

// counted returns the sends that count at now. The upstream may have received a send
// made up to sendDelay before it said warm after that.
func (l *Limiter) counted(now time.Time) []time.Time {
	since := now.Add(-Window)
	if !l.warmAt.IsZero() && l.warmAt.Add(-sendDelay).After(since) {
		since = l.warmAt.Add(-sendDelay)
	}
	return l.sends[sort.Search(len(l.sends), func(i int) bool { return l.sends[i].After(since) }):]
}

// prune forgets the sends that no longer count.
func (l *Limiter) prune(now time.Time) {
	kept := copy(l.sends, l.counted(now))
	l.sends = l.sends[:kept]
}
