package node

// Figures are running counts of what a node has spent.
type Figures struct {
	// Retries counts attempts beyond the first.
	Retries uint64
	// Probes and ProbeBytes count the probes of the upstream.
	Probes     uint64
	ProbeBytes uint64
	// ControlMessages and ControlBytes count what was exchanged with other
	// nodes for control.
	ControlMessages uint64
	ControlBytes    uint64
	// PlatformCalls counts calls of the platform, watches included.
	PlatformCalls uint64
	// Connections is the number of control connections opened and held.
	Connections int
}

// Figures returns the node's running counts.
func (n *Node) Figures() Figures {
	probes, probeBytes := n.gate.ProbeTotals()
	return Figures{
		Retries:         n.entry.Retries(),
		Probes:          probes,
		ProbeBytes:      probeBytes,
		ControlMessages: n.peers.Messages(),
		ControlBytes:    n.peers.Bytes(),
		PlatformCalls:   n.store.Calls(),
		Connections:     n.peers.Connections(),
	}
}
