// Package egress guards the backend server beside a node on a host that the
// platform runs.
//
// Every call for the upstream, from whichever node, passes its Gate. So what
// must hold for all callers holds here by construction: the upstream takes no
// call after its leaving was acknowledged, no more calls run than it has slots,
// and each attempt is sent once. The gate refuses what it will not run, with
// the promise that it has not run; the node that chose this upstream then
// chooses again at the price of one round trip between nodes.
//
// A gate that is asked to be selective also refuses while work takes unusually
// long on its host, or while the upstream mostly fails.
package egress
