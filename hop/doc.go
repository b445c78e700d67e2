// Package hop carries calls from an entry node, which accepts them from callers,
// to the node on the host of the chosen upstream, over cleartext HTTP/2 with one
// stream per attempt.
//
// The caller's request is sent unchanged. Metadata between the nodes is encoded
// in CBOR, in one header of the request and one of the response. A response that
// does not repeat the identity of its attempt is never passed on.
package hop
