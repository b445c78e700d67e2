package ingress

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// The decisions in this file answer callers that come back after a rejection while the
// overload goes on: their latency objective counts from their first attempt, so that what
// is late already must not delay what can still be in time. A request does not tell its
// first attempt, but a caller that comes back gives a shorter timeout than usual.

const (
	// timeoutWindow is the time over which timeouts are counted, for some tens of
	// requests of a route at an entry node. Two windows count.
	timeoutWindow = 10 * time.Second
	// usualShare and minUsual are the share and the number of a route's requests from
	// which a timeout is usual. Callers that come back have any timeout below the usual.
	usualShare = 0.05
	minUsual   = 3
	// maxTimeouts bounds the timeouts counted for a route in a window.
	maxTimeouts = 256
)

// usualTimeouts counts the timeouts that callers ask for, by route; it is safe for
// concurrent use.
type usualTimeouts struct {
	mu     sync.Mutex
	routes map[string]*timeoutCounts
}

// timeoutCounts holds the timeouts of one route.
type timeoutCounts struct {
	since             time.Time
	current, previous timeoutCount
	// usuals holds the usual timeouts, and some that no longer are. One becomes usual only
	// when it is counted, or with a new window.
	usuals []time.Duration
}

type timeoutCount struct {
	byTimeout map[time.Duration]int
	total     int
}

func newUsualTimeouts() *usualTimeouts { return &usualTimeouts{routes: map[string]*timeoutCounts{}} }

// elapsed counts a timeout that a caller asks for, and returns the estimated time since
// the caller's first attempt: what the next longer usual timeout exceeds it by.
func (u *usualTimeouts) elapsed(now time.Time, route string, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.routes[route]
	if c == nil {
		if len(u.routes) >= maxLearnedRoutes {
			clear(u.routes)
		}
		c = &timeoutCounts{since: now}
		u.routes[route] = c
	}
	c.add(now, timeout)
	if c.usual(timeout) {
		return 0
	}
	next := time.Duration(0)
	c.usuals = slices.DeleteFunc(c.usuals, func(other time.Duration) bool { return !c.usual(other) })
	for _, other := range c.usuals {
		if other > timeout && (next == 0 || other < next) {
			next = other
		}
	}
	return max(0, next-timeout)
}

// add counts a timeout.
func (c *timeoutCounts) add(now time.Time, timeout time.Duration) {
	if now.Sub(c.since) >= timeoutWindow {
		c.previous, c.current, c.since = c.current, timeoutCount{}, now
		c.usuals = slices.Collect(maps.Keys(c.previous.byTimeout))
	}
	if c.current.byTimeout == nil {
		c.current.byTimeout = map[time.Duration]int{}
	}
	c.current.total++
	if _, ok := c.current.byTimeout[timeout]; ok || len(c.current.byTimeout) < maxTimeouts {
		c.current.byTimeout[timeout]++
	}
	if c.usual(timeout) && !slices.Contains(c.usuals, timeout) {
		c.usuals = append(c.usuals, timeout)
	}
}

// usual reports whether a timeout is one of those that callers begin with.
func (c *timeoutCounts) usual(timeout time.Duration) bool {
	count := c.current.byTimeout[timeout] + c.previous.byTimeout[timeout]
	return count >= minUsual && float64(count) >= usualShare*float64(c.current.total+c.previous.total)
}
