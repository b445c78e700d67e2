// Package codec encodes what nodes store and send as CBOR. Times keep their
// nanoseconds: a tenure that lost the fraction of its last second would overlap
// with the next one.
package codec
