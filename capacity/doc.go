// Package capacity measures the slopes that docs/CAPACITY.md is worked out from:
// what a node spends against the size of the fleet, what a call costs, and how
// long news takes to reach everyone.
package capacity
