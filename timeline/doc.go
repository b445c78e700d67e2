// Package timeline orders what is read from a store that can be restored from a copy.
//
// A revision is a place in one history. A store that comes back from a copy goes on from
// the revision of the copy and gives the later ones out again, so it begins a new timeline:
//
//	lost := timeline.NewPosition(1, 90)
//	restored := timeline.NewPosition(2, 84)
//	lost.Before(restored) // true, though its revision is higher
//
// The package has no input or output.
package timeline
