package quota

import (
	"slices"
	"sync"
	"time"
)

// The decisions in this file answer callers of an organisation that send more than its
// quota through any number of nodes: what lies beyond is refused before any work, and
// what lies below is not.

// Verdict is the decision on a request.
type Verdict uint8

// The verdicts.
const (
	// Admitted means that the request may be sent.
	Admitted Verdict = iota + 1
	// Refused means that the request lies beyond the quota.
	Refused
	// Unanswered means that no owner could say in time whether the request lies beyond the
	// quota.
	Unanswered
	// Waiting means that the request waits for an answer of the owner.
	Waiting
)

// Decision is the decision on a request.
type Decision struct {
	Verdict Verdict
	// RetryAfter is the time in which tokens come for what was refused lately.
	RetryAfter time.Duration
	// Expires is the time until which the token of an admitted request may be given back.
	Expires time.Time
}

// Outgoing is a message to a node.
type Outgoing struct {
	Host    string
	Message Message
}

const (
	// forgetAfter is the time without a request after which an account is dropped, or the
	// ledger of a node that is not the owner; it exceeds any window. An owner keeps its
	// ledgers: a new one would not hold the burst.
	forgetAfter = 30 * time.Second
	// upkeepInterval is the pause between upkeeps: after a change of the view, a ledger mints
	// as before for at most as long.
	upkeepInterval = 100 * time.Millisecond
	// maxAskAge is the time after which an ask is no longer answered: its tokens would have
	// expired.
	maxAskAge = maxLifetime
	// keptProcesses is the number of processes of another node of which duplicate asks are
	// told: an ask may come late, after one of the process that followed.
	keptProcesses = 3
)

// Node decides on the requests that enter at a node, and holds the ledgers of the
// organisations that the node owns; it is safe for concurrent use.
type Node struct {
	bounds      Bounds
	incarnation int64

	mu       sync.Mutex
	members  *members
	joined   bool
	limits   map[uint64]Limit
	names    map[uint64]string
	accounts map[uint64]*account
	ledgers  map[uint64]*ledger
	// due holds the accounts that need tokens.
	due []*account
	// asks holds the unanswered asks by ID.
	asks map[uint64]ask
	// lastID starts at a hash of the incarnation, below 1 << 63.
	lastID uint64
	// askers holds the latest asks of each node's processes, at most keptProcesses.
	askers map[string][]asker
	// latest is when the node was last driven, and kept when it last did its upkeep.
	latest, kept time.Time
}

// ask is an unanswered ask.
type ask struct {
	host string
	sent time.Time
}

// asker is the latest ask of a process of another node.
type asker struct {
	incarnation int64
	id          uint64
}

// recordAsk records the ask of another node and reports whether it is later than those of
// its process before; n.mu is held.
func (n *Node) recordAsk(m Message) bool {
	known := n.askers[m.Host]
	for i := range known {
		if known[i].incarnation == m.Incarnation {
			later := m.ID > known[i].id
			known[i].id = max(known[i].id, m.ID)
			return later
		}
	}
	known = append(known, asker{incarnation: m.Incarnation, id: m.ID})
	n.askers[m.Host] = known[max(0, len(known)-keptProcesses):]
	return true
}

// NewNode returns the Node of a process that starts; incarnation differs from that of
// earlier processes of the host, and so do the IDs of its asks: an answer that comes after a
// restart is none to an ask of the new process.
func NewNode(host string, incarnation int64, bounds Bounds) *Node {
	return &Node{
		bounds: bounds, incarnation: incarnation, members: newMembers(host), limits: map[uint64]Limit{}, names: map[uint64]string{},
		accounts: map[uint64]*account{}, ledgers: map[uint64]*ledger{}, asks: map[uint64]ask{}, askers: map[string][]asker{},
		lastID: mix(uint64(incarnation)) >> 1,
	}
}

// SetMembers sets the other nodes of the fleet; settle is the time after which a node that
// is cut off has noticed that it is. joined means that the list is complete: until then
// this node may take itself for the owner of an organisation because it does not know the
// real one, and grants itself nothing.
func (n *Node) SetMembers(list []Member, settle time.Duration, joined bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members.update(list, settle)
	n.joined = joined
	for host := range n.askers {
		if n.members.contacts[host] == nil {
			delete(n.askers, host)
		}
	}
}

// SetLimits sets the limits by the name of the organisation. Tokens on hand of those whose
// limit became lower are given up.
func (n *Node) SetLimits(limits map[string]Limit) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.limits, n.names = make(map[uint64]Limit, len(limits)), make(map[uint64]string, len(limits))
	for name, limit := range limits {
		if limit.Rate > 0 {
			key := Key(name)
			n.limits[key], n.names[key] = limit, name
		}
	}
	for key, a := range n.accounts {
		limit, ok := n.limits[key]
		if !ok {
			delete(n.accounts, key)
			continue
		}
		if limit.Rate < a.limit.Rate || limit.Burst < a.limit.Burst {
			a.drop()
		}
		a.limit = limit
	}
	for key := range n.ledgers {
		if _, ok := n.limits[key]; !ok {
			delete(n.ledgers, key)
		}
	}
}

