// Package totals counts calls by day, service and outcome in a way that
// survives repeated and lost messages.
//
// Every node counts twice: as the entry node of the calls it received, and as
// the gate of the calls its upstream ran. Its counts are cumulative for its
// incarnation, so a report may be sent any number of times and only the latest
// counts. Reports of a failure domain are merged into one Day value; merging is
// idempotent and commutative. A Summary adds up the Days of all failure
// domains, compares both sides of the books, and names what is missing.
package totals
