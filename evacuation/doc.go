// Package evacuation holds the failure domains that operators have evacuated: nothing
// more is sent to the upstreams there until the evacuation ends.
//
// A Set is what was known at a position of the store. Nodes exchange sets, and the one
// of the later position replaces the other whole:
//
//	known := evacuation.Snapshot(timeline.NewPosition(1, 41), "z1")
//	known = known.Merge(evacuation.Snapshot(timeline.NewPosition(1, 57)))
//	known.Has("z1") // false: no domain is evacuated any more
//
// A store that was restored from a copy can lack an evacuation, or have one that has ended,
// until the operators write again. A Hold keeps what was in force meanwhile.
//
// The package reads no files and opens no sockets.
package evacuation
