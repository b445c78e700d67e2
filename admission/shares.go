package admission

import "time"

// The decisions in this file answer one organisation that asks for several times its
// usual while the gate has no room for all: start-time fair queueing (Goyal, Vin, Cheng
// 1996) over the organisations of a class, weighted by the expected service time. The
// tags are kept by organisation instead of by call, so that calls of the same
// organisation keep their order by deadline.

const (
	// minCost is the cost of a call without an expected service time; with it, calls
	// count before the first service time is known.
	minCost = time.Millisecond
	// maxExcess bounds what a run counts for beyond its expected service time, as a
	// multiple of it, so that one long run does not cost an organisation its turns for
	// seconds.
	maxExcess = 8
	// minShares is the number of organisations from which idle ones are removed.
	minShares = 64
)

// class holds the calls whose order follows from the shares of their organisations.
type class struct{ depth, priority int }

// share is what one organisation has used of the gate within a class.
type share struct {
	// start is the virtual time at which its next call starts.
	start time.Duration
	// held is the expected service time of its queued calls, and waiting their number.
	held    time.Duration
	waiting int
	// ranked sums up its calls in an estimate.
	ranked time.Duration
}

// shares holds the organisations of a class; an organisation that has used no more than
// the others is not kept.
type shares struct {
	// virtual is the start tag of the call granted last.
	virtual        time.Duration
	byOrganisation map[string]*share
	// sweepAt is the number of organisations at which idle ones are removed.
	sweepAt int
}

func newShares() *shares {
	return &shares{byOrganisation: map[string]*share{}, sweepAt: minShares}
}

// of returns the share of an organisation. One without queued calls starts no earlier
// than the call granted last, so that nothing is saved up while idle.
func (s *shares) of(organisation string) *share {
	own := s.byOrganisation[organisation]
	if own == nil {
		s.sweep()
		own = &share{}
		s.byOrganisation[organisation] = own
	}
	if own.waiting == 0 {
		own.start = max(own.start, s.virtual)
	}
	return own
}

// sweep removes the organisations whose next call would start now in any case.
func (s *shares) sweep() {
	if len(s.byOrganisation) < s.sweepAt {
		return
	}
	for name, other := range s.byOrganisation {
		if other.waiting == 0 && other.start <= s.virtual {
			delete(s.byOrganisation, name)
		}
	}
	s.sweepAt = max(minShares, 2*len(s.byOrganisation))
}

// granted records that a call of the organisation starts.
func (s *shares) granted(own *share, cost time.Duration) {
	s.virtual = max(s.virtual, own.start)
	own.start += cost
}
