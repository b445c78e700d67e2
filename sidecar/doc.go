// Package sidecar implements the process that runs beside each backend server on
// hosts that the platform runs.
//
// It connects the parts: Ingress accepts the requests of the host's callers, Gate
// controls admission to the backend server, and View tracks the other nodes. The
// platform's store provides the operators' configuration, which some nodes watch,
// and the fleet's entries, which are read at the start and periodically: the
// addresses of a few nodes, the services' saturation estimates and the crash counts
// of requests. All else travels between nodes: beacons by datagram, the roster of live
// nodes and a newer configuration by one request to a node that has them, so that a
// node that cannot reach the store still follows.
//
// Nothing is stored on the host. A restarted node reads the store, receives the
// others' beacons, and learns of the backend server from its next heartbeat.
package sidecar
