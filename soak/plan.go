package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// Kind of a disturbance.
type kind string

// The disturbances.
const (
	kill          kind = "kill"
	pause         kind = "pause"
	stop          kind = "stop"
	reload        kind = "reload"
	callsDelayed  kind = "calls-delayed"
	callsSilent   kind = "calls-silent"
	callsDeaf     kind = "calls-deaf"
	callsReset    kind = "calls-reset"
	callsRefused  kind = "calls-refused"
	serverDelayed kind = "upstream-delayed"
	serverDeaf    kind = "upstream-deaf"
	serverReset   kind = "upstream-reset"
	serverFaults  kind = "upstream-faults"
	serverMoves   kind = "upstream-replaced"
	storeSilent   kind = "store-silent"
	storeReset    kind = "store-reset"
	storeDown     kind = "store-down"
	storeSlow     kind = "store-slow"
	storeLosing   kind = "store-loses-answers"
	storeCompact  kind = "store-compacts"
	storeLeases   kind = "store-ends-leases"
	publish       kind = "publish"
)

// kinds are all disturbances. Planned work stands twice, so that half of the
// stops and changes meet each other.
var kinds = []kind{
	kill, pause, stop, stop, reload, callsDelayed, callsSilent, callsDeaf, callsReset, callsRefused, serverDelayed,
	serverDeaf, serverReset, serverFaults, serverMoves, serverMoves, storeSilent, storeReset, storeDown, storeSlow,
	storeLosing, storeCompact, storeLeases, publish, publish, publish,
}

const (
	// eventsPerSecond is how often something happens: with the lengths below,
	// about two disturbances are on at a time.
	eventsPerSecond = 1.5
	// seriesShare is the share of events that are repeated soon.
	seriesShare = 0.3
	// shortest and longest bound a disturbance. The longest outlasts the time
	// after which a node counts as silent, twice.
	shortest = 100 * time.Millisecond
	longest  = 2 * time.Second
)

// event is one disturbance.
type event struct {
	at   time.Duration
	kind kind
	node int
	span time.Duration
}

// String describes the event.
func (e event) String() string {
	return fmt.Sprintf("%s %s node %d for %s", e.at.Round(time.Millisecond), e.kind, e.node, e.span.Round(time.Millisecond))
}

// planned tells that the event is planned work.
func (e event) planned() bool {
	return e.kind == stop || e.kind == reload || e.kind == publish || e.kind == serverMoves
}

// draw returns the events of a seed, in the order of time. One run in four has
// planned work only.
func draw(seed uint64, nodes int, span time.Duration) []event {
	rng := rand.New(rand.NewPCG(seed, seed))
	calm := rng.IntN(4) == 0
	count := max(1, int(eventsPerSecond*span.Seconds()))
	var events []event
	for len(events) < count {
		e := event{
			at: time.Duration(rng.Int64N(int64(span))), kind: kinds[rng.IntN(len(kinds))], node: rng.IntN(nodes),
			span: shortest + time.Duration(rng.Int64N(int64(longest-shortest))),
		}
		if calm && !e.planned() {
			continue
		}
		events = append(events, e)
		for rng.Float64() < seriesShare {
			e.at += shortest + time.Duration(rng.Int64N(int64(longest)))
			if rng.IntN(2) == 0 {
				e.node = rng.IntN(nodes)
			}
			events = append(events, e)
		}
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].at < events[j].at })
	return events
}
