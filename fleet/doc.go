// Package fleet maintains a node's view of the other nodes by gossip.
//
// Nodes discover each other through the platform's store and then exchange
// beacons: datagrams with the upstream on the sender's host, its phase and load,
// and the revision of the sender's configuration. Each beacon carries the whole
// state, so a lost one is neither acknowledged nor sent again. Between beacons,
// notices update the load alone.
//
// A node from which nothing was received within its timeout counts as silent.
// Time in which this node itself was paused is left out, so that a paused node
// does not mark all others silent.
package fleet
