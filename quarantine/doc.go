// Package quarantine detects poison requests, which crash every backend server
// that runs them, and blocks them.
//
// In a Quarantine, every request that was running when the backend server
// crashed becomes a suspect, unless the node recorded an answer to it
// recently. A suspect runs alone. If the server crashes again while a suspect
// runs alone, that request is quarantined; if it is answered, it is cleared.
// Suspects and quarantined requests are broadcast to all nodes and expire.
//
// A Blocklist counts crashes instead and blocks a request at the third, until an answer
// or a minute after its last crash. Nodes tell each other what they counted and the blocks
// that they know, with the time that is left, so that a node that restarts while another
// lives learns the blocks again.
package quarantine
