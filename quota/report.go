package quota

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Report describes the use of an organisation's quota at a node since the latest report.
type Report struct {
	Organisation string
	Limit        Limit
	Usage        Usage
	// Tokens is the number on hand.
	Tokens int
	// Owner is the node that last answered an ask, "" for none, and Age the time since.
	Owner string
	Age   time.Duration
}

// TakeReports returns the use by organisation since the latest call, the greatest first.
func (n *Node) TakeReports(now time.Time) []Report {
	n.mu.Lock()
	defer n.mu.Unlock()
	reports := make([]Report, 0, len(n.accounts))
	for key, a := range n.accounts {
		if a.usage == (Usage{}) {
			continue
		}
		r := Report{Organisation: n.names[key], Limit: a.limit, Usage: a.usage, Tokens: a.tokens(), Owner: a.owner}
		if a.owner != "" {
			r.Age = now.Sub(a.answered)
		}
		a.usage = Usage{}
		reports = append(reports, r)
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(b.Usage.Asked, a.Usage.Asked), strings.Compare(a.Organisation, b.Organisation))
	})
	return reports
}

// Outstanding returns how many granted tokens of this node's ledgers may be on hand.
func (n *Node) Outstanding() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := 0.0
	for _, l := range n.ledgers {
		total += l.onHand
	}
	return total
}

// Idle reports whether the node holds nothing, so that Tick need not be called.
func (n *Node) Idle() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.accounts) == 0 && len(n.ledgers) == 0 && len(n.asks) == 0
}

// Waiting returns how many requests of an organisation wait.
func (n *Node) Waiting(organisation string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if a := n.accounts[Key(organisation)]; a != nil {
		return a.waiting
	}
	return 0
}
