package quota

import (
	"slices"
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
	// rollCallInterval is the pause between the messages of a roll call to a node, and
	// rollCallSpan the time within which a node in touch answers: that of three messages, so
	// that one in ten that is lost does not matter.
	rollCallInterval = 350 * time.Millisecond
	rollCallSpan     = 1100 * time.Millisecond
	// takeoverAfter is the time without an answer after which a stand-in becomes the owner: the
	// owner leaves out by then the nodes that it can't reach.
	takeoverAfter = rollCallSpan + 100*time.Millisecond
	// suspectedFor is the time for which an ask in place of a node keeps a roll call going.
	suspectedFor = 2 * time.Second
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
	// answered is when the latest message of the node came, and vouched when another node
	// last said that it heard it.
	answered, vouched time.Time
	// suspected is when this node was last asked for tokens in its place.
	suspected time.Time
}

// gone reports whether the node has ended, or its view must have settled without this one.
func (c *contact) gone(now time.Time, settle time.Duration) bool {
	return c.Stopping || c.Silent && now.Sub(c.Heard) >= settle
}

// lost reports whether the node is gone, or must have noticed in a roll call of its own that
// it is cut off from this one. A node that others hear may go on as before.
func (c *contact) lost(now time.Time, settle time.Duration, rollCall time.Duration) bool {
	return c.gone(now, settle) || c.unresponsive(now) && now.Sub(c.since) >= takeoverAfter && rollCall >= takeoverAfter && now.Sub(c.vouched) >= rollCallInterval
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
	// rollCall is when the present roll call began, zero without one.
	rollCall time.Time
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
// parts of a fleet that is cut together mint no more than the whole. In a roll call, those
// that answer are in touch.
func (m *members) share(now time.Time) float64 {
	live := m.live
	if m.rollCallAge(now) >= rollCallSpan {
		answering := 1
		for _, c := range m.others {
			if now.Sub(c.answered) < rollCallSpan {
				answering++
			}
		}
		live = min(live, answering)
	}
	return float64(live) / float64(m.known)
}

// rollCallAge returns how long the present roll call has gone on, 0 without one.
func (m *members) rollCallAge(now time.Time) time.Duration {
	if m.rollCall.IsZero() {
		return 0
	}
	return now.Sub(m.rollCall)
}

// suspect records that this node was asked for the tokens of an organisation for which
// others come first.
func (m *members) suspect(now time.Time, key uint64) {
	own := mix(key ^ m.self.hash)
	for _, c := range m.others {
		if !c.gone(now, m.settle) && mix(key^c.hash) > own {
			c.suspected = now
		}
	}
}

// updateRollCall begins or ends the roll call. There is one while a ledger grants less than
// it is asked for, or a node in whose place this one was asked does not answer.
func (m *members) updateRollCall(now time.Time, needed bool) {
	for _, c := range m.others {
		needed = needed || c.unresponsive(now) && !c.suspected.IsZero() && now.Sub(c.suspected) < suspectedFor
	}
	switch {
	case !needed:
		m.rollCall = time.Time{}
	case m.rollCall.IsZero():
		m.rollCall = now
	}
}

// probes reports whether the node is to be sent a message without entries.
func (m *members) probes(now time.Time, c *contact) bool {
	suspected := !c.suspected.IsZero() && now.Sub(c.suspected) < suspectedFor
	if c.gone(now, m.settle) || c.Silent && !suspected {
		return false
	}
	pause := rollCallInterval
	switch {
	case c.unresponsive(now):
		pause = probeInterval
	case suspected:
		pause = unansweredFor / unansweredMessages
	case m.rollCall.IsZero() || now.Sub(c.answered) < rollCallInterval:
		return false
	}
	return now.Sub(c.probed) >= pause
}

// suspects returns the hashes of the nodes in whose place this one was asked and that do not
// answer.
func (m *members) suspects(now time.Time) []uint64 {
	var hashes []uint64
	for _, c := range m.others {
		if c.unresponsive(now) && now.Sub(c.suspected) < suspectedFor {
			hashes = append(hashes, c.hash)
		}
	}
	return hashes
}

// heard returns which of the nodes with the hashes were heard lately.
func (m *members) heard(now time.Time, hashes []uint64) []uint64 {
	var list []uint64
	for _, c := range m.others {
		if slices.Contains(hashes, c.hash) && (now.Sub(c.Heard) < rollCallSpan || now.Sub(c.answered) < rollCallSpan) {
			list = append(list, c.hash)
		}
	}
	return list
}

// vouch records that another node heard those with the hashes.
func (m *members) vouch(now time.Time, hashes []uint64) {
	for _, c := range m.others {
		if slices.Contains(hashes, c.hash) {
			c.vouched = now
		}
	}
}

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
// it is a stand-in: another node comes first that is not lost.
func (m *members) owns(now time.Time, key uint64) bool {
	if m.self.Stopping {
		return false
	}
	own := mix(key ^ m.self.hash)
	for _, c := range m.others {
		if mix(key^c.hash) > own && !c.lost(now, m.settle, m.rollCallAge(now)) {
			return false
		}
	}
	return true
}
