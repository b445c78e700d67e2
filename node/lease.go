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
	// leaseKeyPrefix is the platform key prefix of leases, which stored data and log
	// events call tenures.
	leaseKeyPrefix = "banyancross/tenure/"
	// renewInterval is the mean time between two renewals of a lease.
	renewInterval = idempotency.LeaseDuration / 3
	// renewRetryInterval is the mean delay after a failed renewal.
	renewRetryInterval = 2 * time.Second
	// announcementCheckInterval is the mean time between two checks whether an
	// upstream has announced itself.
	announcementCheckInterval = 100 * time.Millisecond
)

// renewLeasePeriodically acquires and renews the idempotency lease of this node's
// upstream.
func (n *Node) renewLeasePeriodically() error {
	for {
		pause := renewRetryInterval
		switch {
		case n.gate.Records() == nil || n.inForce.State() == nil:
			pause = announcementCheckInterval
		case n.renewLease(n.context()):
			pause = renewInterval
		}
		if !n.sleep(n.rng.jitter(pause)) {
			return nil
		}
	}
}

// renewLease extends the lease to idempotency.LeaseDuration from now. It reads
// the time before the release notes, so that the lease expires before any shard
// map that is published later applies.
func (n *Node) renewLease(ctx context.Context) bool {
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
	next, ok := n.updateLease(ctx, announcement.Upstream, func(lease idempotency.Lease) idempotency.Lease {
		return lease.Extend(n.incarnation, now)
	})
	if !ok {
		return false
	}
	records.SetLease(next, service.ShardMaps)
	return true
}

// readState reads the release notes from the platform and adopts them.
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

// updateLease changes the upstream's lease by compare-and-swap and reports
// whether the write was confirmed. A write whose response was lost counts as
// failed; the next renewal reads the stored lease.
func (n *Node) updateLease(ctx context.Context, upstream string, change func(idempotency.Lease) idempotency.Lease) (idempotency.Lease, bool) {
	key := leaseKeyPrefix + upstream
	entry, err := n.store.Get(ctx, key)
	if err != nil {
		return idempotency.Lease{}, false
	}
	var lease idempotency.Lease
	if entry.Version() != 0 {
		if err := codec.Unmarshal(entry.Value(), &lease); err != nil {
			_ = level.Error(n.logger).Log("event", "tenure-unreadable", "key", key, "err", err)
			return lease, false
		}
	}
	next := change(lease)
	data, err := codec.Marshal(next)
	if err != nil {
		return lease, false
	}
	err = n.store.Put(ctx, key, data, entry)
	if err != nil && platform.KindOf(err) != platform.KindUnavailable {
		_ = level.Warn(n.logger).Log("event", "tenure-not-written", "key", key, "err", err)
	}
	return next, err == nil
}

// releaseLease stops accepting new keys and shortens the lease to expire after the
// last accepted one, so that a successor need not wait for the full lease.
func (n *Node) releaseLease(ctx context.Context) {
	records := n.gate.Records()
	if records == nil {
		return
	}
	lastClaimed := records.Stop()
	n.updateLease(ctx, n.gate.Announcement().Upstream, func(lease idempotency.Lease) idempotency.Lease {
		if lease.Incarnation != n.incarnation {
			return lease
		}
		return lease.Release(n.clock.Now(), lastClaimed)
	})
}
