// Package fleet keeps one node's view of the other nodes.
//
// Nodes find each other through the platform's store and then send each other
// beacons: short datagrams that say which upstream stands beside the sender,
// whether it takes calls, how loaded it is, and which configuration the sender
// has. A beacon that is lost is replaced by the next one, so nothing is
// acknowledged or repeated.
//
// A node that was not heard of for a while counts as silent. Only the time in
// which this node itself could listen counts, so that one which was paused does
// not take everybody else for lost.
package fleet
