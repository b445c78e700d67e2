// Package quarantine finds requests that crash each backend server that runs
// them, and keeps them from running again.
//
// When a backend server crashes, every request that ran on it and has not been
// answered anywhere lately becomes a suspect. A suspect runs alone. If the
// server crashes again while a suspect runs alone, that request is quarantined;
// if it is answered, it is cleared. Suspects and quarantined requests are told
// to the whole fleet and expire.
package quarantine
