package fleet

import "time"

// The decisions in this file answer a fleet in which every node may call every other
// one: beacons go often only to the nodes that send calls at the moment, and to those
// that may have to watch the store next.

// Turn describes a node in one round of another node's beacons.
type Turn struct {
	// Frequent means that the node must notice soon when the sender of the beacons is
	// lost, since it sends calls there or may have to watch the store in its place.
	// WasFrequent means that this held in the round before.
	Frequent, WasFrequent bool
	// Remote means that the node is in another failure domain, and RemoteRound that
	// this round includes those.
	Remote, RemoteRound bool
	// All means that the round includes all nodes, and Rotation that it is the node's
	// turn among those that are not frequent.
	All, Rotation bool
}

// Schedule holds the intervals between the beacons to a node.
type Schedule struct {
	// Local and Remote apply to frequent nodes, in the same and in another failure
	// domain, and Gossip to all others.
	Local, Remote, Gossip time.Duration
}

// Next returns the interval that the beacon to a node announces, 0 if none is due. A
// node that is no longer frequent gets one at once, so that it does not wait for the
// next one within the interval that the last one announced.
func (s Schedule) Next(t Turn) time.Duration {
	switch {
	case t.Frequent && !t.Remote:
		return s.Local
	case t.Frequent && (t.RemoteRound || t.All):
		return s.Remote
	case t.Frequent:
		return 0
	case t.All || t.Rotation || t.WasFrequent:
		return s.Gossip
	}
	return 0
}
