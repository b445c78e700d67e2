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
	// probeInterval is the mean time between two rounds of pings.
	probeInterval = time.Second
	// probesPerRound is how many neighbours are pinged in a round.
	probesPerRound = 3
	// probeTimeout limits the wait for the reply to a ping.
	probeTimeout = 700 * time.Millisecond
	// maxIndirectProbes limits how many members are asked to ping one that did
	// not answer.
	maxIndirectProbes = 2
	// suspectCheckInterval is the mean time between two checks for suspects whose
	// timeout has passed.
	suspectCheckInterval = 500 * time.Millisecond
	// downProbeInterval is the mean time between two probes of a member that is
	// down.
	downProbeInterval = 5 * time.Second
	// joinRetryInterval is the mean delay between two attempts to join.
	joinRetryInterval = 500 * time.Millisecond
	// minSyncInterval is the least time between two exchanges of full member lists
	// after a digest mismatch.
	minSyncInterval = 2 * time.Second
	// maxMembersPerMessage limits the member records of one gossip message.
	maxMembersPerMessage = 64
)

// handle processes a message of another node and returns the reply, or nil for a
// message that has none.
func (n *Node) handle(ctx context.Context, message *control.Message) *control.Message {
	now := n.clock.Now()
	n.merge(ctx, message)
	reply := n.newMessage(message.Kind)
	switch message.Kind {
	case control.Ping:
		reply.Members = []membership.Member{n.view.Self()}
	case control.IndirectPing:
		reply.OK = n.ping(ctx, message.Target, n.newMessage(control.Ping)) == nil
	case control.Gossip:
		n.broadcastQuarantine(n.quarantine.Merge(now, message.Quarantined))
		return nil
	case control.Sync:
		reply.Members = n.view.Snapshot().Members()
		reply.FormerIncarnations = n.view.Snapshot().FormerIncarnations()
	case control.Fetch:
		reply.State = n.encodedState()
	case control.DailyTotals:
		n.domainCounts.merge(message.DailyTotals)
		reply.OK = true
	}
	return &reply
}

// newMessage returns a message with the fields that every message carries: the
// sender, its revision with the age of its confirmation, and the digest of its
// view.
func (n *Node) newMessage(kind control.Kind) control.Message {
	m := control.Message{
		Kind: kind, From: n.settings.Host(), Revision: n.inForce.Revision(), Digest: n.view.Digest(),
	}
	if confirmed := n.inForce.Confirmed(); !confirmed.IsZero() {
		m.ConfirmedAge = max(n.clock.Now().Sub(confirmed), 1)
	}
	return m
}

// merge updates this node from a message: members, former incarnations, the
// revision (fetched from the sender if it is newer) and its confirmation.
func (n *Node) merge(ctx context.Context, message *control.Message) {
	now := n.clock.Now()
	if len(message.Members) > 0 {
		before := n.view.Snapshot()
		updates := n.view.Merge(now, message.Members)
		n.logRefutations(before, updates)
		n.broadcastMembers(ctx, updates)
	}
	if len(message.FormerIncarnations) > 0 {
		n.view.MergeFormerIncarnations(message.FormerIncarnations)
	}
	if message.Revision > n.inForce.Revision() {
		n.fetchState(ctx, message.From)
	}
	if message.ConfirmedAge > 0 {
		n.inForce.Confirm(message.Revision, now.Add(-message.ConfirmedAge))
	}
}

// logRefutations logs the updates by which members that were suspect or down are alive again.
func (n *Node) logRefutations(before *membership.Snapshot, updates []membership.Member) {
	for _, member := range updates {
		old, ok := before.Member(member.Host)
		if ok && old.Incarnation == member.Incarnation && member.Status == membership.Alive &&
			(old.Status == membership.Suspect || old.Status == membership.Down) {
			_ = level.Info(n.logger).Log("event", "refuted", "member", member.Host, "was", old.Status)
		}
	}
}

// broadcastMembers sends changed member records to this node's neighbours.
func (n *Node) broadcastMembers(ctx context.Context, members []membership.Member) {
	for len(members) > 0 {
		part := members[:min(maxMembersPerMessage, len(members))]
		members = members[len(part):]
		n.broadcast(ctx, control.Message{Kind: control.Gossip, Members: part})
	}
}

// broadcast sends a message to every neighbour without waiting for completion.
func (n *Node) broadcast(ctx context.Context, message control.Message) {
	for _, address := range n.prepareBroadcast(&message) {
		go func() { _ = n.peers.Send(ctx, address, message) }()
	}
}

// broadcastAndWait sends a message to every neighbour and waits until all are
// written.
func (n *Node) broadcastAndWait(ctx context.Context, message control.Message) {
	var group sync.WaitGroup
	for _, address := range n.prepareBroadcast(&message) {
		group.Add(1)
		go func() {
			defer group.Done()
			_ = n.peers.Send(ctx, address, message)
		}()
	}
	group.Wait()
}

// prepareBroadcast sets the fields that every message carries and returns the
// neighbours' addresses.
func (n *Node) prepareBroadcast(message *control.Message) []string {
	base := n.newMessage(message.Kind)
	message.From, message.Revision = base.From, base.Revision
	message.Digest, message.ConfirmedAge = base.Digest, base.ConfirmedAge
	var addresses []string
	for _, neighbour := range n.view.Snapshot().Neighbours(n.view.Self()) {
		addresses = append(addresses, neighbour.Address)
	}
	return addresses
}

