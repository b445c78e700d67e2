// Package ingress accepts the requests of a host's callers and answers each of
// them exactly once.
//
// A request is matched to a route and sent to the admission gate of one upstream
// after another until one runs it. A gate that refuses a request has not run it,
// so another gate is tried at once. An attempt without a response may have run:
// it is retried only if the route is idempotent, within the route's maximum
// number of attempts and the retry budget that all nodes share. When an attempt
// takes long, an idempotent request is hedged: it is also sent to a second
// upstream, within the same bounds, and the first complete response is passed
// on.
//
// A request that cannot be served is answered without delay: with 503 and a
// Retry-After header if it has not run, with 502 or 504 if it may have. A response of an
// upstream that ran the request and says with its status that it did not is withheld.
package ingress
