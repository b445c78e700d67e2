// Package control exchanges messages between nodes. A message is encoded in CBOR
// and sent as a binary WebSocket message. A node opens one connection to each node
// that it sends messages to, and a sequence number matches a reply to its request.
//
// Every message carries the sender's configuration revision, so that a node with
// an older one detects this from any message.
package control
