package routing

import (
	"time"

	"github.com/banyancross/banyancross/call"
)

// Candidate is an upstream that a call may be sent to.
type Candidate struct {
	name          string
	slots         int
	rtt           time.Duration
	remote        bool
	transferBytes int64
	group         string
	priced        bool
	wayCost       float64
}

// NewCandidate describes an upstream; rtt is the round-trip time to it, and
// remote means that it is in another failure domain.
func NewCandidate(name string, slots int, rtt time.Duration, remote bool) Candidate {
	return Candidate{name: name, slots: slots, rtt: rtt, remote: remote}
}

// WithTransferBytes returns the candidate for a call whose request and response
// have about that many bytes together.
func (c Candidate) WithTransferBytes(bytes int64) Candidate {
	c.transferBytes = bytes
	return c
}

// WithGroup returns the candidate as one of the named group, whose upstreams have
// similar loads.
func (c Candidate) WithGroup(name string) Candidate {
	c.group = name
	return c
}

// WithWayCost returns the candidate with the cost of the way to it, in place of that of
// its transfer to another failure domain.
func (c Candidate) WithWayCost(cost float64) Candidate {
	c.priced, c.wayCost = true, cost
	return c
}

// Name returns the upstream's name.
func (c Candidate) Name() string { return c.name }

// Remote reports whether the upstream is in another failure domain.
func (c Candidate) Remote() bool { return c.remote }

// Result describes how one attempt at an upstream ended.
type Result struct {
	// Elapsed is the time from Started to Finished.
	Elapsed time.Duration
	// Outcome is Answered when the upstream answered.
	Outcome call.Outcome
	// Reason is why the attempt failed or was rejected.
	Reason call.Reason
	// ServerError is set if the upstream answered with a server error.
	ServerError bool
	// Load is the gate's load report, nil if there was none.
	Load *call.Load
}

// Policy chooses upstreams and updates its estimates from the attempts; it is
// safe for concurrent use.
type Policy interface {
	// Choose returns an index into candidates, which is not empty.
	Choose(now time.Time, candidates []Candidate) int
	// Started records that an attempt was sent to the named upstream.
	Started(now time.Time, name string)
	// Finished records how an attempt at the named upstream ended.
	Finished(now time.Time, name string, result Result)
}
