// Package membership keeps one node's view of the fleet: which hosts there
// are, in which failure domain, and which upstream each stands beside.
//
// The view is spread in the manner of SWIM (Das, Gupta and Motivala, 2002):
// a node probes a few contacts in turn, asks others to probe one that does not
// answer, suspects it, and declares it down unless it refutes. Contacts are
// chosen on a ring, at distances that double, within the failure domain, with
// one more in each other failure domain, so that their number grows with the
// logarithm of the fleet. News is flooded over the contacts and full lists are
// exchanged only when digests differ.
//
// A member that is down is tried again now and then. A paused host therefore
// returns by itself: it hears that it was declared down and raises its version.
// A host that was replaced has a new incarnation, which outranks the old one.
package membership
