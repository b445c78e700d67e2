// Package quota bounds the requests of an organisation over all nodes of a fleet.
//
// Each organisation has one owner among the nodes, the first by rendezvous hash, whose
// ledger mints tokens at the rate of the quota. Entry nodes ask the owner for tokens
// ahead of demand and spend one for each request. Tokens on hand expire, so that a
// node that is lost, or whose configuration changes, keeps none for long. An owner that
// does not answer is replaced by the next in rank, which mints only part of what the
// bound tolerates until the first must have noticed that it is cut off. A roll call shows
// either which nodes are in touch with it.
//
// A Node holds both sides:
//
//	n := quota.NewNode("host-1", incarnation, bounds)
//	n.SetLimits(limits)
//	n.SetMembers(members, settle, joined)
//	switch d := n.Take(now, "shop"); d.Verdict { ... }
//	for _, out := range n.Poll(now) { ... }       // send each message
//	reply, ok := n.Handle(now, message)           // send the reply to its sender
//
// The package opens no sockets and reads no clocks.
package quota
