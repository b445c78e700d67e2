// Package sidecar is the process that stands beside each backend server on
// hosts that the platform runs.
//
// It connects the parts: Ingress takes the requests of the host's callers, Gate
// guards the backend server, and View knows the other nodes. The platform's
// store is asked for two things only: the operators' configuration, which is
// watched, and the addresses of the other nodes, which are read at the start
// and now and then. All else travels between nodes: beacons by datagram, and
// a newer configuration by one request to a node that has it, so that a node
// which has lost the store still follows.
//
// Nothing is kept on the host. A node that was restarted reads the store, hears
// the others' beacons, and learns of the backend server from its next
// heartbeat.
package sidecar
