// Package idempotency makes sure that a non-idempotent request runs at most
// once, without a store of its own and without a platform write per call.
//
// Every key can be run by one gate incarnation only, and that incarnation
// remembers what it ran. There are two kinds of key. A ticket is minted by a
// node and names the incarnation. A caller's own key is a UUID of version 7:
// the time in it selects a Placement, the list of upstreams in force for keys
// of that time, and rendezvous hashing selects one upstream of it. The
// incarnations of an upstream hold Tenures, disjoint intervals of key times
// which are recorded in the platform by compare-and-swap; an incarnation runs
// only keys whose time is in its own interval.
//
// Because the intervals are compared with the time in the key and not with a
// clock, neither a paused gate, nor a stale entry node, nor a late message can
// make two incarnations run the same key. What cannot be decided is answered
// as unknown and does not run.
//
// Records keep each key until its time is older than the retention; keys older
// than that are refused, so nothing is forgotten that could still be run.
package idempotency
