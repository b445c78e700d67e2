// Package routing chooses an upstream for a call from what one entry node, which
// accepts calls from callers, observes: its own calls in flight, how they ended,
// and the load that admission gates report.
//
// Policies are interchangeable so that they can be compared. LeastLatency and
// LeastCost are for use; Random, RoundRobin, LeastReportedLoad and Participation
// are baselines. Participation follows the README of lbnamed, a load-balancing
// DNS server: hosts are ordered by weight over participation factor, and each
// assignment raises the weight of the chosen host.
package routing
