package sidecar

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/banyancross/banyancross/codec"
	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/platform"
)

const (
	// nodesPrefix begins the keys of the nodes' entries in the store.
	nodesPrefix = "banyancross/nodes/"
	// leaseDuration is how long the entry of a node outlives it, and
	// leaseRenewal how often it is renewed.
	leaseDuration = 30 * time.Second
	leaseRenewal  = 9 * time.Second
)

// register keeps this node's entry in the store and reads those of the others.
func (s *Sidecar) register() error {
	lease := uint64(0)
	pause, failing := storeRetry, false
	for s.tomb.Alive() {
		err := s.renew(&lease)
		if err == nil {
			err = s.lookUp()
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
			wait, pause = pause, min(2*pause, maxStoreRetry)
		} else {
			pause = storeRetry
		}
		if !s.sleep(s.jittered(wait)) {
			return nil
		}
	}
	return nil
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

// lookUp reads the entries of the other nodes. Only the first reading must be
// up to date: whoever starts later finds this node's entry.
func (s *Sidecar) lookUp() error {
	entries, _, err := s.store.List(s.context(), nodesPrefix, s.viewed.Load())
	if err != nil {
		return err
	}
	now := s.clock.Now()
	for _, entry := range entries {
		b, err := fleet.Decode(entry.Value())
		if err != nil {
			_ = level.Warn(s.logger).Log("event", "entry-skipped", "key", entry.Key(), "err", err)
			continue
		}
		if b.Host != s.settings.Load().Host() {
			s.view.Introduce(now, b)
		}
	}
	if !s.viewed.Swap(true) {
		_ = level.Info(s.logger).Log("event", "fleet-read", "nodes", len(entries))
	}
	s.announce()
	return nil
}
