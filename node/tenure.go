package node

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/banyancross/banyancross/codec"

	"github.com/banyancross/banyancross/idempotency"
	"github.com/banyancross/banyancross/note"
	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/publishing"
)

const (
	tenureKeyPrefix = "banyancross/tenure/"
	// renewInterval is the mean time between two renewals of a tenure.
	renewInterval = idempotency.LeaseDuration / 3
	// renewPause is the mean pause after a renewal that failed.
	renewPause = 2 * time.Second
	// announcePause is the mean pause until an upstream is announced.
	announcePause = 100 * time.Millisecond
)

// keepTenure holds the tenure of this node's upstream.
func (n *Node) keepTenure() error {
	for {
		pause := renewPause
		switch {
		case n.gate.Records() == nil || n.inForce.State() == nil:
			pause = announcePause
		case n.renewTenure(n.context()):
			pause = renewInterval
		}
		if !n.sleep(n.rng.jitter(pause)) {
			return nil
		}
	}
}

// renewTenure extends the tenure by one span from now. The order matters: the
// time first, then the release notes, so that the horizon cannot reach into a
// placement that is published later.
func (n *Node) renewTenure(ctx context.Context) bool {
	records := n.gate.Records()
	if records == nil {
		return false
	}
	announcement := n.gate.Announcement()
	now := n.clock.Now()
	state, ok := n.readState(ctx)
	if !ok {
		return false
	}
	service, ok := state.Service(announcement.Service)
	if !ok {
		return false
	}
	next, ok := n.writeTenure(ctx, announcement.Upstream, func(t idempotency.Lease) idempotency.Lease {
		return t.Extend(n.incarnation, now)
	})
	if !ok {
		return false
	}
	records.SetLease(next, service.ShardMaps)
	return true
}

func (n *Node) readState(ctx context.Context) (*note.State, bool) {
	entry, err := n.store.Get(ctx, publishing.ConfigurationKey)
	if err != nil || entry.Version() == 0 {
		return nil, false
	}
	state, err := note.Decode(entry.Value())
	if err != nil {
		return nil, false
	}
	n.adopt(ctx, state)
	return state, true
}

// writeTenure changes the upstream's tenure by compare-and-swap. After a lost
// answer it reports failure, and the next renewal reads what holds.
func (n *Node) writeTenure(ctx context.Context, upstream string, change func(idempotency.Lease) idempotency.Lease) (idempotency.Lease, bool) {
	key := tenureKeyPrefix + upstream
	entry, err := n.store.Get(ctx, key)
	if err != nil {
		return idempotency.Lease{}, false
	}
	var tenure idempotency.Lease
	if entry.Version() != 0 {
		if err := codec.Unmarshal(entry.Value(), &tenure); err != nil {
			_ = level.Error(n.logger).Log("event", "tenure-unreadable", "key", key, "err", err)
			return tenure, false
		}
	}
	next := change(tenure)
	data, err := codec.Marshal(next)
	if err != nil {
		return tenure, false
	}
	err = n.store.Put(ctx, key, data, entry.Version())
	if err != nil && platform.KindOf(err) != platform.KindUnavailable {
		_ = level.Warn(n.logger).Log("event", "tenure-not-written", "key", key, "err", err)
	}
	return next, err == nil
}

// releaseTenure cuts the tenure short after the last key was accepted.
func (n *Node) releaseTenure(ctx context.Context) {
	records := n.gate.Records()
	if records == nil {
		return
	}
	accepted := records.Stop()
	n.writeTenure(ctx, n.gate.Announcement().Upstream, func(t idempotency.Lease) idempotency.Lease {
		if t.Incarnation != n.incarnation {
			return t
		}
		return t.Release(n.clock.Now(), accepted)
	})
}
