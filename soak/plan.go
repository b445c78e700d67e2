package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// eventKind is the kind of an event.
type eventKind string

// The kinds of event: faults and planned operations.
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
	storeRestored          eventKind = "store-restored"
	publishConfiguration   eventKind = "publish"
	upstreamRejects        eventKind = "upstream-rejects"
)

// weightedKinds are the kinds that events are drawn from. Stops, replacements
// and publications are listed several times, which makes them more likely to be
// drawn, and so to overlap with other events.
var weightedKinds = []eventKind{
	killProcess, pauseProcess, stopProcess, stopProcess, reloadSettings,
	callsDelayed, callsDropped, callsAnswersDropped, callsReset, callsRefused,
	upstreamDelayed, upstreamAnswersDropped, upstreamReset, upstreamFaults, upstreamReplaced, upstreamReplaced,
	storeDropped, storeReset, storeDown, storeSlow, storeDropsAnswers, storeCompacts, storeEndsLeases,
	publishConfiguration, publishConfiguration, publishConfiguration,
}

const (
	// eventsPerSecond is the rate of events. With the durations below, about two
	// events are in progress at a time.
	eventsPerSecond = 1.5
	// repeatProbability is the probability that an event is repeated, at most
	// minDuration+maxDuration later.
	repeatProbability = 0.3
	// minDuration and maxDuration bound the duration of an event. The maximum is
	// more than twice SilenceTimeout of package fleet, after which a node counts as
	// silent.
	minDuration = 100 * time.Millisecond
	maxDuration = 2 * time.Second
)

// event is one fault or planned operation. Its offset is the time from the start of
// the events.
type event struct {
	offset   time.Duration
	kind     eventKind
	node     int
	duration time.Duration
	// rejectShare and repeatShare are those of the upstream during upstreamRejects.
	rejectShare, repeatShare float64
	// copyAge is the age of the copy in storeRestored.
	copyAge time.Duration
}

// String describes the event.
func (e event) String() string {
	text := fmt.Sprintf("%s %s node %d for %s", e.offset.Round(time.Millisecond), e.kind, e.node, e.duration.Round(time.Millisecond))
	if e.kind == upstreamRejects {
		text += fmt.Sprintf(", %.2f, repeats %.2f", e.rejectShare, e.repeatShare)
	}
	if e.kind == storeRestored {
		text += fmt.Sprintf(", copy of %s before", e.copyAge.Round(time.Millisecond))
	}
	return text
}

// planned reports whether the event is a planned operation, which must not fail
// requests.
func (e event) planned() bool {
	return e.kind == stopProcess || e.kind == reloadSettings || e.kind == publishConfiguration || e.kind == upstreamReplaced
}

// failsRequests reports whether the event may break the connections of callers or delay
// their answers beyond the timeout of the route.
func (e event) failsRequests() bool { return !e.planned() && e.kind != upstreamRejects }

// drawEvents returns the events of a seed in the order of their offsets. One seed in
// four has planned operations only.
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
