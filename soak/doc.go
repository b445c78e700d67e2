// Package soak runs sidecars as processes of their own on one machine, disturbs
// them from outside, and checks what callers and upstreams see.
//
// A run is drawn from a seed: which processes are killed, paused, stopped or told
// to read their settings again, which connections are delayed, reset, cut one way
// or silenced by forwarders on the loopback, what the store and the upstreams do
// wrong, and when the operators change the configuration. Disturbances come in
// series and overlap. The same seed gives the same plan; what the scheduler of
// the machine makes of it differs from run to run.
//
//	report, err := soak.Run(ctx, soak.Options{Seed: 7, Nodes: 5, Span: 12 * time.Second, Program: path, Dir: dir})
//
// Callers keep their connections for as long as a process serves them. While the
// run lasts and after it has settled, the package checks that
//
//   - an answer of success is the whole answer to its own request, signed by an
//     upstream that ran it,
//   - a request that may not be repeated runs once at most,
//   - a request that was refused has not run,
//   - nothing runs at an upstream after its leaving was acknowledged,
//   - a planned stop alone loses nothing,
//   - no process goes back to an earlier configuration or denies a route that
//     every configuration has,
//   - the fleet serves again when all is over.
//
// The upstreams and the store are stand-ins within the process that runs the
// soak, so that their records survive whatever happens to the sidecars.
package soak
