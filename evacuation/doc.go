// Package evacuation holds the failure domains that operators have evacuated: nothing
// more is sent to the upstreams there until the evacuation ends.
//
// A Set is what was known at a revision of the store. Nodes exchange sets, and the one
// of the higher revision replaces the other whole:
//
//	known := evacuation.Snapshot(41, "z1")
//	known = known.Merge(evacuation.Snapshot(57)) // no domain is evacuated any more
//	known.Has("z1")                              // false
//
// The package reads no files and opens no sockets.
package evacuation
