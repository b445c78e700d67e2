// Package call defines the types shared by all packages that handle a call: its
// outcome, the reason for a refusal, and the load that an admission gate reports
// with each answer.
//
// A call ends in exactly one Outcome. Answered means that the upstream's own
// answer was passed on. NotRun guarantees that this attempt did not reach the
// application and never will. Unknown covers everything else.
package call
