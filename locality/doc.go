// Package locality decides when a call leaves the failure domain of its entry node, and
// for which other one. It is part of the core: it has neither input nor output, and the
// time is passed in.
package locality
