// Package entry takes callers' requests. It finds the service, chooses an
// upstream, sends the call to the gate beside it, tries again where that is
// safe, and passes the whole answer back.
//
// The first element of the path names the service and is removed before the
// call is passed on. The headers of this system are:
//
//	Idempotency-Key         a ticket, or a UUID of version 7 of the caller's own
//	Banyancross-Timeout     how long the caller waits, such as 250ms
//	Banyancross-Idempotent  true or false, in place of the method's default
//	Banyancross-Depth       set by nodes; a backend server passes it on
//	Banyancross-Outcome     on every answer: answered, not-run or unknown
//	Banyancross-Reason      why the call was not answered
//
// A ticket is had by a POST to /.banyancross/ticket/ and the service's name.
package entry
