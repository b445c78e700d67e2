// Package note holds release notes and the configuration in force that they
// build up.
//
// A Note lists services and upstreams that are added or changed, and those that
// are withdrawn. Applying it to a State gives the next State, whose revision is
// one higher; a State is never changed in place. Every entry of a State knows
// the revision that last changed it, so a note written against an older
// revision is rebased when it touches other entries and refused with the name
// of the entry when it touches the same ones.
//
// A State also remembers the notes it was built from, by their identity. That
// makes publishing idempotent: after a lost answer the publisher reads the
// state back and finds its note, or does not.
//
//	document, err := note.Parse("open.toml", data)
//	next, err := state.Apply(document, note.Change{Base: state.Revision, Now: now})
package note
