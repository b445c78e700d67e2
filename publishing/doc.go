// Package publishing puts release notes into the platform's key-value service
// by compare-and-swap. A write whose answer was lost is resolved by reading the
// state back and looking for the note's identity, so a note takes effect at
// most once however often it is sent.
package publishing
