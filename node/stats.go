package node

// Stats counts a node's retries, probes and messages since its start.
type Stats struct {
	// Retries counts attempts beyond the first.
	Retries uint64
	// Probes and ProbeBytes count the probes of the upstream.
	Probes     uint64
	ProbeBytes uint64
	// ControlMessages and ControlBytes count the control traffic with other
	// nodes, sent and received.
	ControlMessages uint64
	ControlBytes    uint64
	// PlatformCalls counts requests to the platform, including watches.
	PlatformCalls uint64
	// Connections is the number of open control connections that this node dialed.
	Connections int
}

// Stats returns the node's counts since its start.
func (n *Node) Stats() Stats {
	probes, probeBytes := n.gate.ProbeTotals()
	return Stats{
		Retries:         n.entry.Retries(),
		Probes:          probes,
		ProbeBytes:      probeBytes,
		ControlMessages: n.peers.Messages(),
		ControlBytes:    n.peers.Bytes(),
		PlatformCalls:   n.store.Calls(),
		Connections:     n.peers.Connections(),
	}
}
