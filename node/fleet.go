package node

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/banyancross/banyancross/control"
	"github.com/banyancross/banyancross/membership"
	"github.com/banyancross/banyancross/quarantine"
)

const (
	// probeInterval is the mean time between two rounds of probes.
	probeInterval = time.Second
	// probesPerRound is how many contacts are probed in a round.
	probesPerRound = 3
	// probeTimeout is how long a probe may take.
	probeTimeout = 700 * time.Millisecond
	// helpers is how many members are asked to probe one that does not answer.
	helpers = 2
	// expireInterval is the mean time between two looks at the suspects.
	expireInterval = 500 * time.Millisecond
	// retryLostInterval is the mean time between two tries of a lost member.
	retryLostInterval = 5 * time.Second
	// joinPause is the mean pause between two tries to join.
	joinPause = 500 * time.Millisecond
	// syncPause is the least time between two exchanges of full lists.
	syncPause = 2 * time.Second
	// maxNews is how many records a message of news carries.
	maxNews = 64
)

// handle answers a message of another node.
func (n *Node) handle(ctx context.Context, message *control.Message) *control.Message {
	now := n.clock.Now()
	n.learn(ctx, message)
	reply := n.message(message.Kind)
	switch message.Kind {
	case control.Ping:
		reply.Members = []membership.Member{n.view.Self()}
	case control.IndirectPing:
		reply.OK = n.ping(ctx, message.Target, n.message(control.Ping)) == nil
	case control.Gossip:
		n.spreadQuarantine(n.quarantine.Merge(now, message.Quarantined))
		return nil
	case control.Sync:
		reply.Members = n.view.Snapshot().Members()
		reply.FormerIncarnations = n.view.Snapshot().FormerIncarnations()
	case control.Fetch:
		reply.State = n.encodedState()
	case control.DailyTotals:
		n.relay.take(message.DailyTotals)
		reply.OK = true
	}
	return &reply
}

// message returns a message with what every one carries.
func (n *Node) message(kind control.Kind) control.Message {
	m := control.Message{
		Kind: kind, From: n.settings.Host(), Revision: n.inForce.Revision(), Digest: n.view.Digest(),
	}
	if confirmed := n.inForce.Confirmed(); !confirmed.IsZero() {
		m.ConfirmedAge = max(n.clock.Now().Sub(confirmed), 1)
	}
	return m
}

// learn takes what every message carries.
func (n *Node) learn(ctx context.Context, message *control.Message) {
	now := n.clock.Now()
	if len(message.Members) > 0 {
		n.spreadMembers(ctx, n.view.Merge(now, message.Members))
	}
	if len(message.FormerIncarnations) > 0 {
		n.view.MergeFormerIncarnations(message.FormerIncarnations)
	}
	if message.Revision > n.inForce.Revision() {
		n.fetchFrom(ctx, message.From)
	}
	if message.ConfirmedAge > 0 {
		n.inForce.Confirm(message.Revision, now.Add(-message.ConfirmedAge))
	}
}

// spreadMembers passes membership news on to the contacts.
func (n *Node) spreadMembers(ctx context.Context, news []membership.Member) {
	for len(news) > 0 {
		part := news[:min(maxNews, len(news))]
		news = news[len(part):]
		n.spread(ctx, control.Message{Kind: control.Gossip, Members: part})
	}
}

// spread sends a message to every contact without waiting.
func (n *Node) spread(ctx context.Context, message control.Message) {
	for _, address := range n.addressed(&message) {
		go func() { _ = n.peers.Send(ctx, address, message) }()
	}
}

// spreadNow sends a message to every contact and waits until it is written.
func (n *Node) spreadNow(ctx context.Context, message control.Message) {
	var group sync.WaitGroup
	for _, address := range n.addressed(&message) {
		group.Add(1)
		go func() {
			defer group.Done()
			_ = n.peers.Send(ctx, address, message)
		}()
	}
	group.Wait()
}

// addressed completes the message and returns the contacts' addresses.
func (n *Node) addressed(message *control.Message) []string {
	base := n.message(message.Kind)
	message.From, message.Revision = base.From, base.Revision
	message.Digest, message.ConfirmedAge = base.Digest, base.ConfirmedAge
	var addresses []string
	for _, contact := range n.view.Snapshot().Neighbours(n.view.Self()) {
		addresses = append(addresses, contact.Address)
	}
	return addresses
}

// probe pings the next contacts.
func (n *Node) probe(ctx context.Context) {
	for _, member := range n.view.NextProbeTargets(probesPerRound) {
		n.probeMember(ctx, member)
	}
}

