// Package hop carries calls from an entry node to the node beside the chosen
// upstream, over cleartext HTTP/2 with one stream per attempt.
//
// The caller's request travels as it is; what the nodes have to tell each other
// stands in one CBOR header on the request and one on the answer. An answer
// that does not repeat the identity of its attempt is never passed on.
package hop
