// Package control carries messages between nodes: CBOR in binary WebSocket
// messages, one connection for each pair of nodes that talk, each request
// matched to its reply by a sequence number.
//
// Every message carries the sender's revision, so a node that is behind learns
// of it from whatever it hears.
package control
