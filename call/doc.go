// Package call holds the vocabulary shared by every part that handles a call:
// its outcome, the reason for a refusal, and the load a gate reports on each
// answer.
//
// A call ends in exactly one Outcome. Answered means that the upstream's own
// answer was passed on. NotRun is a promise: the request did not reach the
// application and this send of it never will. Unknown covers everything else.
package call
