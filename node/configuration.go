package node

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/banyancross/banyancross/control"
	"github.com/banyancross/banyancross/membership"
	"github.com/banyancross/banyancross/note"
	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/publishing"
)

const (
	// relaysPerDomain is how many nodes of a failure domain access the platform
	// on its behalf.
	relaysPerDomain = 2
	// watchRetryInterval is the mean delay after a read that found no
	// configuration; it doubles with each consecutive failure.
	watchRetryInterval = time.Second
	// maxWatchRetryInterval limits the mean delay between failed watches.
	maxWatchRetryInterval = 8 * time.Second
	// idleWatchInterval is the mean time between two checks whether this node
	// must watch.
	idleWatchInterval = time.Second
	// maxConfirmationAge is the age of the platform's last confirmation of the
	// revision above which a node reports its revision as stale.
	maxConfirmationAge = 30 * time.Second
)

// isRelay reports whether this node accesses the platform on behalf of its
// failure domain.
func (n *Node) isRelay() bool {
	relays := n.view.Snapshot().Relays(n.settings.FailureDomain(), relaysPerDomain)
	return slices.ContainsFunc(relays, func(m membership.Member) bool { return m.Host == n.settings.Host() })
}

// stale reports whether the platform's last confirmation of the revision is older
// than maxConfirmationAge.
func (n *Node) stale() bool {
	return n.clock.Now().Sub(n.inForce.Confirmed()) > maxConfirmationAge
}

// watchConfiguration reads or watches the configuration key while this node is a
// relay, has no revision, or has a stale one.
func (n *Node) watchConfiguration() error {
	var last platform.Entry
	pause := watchRetryInterval
	for {
		shouldWatch := n.isRelay() || n.inForce.State() == nil || n.stale()
		if !shouldWatch {
			if !n.sleep(n.rng.jitter(idleWatchInterval)) {
				return nil
			}
			continue
		}
		next, err := n.readConfiguration(last)
		if err == nil {
			last = next
			pause = watchRetryInterval
			if next.Version() != 0 {
				continue
			}
		} else {
			pause = min(2*pause, maxWatchRetryInterval)
		}
		if !n.sleep(n.rng.jitter(pause)) {
			return nil
		}
	}
}

// readConfiguration reads the configuration key, or watches it for a version
// other than last, and adopts the state that it holds.
func (n *Node) readConfiguration(last platform.Entry) (platform.Entry, error) {
	ctx := n.context()
	started := n.clock.Now()
	var next platform.Entry
	var err error
	if last.Version() == 0 || !n.isRelay() {
		next, err = n.store.Get(ctx, publishing.ConfigurationKey)
	} else {
		next, err = n.store.Watch(ctx, publishing.ConfigurationKey, last)
	}
	if err != nil {
		return last, err
	}
	state := &note.State{}
	if next.Version() != 0 {
		if state, err = note.Decode(next.Value()); err != nil {
			_ = level.Error(n.logger).Log("event", "configuration-unreadable", "err", err)
			return last, err
		}
	}
	if n.inForce.Revision() > state.Revision {
		return n.restoreConfiguration(ctx, next)
	}
	if next.Version() == 0 {
		return next, nil
	}
	n.adopt(ctx, state)
	n.inForce.Confirm(state.Revision, started)
	return next, nil
}

// restoreConfiguration stores the state in force in place of an earlier one, to which the store
// was restored from a copy. It returns the entry to watch from, an absent one if the key is to be
// read again.
func (n *Node) restoreConfiguration(ctx context.Context, earlier platform.Entry) (platform.Entry, error) {
	revision := n.inForce.Revision()
	err := n.store.Put(ctx, publishing.ConfigurationKey, n.encodedState(), earlier)
	if platform.KindOf(err) == platform.KindConflict {
		// This node heard of a later state before its watch did.
		return earlier, nil
	}
	if err == nil {
		_ = level.Warn(n.logger).Log("event", "configuration-restored", "revision", revision)
	}
	return platform.Entry{}, err
}

// adopt puts a state in force if it is newer and sends its revision to the
// neighbours.
func (n *Node) adopt(ctx context.Context, state *note.State) {
	if !n.inForce.Adopt(state) {
		return
	}
	_ = level.Info(n.logger).Log("event", "in-force", "revision", state.Revision)
	n.broadcast(ctx, control.Message{Kind: control.Gossip})
}

// refreshGateOnChange updates the state of this node's upstream whenever another
// revision comes into force.
func (n *Node) refreshGateOnChange() error {
	for {
		changed := n.inForce.Changed()
		n.gate.Refresh()
		select {
		case <-n.tomb.Dying():
			return nil
		case <-changed:
		}
	}
}

// fetchState asks another node for its release notes and adopts them.
func (n *Node) fetchState(ctx context.Context, host string) {
	member, ok := n.view.Snapshot().Member(host)
	if !ok {
		return
	}
	reply, err := n.peers.Request(ctx, member.Address, n.newMessage(control.Fetch))
	if err != nil || len(reply.State) == 0 {
		return
	}
	state, err := note.Decode(reply.State)
	if err != nil {
		_ = level.Error(n.logger).Log("event", "configuration-unreadable", "from", host, "err", err)
		return
	}
	n.adopt(ctx, state)
}

// encodedState returns the state in force, or nil if there is none.
func (n *Node) encodedState() []byte {
	state := n.inForce.State()
	if state == nil {
		return nil
	}
	data, err := state.Encode()
	if err != nil {
		return nil
	}
	return data
}
