// Package warmup limits what a cold upstream is sent.
//
// A Limiter keeps the time of each send and of each report of the upstream. Whatever the
// upstream turns between two reports, no second gets more sends than the Bounds allow:
// sends since the last report that said warm count as sends to a cold upstream.
package warmup
