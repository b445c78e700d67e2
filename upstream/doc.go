// Package upstream connects a node to the one backend server beside it: it
// processes the server's announcements, admits and sends the calls to it, and
// probes its health.
//
// The Gate handles a call in a fixed order. A call with an idempotency key
// first claims the record of its key, so that only one send of it proceeds;
// then the call is admitted to a slot; only then is it sent on a connection. A
// call that was refused before that, or of which no byte was written to the
// connection, did not run.
package upstream
