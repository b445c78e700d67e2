package admission

import "time"

// The decisions in this file answer nested calls that an upstream has no room for: each
// that is lost wastes the run that made it. The excess follows what is lost to full or
// slow queues, as in DAGOR and Breakwater, and not the utilization: a full upstream that
// serves all nested calls in time has none. Other calls have no excess, since the gate
// rejects them before any work was spent.

const (
	// excessInterval is the time between two updates of the excess: about a run, since
	// the calls of admitted runs come that much later.
	excessInterval = 100 * time.Millisecond
	// excessGain is the part of the lost share of the calls by which the admitted share
	// decreases in an interval. Entry nodes hear of it, and their runs end, within a few
	// intervals, so that it must be well below one.
	excessGain = 0.3
	// steadyIncrease and idleIncrease are what the admitted share increases by in an
	// interval: while calls are lost, to find the level at which few are, and after an
	// interval without losses in which the queue was empty.
	steadyIncrease = 0.01
	idleIncrease   = 0.1
	// delayedShare is the share of its longest wait from which a nested call counts as
	// lost although it is served: its run holds a slot meanwhile, and will be late.
	delayedShare = 0.6
	// minAdmittedShare is the least admitted share: without some calls, nothing would
	// show that there is room again.
	minAdmittedShare = 0.1
)

// excess estimates the share of the nested calls that the upstream has no room for.
type excess struct {
	// rejected is the share of the demand that there is no room for.
	rejected float64
	// arrivals and lost count the calls of the interval that began at since. Lost ones were
	// rejected, gave up while queued or were delayed.
	arrivals, lost int
	since          time.Time
	// waiting is the number of queued calls, and emptied means that it was 0 within the
	// interval.
	waiting int
	emptied bool
}

// advance ends the intervals that have passed.
func (e *excess) advance(now time.Time) {
	passed := now.Sub(e.since) / excessInterval
	if passed < 1 {
		return
	}
	lost := min(1, float64(e.lost)/float64(max(e.arrivals, 1)))
	admitted := (1 - e.rejected) * (1 - excessGain*lost)
	if e.lost == 0 && e.emptied {
		admitted += idleIncrease * float64(passed)
	} else {
		admitted += steadyIncrease
	}
	e.rejected = min(max(0, 1-admitted), 1-minAdmittedShare)
	e.since, e.arrivals, e.lost, e.emptied = now, 0, 0, e.waiting == 0
}

// queue changes the number of queued calls.
func (e *excess) queue(change int) {
	e.waiting += change
	e.emptied = e.emptied || e.waiting == 0
}
