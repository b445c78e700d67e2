package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is a node of the fleet as this one sees it.
type Member struct {
	Host string
	// Silent means that nothing was heard of the node for its silence timeout.
	Silent bool
	// Stopping means that the node announced its end.
	Stopping bool
	// Heard is when the node last showed activity.
	Heard time.Time
}

const (
	// unansweredMessages and unansweredFor are how many messages, and for how long, a node
	// leaves unanswered before asks go to the next in rank. A loss of a fifth of the
	// packets each way does it in one of twenty cases, which costs one more ask.
	unansweredMessages = 3
	unansweredFor      = 150 * time.Millisecond
	// minSettle is the least time after which a node that is cut off has noticed that it is.
	minSettle = 900 * time.Millisecond
	// probeInterval is the pause between asks to a node that did not answer.
	probeInterval = 250 * time.Millisecond
)

// contact is what this node knows of another one.
type contact struct {
	Member
	hash uint64
	// unanswered counts the messages since the node was last heard, and since is when the
	// first was sent.
	unanswered int
	since      time.Time
	probed     time.Time
}

// unresponsive reports whether the node leaves messages unanswered.
func (c *contact) unresponsive(now time.Time) bool {
	return c.unanswered >= unansweredMessages && now.Sub(c.since) >= unansweredFor
}

// sent records a message that the node must answer.
func (c *contact) sent(now time.Time) {
	if c.unanswered == 0 {
		c.since = now
	}
	c.unanswered++
	c.probed = now
}

// members holds the nodes of the fleet, this one included.
type members struct {
	self     *contact
	contacts map[string]*contact
	// others holds the contacts in the order of the latest list.
	others []*contact
	// settle is the time after which a node that is cut off has noticed that it is.
	settle time.Duration
	// known counts the nodes without those that announced their end and are silent, and
	// live those of them that are not silent; both include this one.
	known, live int
}

func newMembers(self string) *members {
	own := &contact{Member: Member{Host: self}, hash: xxhash.Sum64String(self)}
	return &members{self: own, contacts: map[string]*contact{}, settle: minSettle, known: 1, live: 1}
}

// update replaces the list of the other nodes.
func (m *members) update(list []Member, settle time.Duration) {
	m.settle, m.known, m.live = max(settle, minSettle), 1, 1
	m.others = m.others[:0]
	contacts := make(map[string]*contact, len(list))
	for _, member := range list {
		if member.Host == m.self.Host {
			m.self.Stopping = member.Stopping
			continue
		}
		c := m.contacts[member.Host]
		if c == nil {
			c = &contact{hash: xxhash.Sum64String(member.Host)}
		}
		if c.Silent && !member.Silent {
			c.unanswered = 0
		}
		c.Member = member
		contacts[member.Host] = c
		m.others = append(m.others, c)
		if !c.Silent {
			m.live++
		}
		if !c.Silent || !c.Stopping {
			m.known++
		}
	}
	m.contacts = contacts
}

// share returns the part of the rate that the nodes in touch with this one may mint: two
// parts of a fleet that is cut together mint no more than the whole.
func (m *members) share() float64 { return float64(m.live) / float64(m.known) }

// mix returns the rank of a node for an organisation (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// owner returns the node to ask for the tokens of an organisation: the first in rank that
// lives and answers.
func (m *members) owner(now time.Time, key uint64) *contact {
	best, bestRank := m.self, mix(key^m.self.hash)
	if m.self.Stopping {
		bestRank = 0
	}
	for _, c := range m.others {
		if c.Silent || c.Stopping || c.unresponsive(now) {
			continue
		}
		if rank := mix(key ^ c.hash); rank > bestRank || best.Stopping {
			best, bestRank = c, rank
		}
	}
	return best
}

// owns reports whether this node may mint its share of the rate of an organisation. If not,
// it is a stand-in: another node comes first and has been heard so recently that it may not
// have noticed yet that it is cut off.
func (m *members) owns(now time.Time, key uint64) bool {
	if m.self.Stopping {
		return false
	}
	own := mix(key ^ m.self.hash)
	for _, c := range m.others {
		if !c.Stopping && mix(key^c.hash) > own && (!c.Silent || now.Sub(c.Heard) < m.settle) {
			return false
		}
	}
	return true
}
