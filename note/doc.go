// Package note parses release notes and applies them to the configuration.
//
// A Note lists services and upstreams that are added or changed, and those that
// are withdrawn. Applying it to a State returns a new State, whose revision is
// one higher; a State is immutable. Each entry of a State records the revision
// that last changed it. A note written against an older revision is therefore
// rebased if the entries that it lists are unchanged since; otherwise it is
// refused with the name of the entry in conflict.
//
// A State also records the ids of the notes that were applied to it, which makes
// publishing idempotent: after a lost response, the publisher reads the state
// back and looks for its note.
//
//	n, err := note.Parse("open.toml", data)
//	next, err := state.Apply(n, note.ApplyOptions{Base: state.Revision, Now: now})
package note
