package sidecar

import (
	"math"
	"strings"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"

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
	// maxRenewalBackoff is the longest pause after a failed call of the store, so
	// that entries are back soon after an outage.
	maxRenewalBackoff = 2 * time.Second
	// listInterval is the pause between reads of the fleet's entries by a node that is
	// no anchor. The entries reunite parts of the fleet that have lost each other.
	listInterval = 30 * time.Second
	// anchorCheckInterval is the pause between checks whether this node has to become
	// an anchor.
	anchorCheckInterval = 250 * time.Millisecond
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

// valid reports whether the estimate can be averaged with others; NaN and infinite
// values cannot.
func (e storedEstimate) valid() bool {
	return e.Slowdown >= 0 && e.Slowdown <= math.MaxFloat32 && e.Samples >= 0 && e.Samples <= math.MaxFloat32
}

// register keeps this node's entry in the store while it is an anchor, and reads
// those of the others: often until another node is heard, and then periodically.
func (s *Sidecar) register() error {
	var lease platform.Lease
	backoff, failing := minStoreBackoff, false
	if s.settings.Load().FirstStart() && !s.sleep(min(s.jittered(firstListDelay), s.remainingJoinWait())) {
		return nil
	}
	for s.tomb.Alive() {
		latest := s.latestTimeline()
		wait, err := s.updateRegistration(&lease)
		if err == nil {
			s.recordStoreResult(nil)
		}
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
		if !s.pauseRegistration(s.jittered(wait), latest, failing) {
			return nil
		}
		if s.latestTimeline() > latest {
			// The store is back, and may reject calls for a moment.
			backoff = minStoreBackoff
		}
	}
	return nil
}

// updateRegistration reads the fleet's entries and renews or writes this node's own
// if it is an anchor. It returns the pause until the next update.
func (s *Sidecar) updateRegistration(lease *platform.Lease) (time.Duration, error) {
	// A restarted node must not miss the crashes of the last seconds.
	stale := s.settings.Load().FirstStart() || s.crashesKnown.Load()
	if s.entriesTimeline != 0 && s.entriesTimeline < s.latestTimeline() {
		// A stale read may be one from before the store was restored.
		stale = false
	}
	if err := s.readFleet(lease, stale); err != nil {
		return 0, err
	}
	if !s.joined() {
		return s.registerAlone(lease)
	}
	if !s.isAnchor() {
		s.registered.Store(false)
		return listInterval, nil
	}
	return leaseRenewalInterval, s.renewRegistration(lease)
}

// registerAlone registers this node once it has waited for others to be heard. An
// up-to-date list of entries first shows whether another one has registered
// meanwhile.
func (s *Sidecar) registerAlone(lease *platform.Lease) (time.Duration, error) {
	pause := min(max(s.clock.Now().Sub(s.started)/2, minListInterval), maxListInterval)
	if remaining := s.remainingJoinWait(); remaining > 0 {
		return min(pause, remaining), nil
	}
	if lease.Number() == 0 {
		known := s.view.Len()
		if err := s.readFleet(lease, false); err != nil {
			return 0, err
		}
		if s.view.Len() > known {
			return pause, nil
		}
	}
	return pause, s.renewRegistration(lease)
}

// isAnchor reports whether this node is one of those of its failure domain that
// register. While it joins, it stays what it is.
func (s *Sidecar) isAnchor() bool {
	if !s.settled.Load() {
		return s.registered.Load()
	}
	conf := s.settings.Load()
	return fleet.IsAnchor(s.view.Rank(conf.Host(), conf.FailureDomain(), false))
}

// mustRegister reports whether this node is an anchor, or has waited in vain for
// others.
func (s *Sidecar) mustRegister() bool {
	if s.joined() {
		return s.isAnchor()
	}
	return s.remainingJoinWait() <= 0
}

// pauseRegistration waits, but not longer than it takes until this node has to register,
// which it has to again if the store was restored after the latest timeline that was known
// before, and reports whether the node is still running. After a failure it waits on, unless the
// store is restored meanwhile.
func (s *Sidecar) pauseRegistration(wait time.Duration, latest uint64, failed bool) bool {
	for wait > 0 {
		step := min(wait, anchorCheckInterval)
		if !s.sleep(step) {
			return false
		}
		wait -= step
		restored := latest != 0 && s.latestTimeline() > latest
		if (restored || !failed && !s.registered.Load()) && s.mustRegister() {
			return true
		}
	}
	return true
}

// readFleet reads the fleet's entries. It resumes the lease of the entry that an
// earlier process of this node has left. A stale read may be seconds old.
func (s *Sidecar) readFleet(lease *platform.Lease, stale bool) error {
	entries, _, err := s.store.List(s.context(), entriesPrefix, stale)
	if err != nil {
		return err
	}
	if lease.Number() == 0 {
		*lease = s.earlierLease(entries)
	}
	s.entriesTimeline = s.store.Timeline()
	s.addEntries(entries)
	s.crashesKnown.Store(true)
	if s.blocklist.Unsaved(s.clock.Now()) {
		s.notifyCrashesChanged()
	}
	return nil
}

// earlierLease returns the lease of the entry that an earlier process of this node
// has left, the zero Lease if there is none.
func (s *Sidecar) earlierLease(entries []platform.Entry) platform.Lease {
	conf := s.settings.Load()
	for _, entry := range entries {
		if entry.Key() != nodesPrefix+conf.Host() || entry.Lease() == 0 {
			continue
		}
		b, err := fleet.Decode(entry.Value())
		if err != nil || b.CallAddress != conf.AdvertisedNodeAddress() || b.GossipAddress != conf.GossipAddress() || b.FailureDomain != conf.FailureDomain() {
			return platform.Lease{}
		}
		s.raiseIncarnation(b.Incarnation)
		return entry.HeldBy()
	}
	return platform.Lease{}
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
func (s *Sidecar) renewRegistration(lease *platform.Lease) error {
	ctx := s.context()
	if lease.Number() != 0 {
		err := s.store.RenewLease(ctx, *lease)
		if platform.KindOf(err) != platform.KindLeaseExpired {
			s.registered.Store(err == nil)
			return err
		}
		_ = level.Warn(s.logger).Log("event", "lease-ended", "lease", lease.Number(), "err", err)
		*lease, s.unconfirmedLease = platform.Lease{}, platform.Lease{}
	}
	// A write without an answer may take effect after the next one, which must therefore
	// have the same lease.
	if s.unconfirmedLease.Number() == 0 {
		granted, err := s.store.GrantLease(ctx, leaseDuration)
		if err != nil {
			return err
		}
		s.unconfirmedLease = granted
	}
	entry := s.beacon()
	// The store has the evacuations and crash counts themselves.
	entry.EvacuationTimeline, entry.EvacuationRevision, entry.Evacuated = 0, 0, nil
	entry.Blocklist = nil
	value, err := codec.Marshal(entry)
	if err != nil {
		return err
	}
	if err := s.store.PutWithLease(ctx, nodesPrefix+s.settings.Load().Host(), value, s.unconfirmedLease); err != nil {
		if platform.KindOf(err) == platform.KindLeaseExpired {
			s.unconfirmedLease = platform.Lease{}
		}
		return err
	}
	*lease, s.unconfirmedLease = s.unconfirmedLease, platform.Lease{}
	s.registered.Store(true)
	return nil
}

// addEntries adds the nodes, saturation estimates and crash counts in the fleet's entries, and
// greets the nodes that are new.
func (s *Sidecar) addEntries(entries []platform.Entry) {
	now, added := s.clock.Now(), false
	crashes := platform.NewAbsentEntry(crashesKey, s.store.Timeline())
	for _, entry := range entries {
		if service, ok := strings.CutPrefix(entry.Key(), estimatesPrefix); ok {
			s.loadEstimate(service, entry)
			continue
		}
		if entry.Key() == crashesKey {
			crashes = entry
			continue
		}
		b, err := fleet.Decode(entry.Value())
		if err == nil && entry.Key() != nodesPrefix+b.Host {
			err = eris.Errorf("the entry is that of %q", b.Host)
		}
		if err != nil {
			_ = level.Warn(s.logger).Log("event", "entry-skipped", "key", entry.Key(), "err", err)
			continue
		}
		if b.Host != s.settings.Load().Host() && s.view.AddFromStore(now, b) {
			added = true
		}
	}
	s.restoreCrashes(crashes)
	if added {
		s.extendJoinWait()
		s.notifyStateChanged()
	}
	if !s.fleetRead.Swap(true) {
		_ = level.Info(s.logger).Log("event", "fleet-read", "entries", len(entries))
		if !added && !s.settings.Load().FirstStart() {
			s.joinWait.Store(0)
		}
	}
}

// loadEstimate passes the stored saturation estimate of a service to the gate.
func (s *Sidecar) loadEstimate(service string, entry platform.Entry) {
	var stored storedEstimate
	err := codec.Unmarshal(entry.Value(), &stored)
	if err == nil && !stored.valid() {
		err = eris.Errorf("slowdown %v of %v samples is out of range", stored.Slowdown, stored.Samples)
	}
	if err != nil {
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
