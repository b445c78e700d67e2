// Package egress implements the admission gate in front of the backend server
// on the node's own host, which the platform runs.
//
// Every call for the upstream passes its Gate, whichever node sends it, so the
// Gate can guarantee for all callers that the upstream gets no call after its
// leaving was acknowledged, that no more calls run than it has slots, and that
// each attempt is sent once. A call that the gate rejects has not run; the entry
// node then picks another upstream, which costs one round trip between nodes.
//
// The gate also rejects a declinable call while its host is slow or while most
// recent calls to the upstream failed.
package egress
