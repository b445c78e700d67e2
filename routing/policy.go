package routing

import (
	"time"

	"github.com/banyancross/banyancross/call"
)

// Candidate is an upstream that a call may be sent to.
type Candidate struct {
	name   string
	slots  int
	link   time.Duration
	remote bool
	bytes  int64
}

// NewCandidate describes an upstream; link is the round trip to it and remote
// tells that it is in another failure domain.
func NewCandidate(name string, slots int, link time.Duration, remote bool) Candidate {
	return Candidate{name: name, slots: slots, link: link, remote: remote}
}

// WithResponseSize returns the candidate for a call whose answer has about the given
// number of bytes.
func (c Candidate) WithResponseSize(bytes int64) Candidate {
	c.bytes = bytes
	return c
}

// Name returns the upstream's name.
func (c Candidate) Name() string { return c.name }

// Remote tells whether the upstream is in another failure domain.
func (c Candidate) Remote() bool { return c.remote }

// Result is how one attempt at an upstream ended.
type Result struct {
	// Elapsed is the time from Started to the answer's head.
	Elapsed time.Duration
	// Outcome is Answered when the upstream answered.
	Outcome call.Outcome
	// Reason is why the attempt was refused.
	Reason call.Reason
	// ServerError tells that the upstream answered with a server error.
	ServerError bool
	// Load is the gate's report, nil when there was none.
	Load *call.Load
}

// Policy chooses upstreams and learns from the attempts; it is safe for
// concurrent use.
type Policy interface {
	// Choose returns an index into candidates, which is not empty.
	Choose(now time.Time, candidates []Candidate) int
	// Started records that an attempt was sent to the named upstream.
	Started(now time.Time, name string)
	// Finished records how that attempt ended.
	Finished(now time.Time, name string, result Result)
}