func (n *Node) probeMember(ctx context.Context, member membership.Member) {
	message := n.message(control.Ping)
	if member.Status != membership.Alive {
		// The member must hear what is said of it, so that it can refute.
		message.Members = []membership.Member{member}
	}
	started := n.clock.Now()
	if n.ping(ctx, member.Address, message) == nil {
		n.links.observe(member.FailureDomain, n.clock.Now().Sub(started))
		return
	}
	if ctx.Err() != nil || member.Status != membership.Alive || n.indirectly(ctx, member) {
		return
	}
	suspect, ok := n.view.Suspect(n.clock.Now(), member)
	if !ok {
		return
	}
	_ = level.Info(n.logger).Log("event", "suspect", "member", suspect.Host)
	n.spreadMembers(ctx, []membership.Member{suspect})
}

// ping sends a ping and learns from the reply.
func (n *Node) ping(ctx context.Context, address string, message control.Message) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := n.peers.Request(ctx, address, message)
	if err != nil {
		return err
	}
	n.learn(ctx, reply)
	if reply.Digest != n.view.Digest() && n.maySync() {
		n.sync(ctx, address)
	}
	return nil
}

// maySync limits how often full lists are exchanged.
func (n *Node) maySync() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	if now.Sub(n.syncedAt) < syncPause {
		return false
	}
	n.syncedAt = now
	return true
}

// sync exchanges full lists with the node at address.
func (n *Node) sync(ctx context.Context, address string) bool {
	message := n.message(control.Sync)
	message.Members = n.view.Snapshot().Members()
	message.FormerIncarnations = n.view.Snapshot().FormerIncarnations()
	reply, err := n.peers.Request(ctx, address, message)
	if err != nil {
		return false
	}
	n.learn(ctx, reply)
	return true
}

// indirectly asks others whether they reach the member.
func (n *Node) indirectly(ctx context.Context, member membership.Member) bool {
	for range helpers {
		helper, ok := n.view.IndirectProber(member)
		if !ok {
			return false
		}
		message := n.message(control.IndirectPing)
		message.Target = member.Address
		reply, err := n.peers.Request(ctx, helper.Address, message)
		if err == nil && reply.OK {
			return true
		}
	}
	return false
}

// expire declares suspects down whose time is over.
func (n *Node) expire(ctx context.Context) {
	news := n.view.Expire(n.clock.Now())
	for _, member := range news {
		_ = level.Warn(n.logger).Log("event", "down", "member", member.Host)
	}
	n.spreadMembers(ctx, news)
	n.gate.Refresh()
}

// retryLost tries one member that is down, so that a healed cut is found, and
// the contacts of the settings while this node knows nobody.
func (n *Node) retryLost(ctx context.Context) {
	member, ok := n.view.RandomDownMember()
	if ok {
		n.probeMember(ctx, member)
	}
	if len(n.view.Snapshot().Neighbours(n.view.Self())) == 0 {
		n.joinContacts(ctx)
	}
}

// join asks the contacts until one answers and a revision is in force.
func (n *Node) join() error {
	ctx := n.context()
	joined := len(n.settings.Contacts()) == 0
	for {
		joined = joined || n.joinContacts(ctx)
		if joined && n.inForce.State() != nil {
			_ = level.Info(n.logger).Log("event", "joined", "revision", n.inForce.Revision())
			return nil
		}
		if !n.sleep(n.rng.jitter(joinPause)) {
			return nil
		}
	}
}

// joinContacts exchanges full lists with the first contact that answers.
func (n *Node) joinContacts(ctx context.Context) bool {
	for _, address := range n.settings.Contacts() {
		if address == n.settings.Nodes() {
			continue
		}
		if n.sync(ctx, address) {
			return true
		}
	}
	return false
}

// upstreamChanged tells the fleet about the state of the upstream. It reads the
// state itself, so that of two changes at once the later one is told last.
func (n *Node) upstreamChanged() {
	announcement := n.gate.Announcement()
	slots := int(n.gate.Load().Limit)
	self := n.view.UpdateSelf(func(m *membership.Member) {
		m.Upstream, m.Service = announcement.Upstream, announcement.Service
		m.State = n.gate.State()
		m.Slots = slots
	})
	_ = level.Info(n.logger).Log("event", "upstream", "upstream", announcement.Upstream,
		"service", announcement.Service, "state", self.State)
	n.spreadMembers(n.context(), []membership.Member{self})
}

// spreadQuarantine passes on what was learned about requests that crash their
// upstream.
func (n *Node) spreadQuarantine(entries []quarantine.Entry) {
	if len(entries) > 0 {
		n.spread(n.context(), control.Message{Kind: control.Gossip, Quarantined: entries})
	}
}
