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
	// relays is how many nodes of a failure domain speak to the platform for it.
	relays = 2
	// watchPause is the mean pause after a failed watch.
	watchPause = time.Second
	// maxWatchPause is the mean pause after many failed watches.
	maxWatchPause = 8 * time.Second
	// idleWatchPause is the mean pause of a node that need not watch.
	idleWatchPause = time.Second
	// staleAfter is how old the platform's last word may be before a node says
	// that it cannot know the latest revision.
	staleAfter = 30 * time.Second
)

// isRelay tells whether this node speaks to the platform for its failure
// domain.
func (n *Node) isRelay() bool {
	found := n.view.Snapshot().Relays(n.settings.FailureDomain(), relays)
	return slices.ContainsFunc(found, func(m membership.Member) bool { return m.Host == n.settings.Host() })
}

// stale tells whether the platform's last word on the revision is too old.
func (n *Node) stale() bool {
	return n.clock.Now().Sub(n.inForce.Confirmed()) > staleAfter
}

// watchConfiguration follows the platform's key while this node is a relay,
// has no revision, or has not heard of the platform for long.
func (n *Node) watchConfiguration() error {
	var last platform.Entry
	pause := watchPause
	for {
		wanted := n.isRelay() || n.inForce.State() == nil || n.stale()
		if !wanted {
			if !n.sleep(n.rng.jitter(idleWatchPause)) {
				return nil
			}
			continue
		}
		next, err := n.readConfiguration(last)
		if err == nil {
			last = next
			pause = watchPause
			if next.Version() != 0 {
				continue
			}
		} else {
			pause = min(2*pause, maxWatchPause)
		}
		if !n.sleep(n.rng.jitter(pause)) {
			return nil
		}
	}
}

// readConfiguration reads or watches the key and adopts what it holds.
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
	if next.Version() == 0 {
		return next, nil
	}
	state, err := note.Decode(next.Value())
	if err != nil {
		_ = level.Error(n.logger).Log("event", "configuration-unreadable", "err", err)
		return last, err
	}
	n.adopt(ctx, state)
	n.inForce.Confirm(state.Revision, started)
	return next, nil
}

// adopt puts a state in force and tells the contacts.
func (n *Node) adopt(ctx context.Context, state *note.State) {
	if !n.inForce.Adopt(state) {
		return
	}
	_ = level.Info(n.logger).Log("event", "in-force", "revision", state.Revision)
	n.spread(ctx, control.Message{Kind: control.Gossip})
}

// followConfiguration settles the upstream's state after each change.
func (n *Node) followConfiguration() error {
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

// fetchFrom asks another node for its state.
func (n *Node) fetchFrom(ctx context.Context, host string) {
	member, ok := n.view.Snapshot().Member(host)
	if !ok {
		return
	}
	reply, err := n.peers.Request(ctx, member.Address, n.message(control.Fetch))
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
