// Package retry decides whether a failed attempt may be sent again.
//
// Only the entry node retries. A non-idempotent call is retried only after a
// refusal that proves it did not run. Retries are paid from a Budget filled by
// first attempts, so that they stay a bounded share of all calls when every
// upstream fails at once. A call that itself comes from another service
// carries its depth, and only the outermost layer retries an unproven failure,
// so that a chain does not multiply attempts.
package retry
