// Package entry handles callers' requests. It finds the service, chooses an
// upstream, sends the call to that upstream's admission gate, retries where that
// is safe, and returns the answer.
//
// The first element of the path names the service and is removed before the
// call is forwarded. The headers of this system are:
//
//	Idempotency-Key         a ticket, or a version 7 UUID made by the caller
//	Banyancross-Timeout     how long the caller waits, such as 250ms
//	Banyancross-Idempotent  true or false, overrides the method's default
//	Banyancross-Depth       set by nodes; a backend server copies it to its calls
//	Banyancross-Outcome     on every answer: answered, not-run or unknown
//	Banyancross-Reason      why the call was not answered
//	Banyancross-Replayed    true if a resend got the answer of an earlier send
//
// A ticket is an idempotency key that a node issues; a POST to
// /.banyancross/ticket/ followed by the service's name returns one.
package entry
