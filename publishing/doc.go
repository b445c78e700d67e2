// Package publishing writes the configuration that results from release notes
// to the platform's key-value service by compare-and-swap. After a write whose
// response was lost, it reads the state back and looks for the note's id, so a
// note takes effect at most once, however often it is published.
package publishing
