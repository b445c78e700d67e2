// Package capacity measures the figures from which docs/CAPACITY.md is derived:
// the resources that a node uses against the size of the fleet, the cost of a
// call, and how long changes take to reach every node.
package capacity
