package fleet

import (
	"math"
	"time"
)

// The decisions in this file answer the start of a whole fleet within an instant,
// with an empty store that charges for each call. Only anchors, a few nodes of each
// failure domain, register in the store. A starting node finds them there, and all
// others through them.

const (
	// anchorsPerDomain is the number of anchors of a failure domain: one remains
	// after the loss of two hosts.
	anchorsPerDomain = 3
	// registrationSpread is the time constant of the delays before registration. A
	// registered node is found within a few of them.
	registrationSpread = 400 * time.Millisecond
	// maxExpectedFleet is the size of a fleet up to which the first node to register
	// waits at all.
	maxExpectedFleet = 1000
)

// IsAnchor reports whether the node with a rank in its failure domain registers in
// the store.
func IsAnchor(r Rank) bool { return r.Selected(anchorsPerDomain) }

// RegistrationDelay returns how long a node of a new fleet waits for the entry of
// another one before it registers. u is uniformly distributed in (0, 1]. The delays
// are distributed exponentially towards the longest one, so that about as many nodes
// draw one within a registrationSpread of the shortest whatever the size of the
// fleet (Nonnenmacher and Biersack, Scalable feedback for large groups, 1999).
func RegistrationDelay(u float64) time.Duration {
	longest := math.Log(maxExpectedFleet)
	return max(0, time.Duration((longest+math.Log(u))*float64(registrationSpread)))
}
