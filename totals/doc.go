// Package totals counts calls by day, service and outcome, and tolerates
// repeated and lost reports.
//
// Each node counts the calls that it received as an entry node, and the calls
// that its admission gate sent to its upstream. The counts are cumulative for
// the node's incarnation, so a report may be sent any number of times; the
// latest replaces the earlier ones. The reports of a failure domain are merged
// into one Day; merging is idempotent and commutative. A Summary adds up the Days
// of all failure domains, reconciles the counts of the entry nodes with those of
// the gates, and lists what is missing.
package totals
