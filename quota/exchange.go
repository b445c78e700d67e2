package quota

import (
	"slices"
	"strings"
	"time"
)

// Poll returns the messages to send now.
func (n *Node) Poll(now time.Time) []Outgoing {
	n.mu.Lock()
	defer n.mu.Unlock()
	entries := map[string][]Entry{}
	due := n.due[:0]
	for _, a := range n.due {
		a.expire(now)
		want := a.want(n.bounds.lifetime(a.limit))
		if want == 0 || n.accounts[a.key] != a || now.Before(a.refusedUntil) {
			a.due = false
			continue
		}
		due = append(due, a)
		if !a.askedAt.IsZero() && now.Sub(a.askedAt) < resendAfter {
			continue
		}
		owner := n.members.owner(now, a.key)
		if owner == n.members.self {
			if n.joined {
				n.askSelf(now, a)
			}
			continue
		}
		a.askedAt = now
		entries[owner.Host] = append(entries[owner.Host], Entry{Key: a.key, Tokens: uint32(min(want, maxTokens)), Returned: uint32(min(a.takeReturned(now), maxTokens))})
	}
	clear(n.due[len(due):])
	n.due = due
	var out []Outgoing
	for host, list := range entries {
		for chunk := range slices.Chunk(list, maxEntries) {
			out = append(out, n.message(now, host, chunk))
		}
	}
	slices.SortFunc(out, func(a, b Outgoing) int { return strings.Compare(a.Host, b.Host) })
	return out
}

// message returns an ask; n.mu is held.
func (n *Node) message(now time.Time, host string, entries []Entry) Outgoing {
	n.lastID++
	n.asks[n.lastID] = ask{host: host, sent: now}
	if c := n.members.contacts[host]; c != nil {
		c.sent(now)
	}
	return Outgoing{Host: host, Message: Message{Host: n.members.self.Host, Incarnation: n.incarnation, ID: n.lastID, Entries: entries}}
}

// Tick does what is due at intervals of a few tens of milliseconds, and returns the
// messages to send, like Poll.
func (n *Node) Tick(now time.Time) []Outgoing {
	n.mu.Lock()
	n.advance(now)
	var probes []Outgoing
	if now.Sub(n.kept) >= upkeepInterval {
		n.kept = now
		probes = n.upkeep(now)
	}
	n.mu.Unlock()
	return append(probes, n.Poll(now)...)
}

// upkeep mints what ledgers earned while their node had its present part, forgets what is
// unused, and returns the probes of nodes that did not answer; n.mu is held.
func (n *Node) upkeep(now time.Time) []Outgoing {
	short := false
	for key, l := range n.ledgers {
		short = short || !l.short.IsZero() && now.Sub(l.short) < suspectedFor
		if now.Sub(l.used) > forgetAfter && !n.members.owns(now, key) {
			delete(n.ledgers, key)
			continue
		}
		n.mint(now, key, n.limits[key], l)
	}
	for key, a := range n.accounts {
		if a.waiting == 0 && now.Sub(a.updated) > forgetAfter {
			delete(n.accounts, key)
		}
	}
	for id, sent := range n.asks {
		if now.Sub(sent.sent) > maxAskAge {
			delete(n.asks, id)
		}
	}
	var probes []Outgoing
	n.members.updateRollCall(now, short)
	suspects := n.members.suspects(now)
	for _, c := range n.members.others {
		if n.members.probes(now, c) {
			probe := n.message(now, c.Host, nil)
			probe.Message.Hosts = suspects[:min(len(suspects), maxHosts)]
			probes = append(probes, probe)
		}
	}
	return probes
}

// Handle processes a message of another node and returns the reply to send, if there is
// one.
func (n *Node) Handle(now time.Time, m Message) (Message, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.advance(now)
	c := n.members.contacts[m.Host]
	if c == nil {
		return Message{}, false
	}
	c.unanswered, c.answered = 0, now
	if m.Answer {
		n.members.vouch(now, m.Hosts)
		n.handleAnswer(now, m)
		return Message{}, false
	}
	if !n.recordAsk(m) {
		return Message{}, false
	}
	reply := Message{Host: n.members.self.Host, Incarnation: n.incarnation, ID: m.ID, Answer: true, Hosts: n.members.heard(now, m.Hosts)}
	for _, e := range m.Entries {
		limit, ok := n.limits[e.Key]
		if !ok {
			continue
		}
		tokens, lifetime := n.grant(now, e.Key, limit, int(min(e.Tokens, maxTokens)), int(min(e.Returned, maxTokens)))
		reply.Entries = append(reply.Entries, Entry{
			Key: e.Key, Tokens: uint32(tokens), Returned: e.Tokens, LifetimeMs: uint32(lifetime.Milliseconds()),
			StandIn: !n.members.owns(now, e.Key),
		})
	}
	return reply, true
}

// handleAnswer credits the tokens of an answer, unless it came before or too late; n.mu is
// held.
func (n *Node) handleAnswer(now time.Time, m Message) {
	sent, ok := n.asks[m.ID]
	if !ok || sent.host != m.Host {
		return
	}
	delete(n.asks, m.ID)
	for _, e := range m.Entries {
		if a := n.accounts[e.Key]; a != nil {
			expires := sent.sent.Add(min(time.Duration(e.LifetimeMs)*time.Millisecond, maxLifetime))
			a.standIn = e.StandIn
			n.credit(now, a, m.Host, int(e.Returned), grant{tokens: int(e.Tokens), expires: expires})
		}
	}
}
