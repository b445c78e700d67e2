// Package fleet maintains a node's view of the other nodes by gossip.
//
// A few nodes of each failure domain, the anchors, register in the platform's store.
// A node that joins greets those and fetches the roster, the beacons of all live
// nodes, from one of them. From then on nodes exchange beacons: datagrams with the upstream on the sender's host, its phase and load,
// and the revision of the sender's configuration. Each beacon carries the whole
// state, so a lost one is neither acknowledged nor sent again. Between beacons,
// notices update the load alone.
//
// A node from which nothing was received within its timeout counts as silent, and so
// does one that a call could not reach, until it answers a ping.
// Time in which this node itself was paused is left out, so that a paused node
// does not mark all others silent.
package fleet
