// Package idempotency makes sure that a non-idempotent request runs at most
// once, without a store of its own and without a platform write per call. A send
// is one transmission of a request by its caller; a resend has the same key.
//
// Only one incarnation of one upstream's admission gate may run a key, and it
// records the outcome. There are two kinds of key. A ticket is issued by a node
// and names the incarnation. A caller's own key is a UUID of version 7: its
// timestamp selects a ShardMap, the list of upstreams that own keys with that
// timestamp, and rendezvous hashing selects one of these upstreams. Each
// incarnation of an upstream holds a Lease, an interval of key timestamps that
// is disjoint from those of other incarnations and written to the platform by
// compare-and-swap. An incarnation runs only the keys whose timestamp is in its
// own interval.
//
// The interval is compared with the timestamp in the key, not with a clock, so
// a paused gate, a stale entry node or a late message cannot make two
// incarnations run the same key. A key whose owner cannot be determined is not
// run, and its outcome is reported as unknown.
//
// Records keep each key until its timestamp is older than the retention. Older
// keys are refused, so no key is dropped that could still run.
package idempotency
