package sidecar

import (
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/banyancross/banyancross/codec"
	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/platform"
)

const (
	// entriesPrefix is the prefix of the fleet's keys in the store, nodesPrefix
	// that of the nodes' entries, and estimatesPrefix that of the services'
	// saturation estimates.
	entriesPrefix   = "banyancross/"
	nodesPrefix     = entriesPrefix + "nodes/"
	estimatesPrefix = entriesPrefix + "findings/"
	// leaseDuration is how long a node's entry outlives the node, and
	// leaseRenewalInterval the pause between renewals.
	leaseDuration        = 30 * time.Second
	leaseRenewalInterval = 9 * time.Second
	// maxRenewalBackoff is the longest pause after a failed renewal. Only
	// starting nodes need the entry, and beacons reach them as well.
	maxRenewalBackoff = 4 * time.Second
	// estimateWriteDelay is the delay between a changed saturation estimate and
	// its write. The nodes of a service change theirs at nearly the same time,
	// and continue to add samples.
	estimateWriteDelay = time.Second
)

// storedEstimate is the stored saturation estimate of a service.
type storedEstimate struct {
	Slowdown float64 `cbor:"1,keyasint"`
	Samples  float64 `cbor:"2,keyasint"`
}

// register renews this node's entry in the store and reads those of the other
// nodes, periodically.
func (s *Sidecar) register() error {
	lease := s.resumeLease()
	backoff, failing := minStoreBackoff, false
	for s.tomb.Alive() {
		err := s.renewRegistration(&lease)
		if err == nil {
			err = s.readFleet()
		}
		if err == nil {
			s.recordStoreResult(nil)
		}
		wait := leaseRenewalInterval
		switch {
		case err == nil && failing:
			_ = level.Info(s.logger).Log("event", "registered-again")
		case err != nil && !failing:
			_ = level.Warn(s.logger).Log("event", "registration-failed", "err", err)
		}
		failing = err != nil
		if failing {
			wait, backoff = backoff, min(2*backoff, maxRenewalBackoff)
		} else {
			backoff = minStoreBackoff
		}
		if !s.sleep(s.jittered(wait)) {
			return nil
		}
	}
	return nil
}

// resumeLease returns the lease of the entry that an earlier process of this
// node has left, 0 if there is none. A stale read suffices: if it contains the
// entry, nodes that have started since have found the entry too.
func (s *Sidecar) resumeLease() uint64 {
	entries, _, err := s.store.List(s.context(), entriesPrefix, true)
	if err != nil {
		_ = level.Warn(s.logger).Log("event", "registration-failed", "err", err)
		return 0
	}
	conf := s.settings.Load()
	for _, entry := range entries {
		if entry.Key() != nodesPrefix+conf.Host() || entry.Lease() == 0 {
			continue
		}
		b, err := fleet.Decode(entry.Value())
		if err != nil || b.CallAddress != conf.AdvertisedNodeAddress() || b.GossipAddress != conf.GossipAddress() || b.FailureDomain != conf.FailureDomain() {
			return 0
		}
		s.raiseIncarnation(b.Incarnation)
		s.addEntries(entries)
		return entry.Lease()
	}
	return 0
}

// raiseIncarnation makes this process's incarnation higher than an earlier one,
// even if the clock was set back in between.
func (s *Sidecar) raiseIncarnation(earlier int64) {
	if s.incarnation.Load() <= earlier {
		s.incarnation.Store(earlier + 1)
	}
}

// renewRegistration renews the lease of this node's entry, or writes the entry
// with a new lease.
func (s *Sidecar) renewRegistration(lease *uint64) error {
	ctx := s.context()
	if *lease != 0 {
		err := s.store.RenewLease(ctx, *lease)
		if platform.KindOf(err) != platform.KindLeaseExpired {
			return err
		}
		_ = level.Warn(s.logger).Log("event", "lease-ended", "lease", *lease)
		*lease = 0
	}
	granted, err := s.store.GrantLease(ctx, leaseDuration)
	if err != nil {
		return err
	}
	value, err := codec.Marshal(s.beacon())
	if err != nil {
		return err
	}
	if err := s.store.PutWithLease(ctx, nodesPrefix+s.settings.Load().Host(), value, granted); err != nil {
		return err
	}
	*lease = granted
	return nil
}

// readFleet reads the fleet's entries. Only the first read must be up to date:
// nodes that start later find this node's entry.
func (s *Sidecar) readFleet() error {
	entries, _, err := s.store.List(s.context(), entriesPrefix, s.fleetRead.Load())
	if err != nil {
		return err
	}
	s.addEntries(entries)
	return nil
}

// addEntries adds the nodes and saturation estimates in the fleet's entries.
func (s *Sidecar) addEntries(entries []platform.Entry) {
	now := s.clock.Now()
	for _, entry := range entries {
		if service, ok := strings.CutPrefix(entry.Key(), estimatesPrefix); ok {
			s.loadEstimate(service, entry)
			continue
		}
		b, err := fleet.Decode(entry.Value())
		if err != nil {
			_ = level.Warn(s.logger).Log("event", "entry-skipped", "key", entry.Key(), "err", err)
			continue
		}
		if b.Host != s.settings.Load().Host() {
			s.view.AddFromStore(now, b)
		}
	}
	if !s.fleetRead.Swap(true) {
		_ = level.Info(s.logger).Log("event", "fleet-read", "entries", len(entries))
	}
	s.notifyStateChanged()
}

// loadEstimate passes the stored saturation estimate of a service to the gate.
func (s *Sidecar) loadEstimate(service string, entry platform.Entry) {
	var stored storedEstimate
	if err := codec.Unmarshal(entry.Value(), &stored); err != nil {
		_ = level.Warn(s.logger).Log("event", "entry-skipped", "key", entry.Key(), "err", err)
		return
	}
	s.gate.RestoreEstimate(service, egress.SaturationEstimate{Slowdown: stored.Slowdown, Samples: stored.Samples})
}

// storeEstimates writes changed saturation estimates of this node's service to
// the store, so that they outlive all nodes. Only the service's leader writes.
func (s *Sidecar) storeEstimates() error {
	for {
		select {
		case <-s.tomb.Dying():
			return nil
		case <-s.estimateChanged:
		}
		if !s.sleep(estimateWriteDelay) {
			return nil
		}
		service, estimate := s.gate.Estimate()
		if service == "" || estimate.Samples == 0 || !s.leads(service) {
			continue
		}
		value, err := codec.Marshal(storedEstimate{Slowdown: estimate.Slowdown, Samples: estimate.Samples})
		if err == nil {
			err = s.store.Set(s.context(), estimatesPrefix+service, value)
		}
		if err != nil {
			// Later runs yield the estimate again.
			_ = level.Warn(s.logger).Log("event", "finding-lost", "service", service, "err", err)
			continue
		}
		_ = level.Info(s.logger).Log("event", "finding-kept", "service", service, "crowding", estimate.Slowdown, "compared", estimate.Samples)
	}
}

// leads reports whether this node is the leader of a service: the first by name
// of those that serve it.
func (s *Sidecar) leads(service string) bool {
	self := s.settings.Load().Host()
	for _, peer := range s.view.Serving(service) {
		if peer.Beacon().Host < self {
			return false
		}
	}
	return true
}
