// Package admission implements the admission gate in front of one upstream.
// Every call to the upstream passes through its gate, so the gate's count of
// running calls is exact.
//
// A Gate admits calls up to a concurrency limit, queues a few more by the depth
// of the call chain, priority, whether they can meet their latency objective, share
// of the organisation and deadline, and rejects calls that would miss their deadline
// or wait for too long. The limit starts at the upstream's slots, decreases while the
// service time exceeds its baseline, and rises during a cold start.
//
// The package has no timers: the owner passes the time to every method and
// abandons a Pass whose caller no longer waits.
package admission
