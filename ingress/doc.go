// Package ingress takes the requests of a host's callers and sees each of them
// through to one answer.
//
// A request is matched to a route, and sent to the gate of one upstream after
// another until one runs it. A gate that refuses has not run it, so another one
// may be asked at once. An attempt without an answer may have run: it is
// repeated only if the route is idempotent, within the route's attempts and the
// retry budget that all nodes share. When an attempt takes long, an idempotent
// request is also sent to a second upstream, within the same bounds, and the
// first whole answer wins.
//
// What cannot be served is answered at once: with 503 and a time to come back
// when it has not run, with 502 or 504 when it may have.
package ingress
