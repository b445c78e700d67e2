// Package admission is the gate in front of one upstream. It knows exactly
// what runs there because every call to the upstream passes through it.
//
// A Gate lets calls run up to a limit, keeps a short queue ordered by the depth
// of the call chain and then by deadline, and refuses at once what cannot be
// answered in time. The limit starts at the upstream's slots, falls while the
// upstream is slower than it was, and rises during a cold start.
//
// The package has no timers: the owner passes the time to every method and
// abandons a Pass whose caller has gone.
package admission
