// Package membership maintains one node's view of the fleet: its hosts, their
// failure domains and the upstream beside each host.
//
// The protocol follows SWIM (Das, Gupta and Motivala, 2002): a node probes a few
// neighbours in turn, asks other members to probe one that does not answer,
// suspects it, and declares it down unless it refutes the suspicion. Neighbours
// are chosen on a ring within the failure domain, at distances that double, with
// one more in each other failure domain, so that their number grows with the
// logarithm of the fleet. Changed records are flooded to the neighbours; full
// lists are exchanged only when digests differ.
//
// A random member that is down is probed periodically. A host that was paused
// thus rejoins without help: it receives the record that declares it down and
// refutes it with a higher version. A replaced host has a new incarnation, which
// supersedes the old one.
package membership
