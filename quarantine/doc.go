// Package quarantine detects poison requests, which crash every backend server
// that runs them, and blocks them.
//
// In a Quarantine, every request that was running when the backend server
// crashed becomes a suspect, unless the node recorded an answer to it
// recently. A suspect runs alone. If the server crashes again while a suspect
// runs alone, that request is quarantined; if it is answered, it is cleared.
// Suspects and quarantined requests are broadcast to all nodes and expire.
//
// A Blocklist counts crashes instead and blocks a request at the third, until an answer,
// for which a blocked request gets two trials. Nodes tell each other what they know, and a
// Snapshot of it is stored, so that it outlives all of them.
package quarantine