// probeNeighbours probes the next neighbours in turn.
func (n *Node) probeNeighbours(ctx context.Context) {
	for _, member := range n.view.NextProbeTargets(probesPerRound) {
		n.probeMember(ctx, member)
	}
}

// probeMember pings a member. If an alive member is not reached directly or
// through others, it becomes a suspect.
func (n *Node) probeMember(ctx context.Context, member membership.Member) {
	message := n.newMessage(control.Ping)
	if member.Status != membership.Alive {
		// A member that is still alive refutes the record by raising its version.
		message.Members = []membership.Member{member}
	}
	started := n.clock.Now()
	if n.ping(ctx, member.Address, message) == nil {
		n.roundTrips.observe(member.FailureDomain, n.clock.Now().Sub(started))
		return
	}
	if ctx.Err() != nil || member.Status != membership.Alive || n.reachableIndirectly(ctx, member) {
		return
	}
	suspect, ok := n.view.Suspect(n.clock.Now(), member)
	if !ok {
		return
	}
	_ = level.Info(n.logger).Log("event", "suspect", "member", suspect.Host)
	n.broadcastMembers(ctx, []membership.Member{suspect})
}

// ping sends a ping and merges the reply. If the digests differ, it also
// exchanges full member lists.
func (n *Node) ping(ctx context.Context, address string, message control.Message) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := n.peers.Request(ctx, address, message)
	if err != nil {
		return err
	}
	n.merge(ctx, reply)
	if reply.Digest != n.view.Digest() && n.allowSync() {
		n.sync(ctx, address)
	}
	return nil
}

// allowSync reports whether minSyncInterval has passed since the last allowed
// exchange.
func (n *Node) allowSync() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	if now.Sub(n.lastSync) < minSyncInterval {
		return false
	}
	n.lastSync = now
	return true
}

// sync exchanges full member lists with the node at address.
func (n *Node) sync(ctx context.Context, address string) bool {
	message := n.newMessage(control.Sync)
	message.Members = n.view.Snapshot().Members()
	message.FormerIncarnations = n.view.Snapshot().FormerIncarnations()
	reply, err := n.peers.Request(ctx, address, message)
	if err != nil {
		return false
	}
	n.merge(ctx, reply)
	return true
}

// reachableIndirectly asks other members to ping the member and reports whether
// one of them reached it.
func (n *Node) reachableIndirectly(ctx context.Context, member membership.Member) bool {
	for range maxIndirectProbes {
		helper, ok := n.view.IndirectProber(member)
		if !ok {
			return false
		}
		message := n.newMessage(control.IndirectPing)
		message.Target = member.Address
		reply, err := n.peers.Request(ctx, helper.Address, message)
		if err == nil && reply.OK {
			return true
		}
	}
	return false
}

// expireSuspects declares suspects down that did not refute before their timeout.
func (n *Node) expireSuspects(ctx context.Context) {
	down := n.view.Expire(n.clock.Now())
	for _, member := range down {
		_ = level.Warn(n.logger).Log("event", "down", "member", member.Host)
	}
	n.broadcastMembers(ctx, down)
	n.gate.Refresh()
}

// probeDown probes one member that is down, so that both sides find each other
// after a network partition. A node without neighbours joins again through its
// contacts.
func (n *Node) probeDown(ctx context.Context) {
	member, ok := n.view.RandomDownMember()
	if ok {
		n.probeMember(ctx, member)
	}
	if len(n.view.Snapshot().Neighbours(n.view.Self())) == 0 {
		n.joinContacts(ctx)
	}
}

// join asks the contacts, the nodes listed in the settings, until one answers,
// and returns when a revision is in force as well.
func (n *Node) join() error {
	ctx := n.context()
	joined := len(n.settings.ContactAddresses()) == 0
	for {
		joined = joined || n.joinContacts(ctx)
		if joined && n.inForce.State() != nil {
			_ = level.Info(n.logger).Log("event", "joined", "revision", n.inForce.Revision())
			return nil
		}
		if !n.sleep(n.rng.jitter(joinRetryInterval)) {
			return nil
		}
	}
}

// joinContacts exchanges full member lists with the first contact that answers.
func (n *Node) joinContacts(ctx context.Context) bool {
	for _, address := range n.settings.ContactAddresses() {
		if address == n.settings.NodeAddress() {
			continue
		}
		if n.sync(ctx, address) {
			return true
		}
	}
	return false
}

// upstreamChanged sends the state of this node's upstream to the neighbours. It
// reads the state from the admission gate while it updates the member record, so
// that of two concurrent changes the later state gets the higher version.
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
	n.broadcastMembers(n.context(), []membership.Member{self})
}

// broadcastQuarantine sends changed quarantine entries, of requests that crash
// their upstream, to the neighbours.
func (n *Node) broadcastQuarantine(entries []quarantine.Entry) {
	if len(entries) > 0 {
		n.broadcast(n.context(), control.Message{Kind: control.Gossip, Quarantined: entries})
	}
}
