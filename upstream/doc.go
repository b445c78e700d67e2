// Package upstream is the node's side towards the one backend server beside
// it: the server's announcement, the gate that every call to it passes, and
// the probes of its health.
//
// The Gate decides in a fixed order. A keyed request first claims its record,
// so that only one send of it goes further; then the call is admitted to a slot;
// only then is a connection taken. A refusal before that point, or a
// connection on which not one byte was written, proves that the call did not
// run.
package upstream