// Take decides on a request of an organisation. A request that waits is decided by Retry
// after each answer, or by GiveUp.
func (n *Node) Take(now time.Time, organisation string) Decision {
	key := Key(organisation)
	n.mu.Lock()
	defer n.mu.Unlock()
	limit, ok := n.limits[key]
	if !ok {
		return Decision{Verdict: Admitted}
	}
	n.advance(now)
	a := n.accounts[key]
	if a == nil {
		a = &account{key: key, limit: limit, updated: now}
		n.accounts[key] = a
	}
	a.decay(now)
	a.demand += 1 / demandSpan.Seconds()
	a.usage.Asked++
	if expires, ok := a.spend(now); ok {
		if a.want(n.bounds.lifetime(limit)) > 0 && !now.Before(a.refusedUntil) {
			n.markDue(a)
		}
		return Decision{Verdict: Admitted, Expires: expires}
	}
	if now.Before(a.refusedUntil) {
		return n.refuse(a)
	}
	a.waiting++
	if n.joined && n.members.owner(now, key) == n.members.self {
		n.askSelf(now, a)
		return n.decide(now, a)
	}
	n.markDue(a)
	return Decision{Verdict: Waiting}
}

// Retry decides on a request that waits.
func (n *Node) Retry(now time.Time, organisation string) Decision {
	n.mu.Lock()
	defer n.mu.Unlock()
	a := n.accounts[Key(organisation)]
	if a == nil {
		// The organisation left the configuration or has no limit any more.
		return Decision{Verdict: Admitted}
	}
	a.decay(now)
	return n.decide(now, a)
}

// GiveUp decides on a request that waits no longer.
func (n *Node) GiveUp(now time.Time, organisation string) Decision {
	n.mu.Lock()
	defer n.mu.Unlock()
	a := n.accounts[Key(organisation)]
	if a == nil {
		return Decision{Verdict: Admitted}
	}
	a.decay(now)
	if d := n.decide(now, a); d.Verdict != Waiting {
		return d
	}
	a.waiting--
	a.usage.Unanswered++
	return Decision{Verdict: Unanswered}
}

// Refund gives back the token of a request that no upstream ran, unless it expired: the
// ledger may have minted another in its place.
func (n *Node) Refund(now time.Time, organisation string, expires time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a := n.accounts[Key(organisation)]
	if a == nil || !now.Before(expires) {
		return
	}
	if last := len(a.returned) - 1; last >= 0 && a.returned[last].expires.Equal(expires) {
		a.returned[last].tokens++
		return
	}
	a.returned = append(slices.DeleteFunc(a.returned, func(g grant) bool { return !now.Before(g.expires) }), grant{tokens: 1, expires: expires})
}

// decide decides on one of the waiting requests of an account; n.mu is held.
func (n *Node) decide(now time.Time, a *account) Decision {
	if expires, ok := a.spend(now); ok {
		a.waiting--
		return Decision{Verdict: Admitted, Expires: expires}
	}
	if now.Before(a.refusedUntil) {
		a.waiting--
		return n.refuse(a)
	}
	return Decision{Verdict: Waiting}
}

// refuse returns the decision to refuse a request; n.mu is held.
func (n *Node) refuse(a *account) Decision {
	if a.standIn {
		a.usage.Unanswered++
		return Decision{Verdict: Unanswered}
	}
	a.usage.Refused++
	return Decision{Verdict: Refused, RetryAfter: a.retryAfter(n.members.known, n.bounds.Window)}
}

// markDue adds an account to those that need tokens; n.mu is held.
func (n *Node) markDue(a *account) {
	if !a.due {
		a.due = true
		n.due = append(n.due, a)
	}
}

// advance empties the ledgers if the process was paused for so long that another node may
// have minted in its place; n.mu is held.
func (n *Node) advance(now time.Time) {
	if !n.latest.IsZero() && now.Sub(n.latest) >= n.members.settle {
		for _, l := range n.ledgers {
			l.empty(now)
		}
	}
	if now.After(n.latest) {
		n.latest = now
	}
}

// grant takes at most want tokens from the ledger of an organisation, after returned ones
// were given back; n.mu is held.
func (n *Node) grant(now time.Time, key uint64, limit Limit, want, returned int) (tokens int, lifetime time.Duration) {
	l := n.ledgers[key]
	if l == nil {
		l = newLedger(now, n.bounds.start(limit))
		n.ledgers[key] = l
	}
	l.used = now
	l.giveBack(returned)
	n.mint(now, key, limit, l)
	n.members.suspect(now, key)
	if float64(want) > l.level && n.bounds.twiceExceeds(limit) {
		l.short = now
	}
	lifetime = n.bounds.lifetime(limit)
	return l.take(want, now.Add(lifetime)), lifetime
}

// mint brings a ledger up to now; n.mu is held.
func (n *Node) mint(now time.Time, key uint64, limit Limit, l *ledger) {
	if n.members.owns(now, key) {
		l.mint(now, n.bounds.mintRate(limit)*n.members.share(now), n.bounds.capacity(limit))
		return
	}
	rate := n.bounds.standInRate(limit)
	l.mint(now, rate, max(1, rate))
}

// askSelf grants an account what it wants from this node's own ledger; n.mu is held.
func (n *Node) askSelf(now time.Time, a *account) {
	want := a.want(n.bounds.lifetime(a.limit))
	tokens, lifetime := n.grant(now, a.key, a.limit, want, a.takeReturned(now))
	a.standIn = !n.members.owns(now, a.key)
	n.credit(now, a, n.members.self.Host, want, grant{tokens: tokens, expires: now.Add(lifetime)})
}

// credit adds the tokens that an owner granted of those wanted; n.mu is held.
func (n *Node) credit(now time.Time, a *account, owner string, want int, g grant) {
	a.askedAt, a.answered, a.owner = time.Time{}, now, owner
	a.credit(now, g)
	if g.tokens < want {
		a.refusedUntil = now.Add(refusedPause)
	}
}
