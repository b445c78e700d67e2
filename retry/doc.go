// Package retry decides whether a failed attempt may be sent again.
//
// Only the entry node, which accepts the call from its caller, retries. A
// non-idempotent call is retried only after a refusal that proves it did not
// run. Each retry takes a credit from a Budget that first attempts fill, so that
// retries stay a bounded share of all calls even if every upstream fails. A call
// made by another service carries its depth; only the entry node of the outermost
// call retries a call that may have run, so that a chain does not multiply
// attempts.
package retry
