// Package soak runs a fleet of sidecar processes on one machine, injects faults and
// planned operations, and checks what callers and upstreams observe.
//
// The events of a run are drawn from a seed: processes are killed, paused, stopped
// or told to reload their settings; forwarders on the loopback interface delay or
// reset connections, or drop the data of one or both directions; the store and the
// upstreams fail; upstreams are replaced, and new configurations are published.
// Events are repeated at random and overlap. The same seed gives the same events;
// their effect depends on the scheduling of the machine and differs between runs.
//
//	report, err := soak.Run(ctx, soak.Options{
//		Seed: 7, Nodes: 5, ThinkTime: 25 * time.Millisecond, Duration: 12 * time.Second, Program: path, Dir: dir,
//	})
//
// Callers use persistent connections. During the run and after it, the package
// checks that
//
//   - an answer with status 200 is the complete answer to its own request, stamped
//     by an upstream that ran it,
//   - a request that is not idempotent runs at most once,
//   - a rejected request that is not idempotent has not run,
//   - nothing runs at an upstream after its deregistration was acknowledged,
//   - planned operations alone fail no request,
//   - no process goes back to an earlier configuration or answers 404 for a route
//     that every configuration has,
//   - the retries of each service, the calls that retried runs make included, stay
//     within the budget that all nodes share, in any window,
//   - the fleet serves again after the last event.
//
// In phases, upstreams reject a share of the requests and write some responses, also
// rejections, once more, late, on the same connection; some of these copies break off. The phases come from the seed as
// well, but from a random stream of their own; seeds that draw planned operations only
// have none. They do not excuse failed requests. RepeatedRejections has more of
// them, in each seed, with more callers, whose requests mostly are not idempotent.
//
// A KillStorm kills nodes again and again instead, while upstreams lose answers and runs
// of one service call another one.
//
// StoreRestores brings the store back from copies some seconds old, again and again, among
// the events of other runs.
//
// The upstreams and the store are stand-ins within the process that runs the soak,
// so that their records survive the faults of the sidecars.
package soak
