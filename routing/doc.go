// Package routing chooses an upstream for a call from what one entry node has
// seen itself: its own calls in flight, the load that gates report on their
// answers, and how those calls ended.
//
// Policies are interchangeable so that they can be measured against each
// other: LeastLatency is the product's own, and Random, RoundRobin,
// LeastReportedLoad and Participation are baselines. Participation follows the
// lbnamed README: hosts are ordered by weight over participation factor and the
// weight of the chosen one is raised after each assignment.
package routing
