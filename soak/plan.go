package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// Kind of a disturbance.
type eventKind string

// The disturbances.
const (
	killProcess            eventKind = "kill"
	pauseProcess           eventKind = "pause"
	stopProcess            eventKind = "stop"
	reloadSettings         eventKind = "reload"
	callsDelayed           eventKind = "calls-delayed"
	callsDropped           eventKind = "calls-silent"
	callsAnswersDropped    eventKind = "calls-deaf"
	callsReset             eventKind = "calls-reset"
	callsRefused           eventKind = "calls-refused"
	upstreamDelayed        eventKind = "upstream-delayed"
	upstreamAnswersDropped eventKind = "upstream-deaf"
	upstreamReset          eventKind = "upstream-reset"
	upstreamFaults         eventKind = "upstream-faults"
	upstreamReplaced       eventKind = "upstream-replaced"
	storeDropped           eventKind = "store-silent"
	storeReset             eventKind = "store-reset"
	storeDown              eventKind = "store-down"
	storeSlow              eventKind = "store-slow"
	storeDropsAnswers      eventKind = "store-loses-answers"
	storeCompacts          eventKind = "store-compacts"
	storeEndsLeases        eventKind = "store-ends-leases"
	publishConfiguration   eventKind = "publish"
)

// weightedKinds are all disturbances. Planned work stands twice, so that half of the
// stops and changes meet each other.
var weightedKinds = []eventKind{
	killProcess, pauseProcess, stopProcess, stopProcess, reloadSettings, callsDelayed, callsDropped, callsAnswersDropped, callsReset, callsRefused, upstreamDelayed,
	upstreamAnswersDropped, upstreamReset, upstreamFaults, upstreamReplaced, upstreamReplaced, storeDropped, storeReset, storeDown, storeSlow,
	storeDropsAnswers, storeCompacts, storeEndsLeases, publishConfiguration, publishConfiguration, publishConfiguration,
}

const (
	// eventsPerSecond is how often something happens: with the lengths below,
	// about two disturbances are on at a time.
	eventsPerSecond = 1.5
	// repeatProbability is the share of events that are repeated soon.
	repeatProbability = 0.3
	// minDuration and longest bound a disturbance. The longest outlasts the time
	// after which a node counts as silent, twice.
	minDuration = 100 * time.Millisecond
	maxDuration = 2 * time.Second
)

// event is one disturbance.
type event struct {
	offset   time.Duration
	kind     eventKind
	node     int
	duration time.Duration
}

// String describes the event.
func (e event) String() string {
	return fmt.Sprintf("%s %s node %d for %s", e.offset.Round(time.Millisecond), e.kind, e.node, e.duration.Round(time.Millisecond))
}

// planned tells that the event is planned work.
func (e event) planned() bool {
	return e.kind == stopProcess || e.kind == reloadSettings || e.kind == publishConfiguration || e.kind == upstreamReplaced
}

// drawEvents returns the events of a seed, in the order of time. One run in four has
// planned work only.
func drawEvents(seed uint64, nodes int, duration time.Duration) []event {
	rng := rand.New(rand.NewPCG(seed, seed))
	plannedOnly := rng.IntN(4) == 0
	count := max(1, int(eventsPerSecond*duration.Seconds()))
	var events []event
	for len(events) < count {
		e := event{
			offset: time.Duration(rng.Int64N(int64(duration))), kind: weightedKinds[rng.IntN(len(weightedKinds))], node: rng.IntN(nodes),
			duration: minDuration + time.Duration(rng.Int64N(int64(maxDuration-minDuration))),
		}
		if plannedOnly && !e.planned() {
			continue
		}
		events = append(events, e)
		for rng.Float64() < repeatProbability {
			e.offset += minDuration + time.Duration(rng.Int64N(int64(maxDuration)))
			if rng.IntN(2) == 0 {
				e.node = rng.IntN(nodes)
			}
			events = append(events, e)
		}
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].offset < events[j].offset })
	return events
}
