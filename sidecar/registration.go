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
	// entriesPrefix begins the keys of the fleet in the store: nodesPrefix those
	// of the nodes, findingsPrefix those of what was found about the upstreams
	// of a service.
	entriesPrefix  = "banyancross/"
	nodesPrefix    = entriesPrefix + "nodes/"
	findingsPrefix = entriesPrefix + "findings/"
	// leaseDuration is how long the entry of a node outlives it, and
	// leaseRenewal how often it is renewed.
	leaseDuration = 30 * time.Second
	leaseRenewal  = 9 * time.Second
	// maxRenewalRetry is the longest pause after a failed renewal. The entry is
	// for nodes that start, which hear of this one from the others as well.
	maxRenewalRetry = 4 * time.Second
	// findingPause is how long a new finding waits to be kept. The nodes of a
	// service decide at nearly the same time, and comparisons go on.
	findingPause = time.Second
)

// finding is the entry of what was found about the upstreams of a service.
type finding struct {
	Crowding float64 `cbor:"1,keyasint"`
	Compared float64 `cbor:"2,keyasint"`
}

// register keeps this node's entry in the store and reads those of the others.
func (s *Sidecar) register() error {
	lease := s.resume()
	pause, failing := storeRetry, false
	for s.tomb.Alive() {
		err := s.renew(&lease)
		if err == nil {
			err = s.lookUp()
		}
		if err == nil {
			s.reached(nil)
		}
		wait := leaseRenewal
		switch {
		case err == nil && failing:
			_ = level.Info(s.logger).Log("event", "registered-again")
		case err != nil && !failing:
			_ = level.Warn(s.logger).Log("event", "registration-failed", "err", err)
		}
		failing = err != nil
		if failing {
			wait, pause = pause, min(2*pause, maxRenewalRetry)
		} else {
			pause = storeRetry
		}
		if !s.sleep(s.jittered(wait)) {
			return nil
		}
	}
	return nil
}

// resume returns the lease of the entry that an earlier process of this node has
// left, 0 when there is none. What it reads may be some seconds old, which is as
// good as up to date if the entry is there: nodes that have started since have
// found it.
func (s *Sidecar) resume() uint64 {
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
		s.succeed(b.Incarnation)
		s.introduce(entries)
		return entry.Lease()
	}
	return 0
}

// succeed makes this process later than an earlier one of the node, whatever the
// time of day was then.
func (s *Sidecar) succeed(earlier int64) {
	if s.incarnation.Load() <= earlier {
		s.incarnation.Store(earlier + 1)
	}
}

// renew renews the lease of the entry, or writes the entry under a new one.
func (s *Sidecar) renew(lease *uint64) error {
	ctx := s.context()
	if *lease != 0 {
		err := s.store.Keep(ctx, *lease)
		if platform.KindOf(err) != platform.KindLeaseEnded {
			return err
		}
		_ = level.Warn(s.logger).Log("event", "lease-ended", "lease", *lease)
		*lease = 0
	}
	granted, err := s.store.Grant(ctx, leaseDuration)
	if err != nil {
		return err
	}
	value, err := codec.Marshal(s.beacon())
	if err != nil {
		return err
	}
	if err := s.store.PutLeased(ctx, nodesPrefix+s.settings.Load().Host(), value, granted); err != nil {
		return err
	}
	*lease = granted
	return nil
}

// lookUp reads the entries of the fleet. Only the first reading must be up to
// date: whoever starts later finds this node's entry.
func (s *Sidecar) lookUp() error {
	entries, _, err := s.store.List(s.context(), entriesPrefix, s.viewed.Load())
	if err != nil {
		return err
	}
	s.introduce(entries)
	return nil
}

// introduce takes the entries of the fleet.
func (s *Sidecar) introduce(entries []platform.Entry) {
	now := s.clock.Now()
	for _, entry := range entries {
		if service, ok := strings.CutPrefix(entry.Key(), findingsPrefix); ok {
			s.recall(service, entry)
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
	if !s.viewed.Swap(true) {
		_ = level.Info(s.logger).Log("event", "fleet-read", "entries", len(entries))
	}
	s.announce()
}

// recall hands the gate what was found about the upstreams of a service.
func (s *Sidecar) recall(service string, entry platform.Entry) {
	var f finding
	if err := codec.Unmarshal(entry.Value(), &f); err != nil {
		_ = level.Warn(s.logger).Log("event", "entry-skipped", "key", entry.Key(), "err", err)
		return
	}
	s.gate.RestoreEstimate(service, egress.SaturationEstimate{Slowdown: f.Crowding, Samples: f.Compared})
}

// keepFindings writes to the store what the nodes of the service have found, so
// that it outlives all of them. One of them does.
func (s *Sidecar) keepFindings() error {
	for {
		select {
		case <-s.tomb.Dying():
			return nil
		case <-s.found:
		}
		if !s.sleep(findingPause) {
			return nil
		}
		service, found := s.gate.Estimate()
		if service == "" || found.Samples == 0 || !s.speaksFor(service) {
			continue
		}
		value, err := codec.Marshal(finding{Crowding: found.Slowdown, Compared: found.Samples})
		if err == nil {
			err = s.store.Set(s.context(), findingsPrefix+service, value)
		}
		if err != nil {
			// What is lost is found again.
			_ = level.Warn(s.logger).Log("event", "finding-lost", "service", service, "err", err)
			continue
		}
		_ = level.Info(s.logger).Log("event", "finding-kept", "service", service, "crowding", found.Slowdown, "compared", found.Samples)
	}
}

// speaksFor tells whether this node is the first of those that serve a service.
func (s *Sidecar) speaksFor(service string) bool {
	self := s.settings.Load().Host()
	for _, peer := range s.view.Serving(service) {
		if peer.Beacon().Host < self {
			return false
		}
	}
	return true
}
