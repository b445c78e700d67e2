// Package codec encodes stored values and messages as CBOR. Times keep their
// nanoseconds: an idempotency.Lease whose expiry was rounded down to a second would
// overlap with the next one.
package codec
