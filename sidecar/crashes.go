package sidecar

import (
	"bytes"
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/banyancross/banyancross/codec"
	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/quarantine"
)

const (
	// crashesKey holds the fleet's crash counts, which outlive all nodes.
	crashesKey = entriesPrefix + "crashes"
	// crashWriteDelay is the pause between a crash and the write of its counts, in which the
	// connections of all its runs break. Until the write, a kill of all nodes loses the crash.
	crashWriteDelay = 20 * time.Millisecond
	// trialWriteTimeout bounds the time that a slot of the upstream waits for the store.
	trialWriteTimeout = 250 * time.Millisecond
)

// notifyCrashesChanged requests that the crash counts be stored.
func (s *Sidecar) notifyCrashesChanged() { notify(s.crashesChanged) }

// storeCrashes writes changed crash counts to the store.
func (s *Sidecar) storeCrashes() error {
	for {
		select {
		case <-s.tomb.Dying():
			return nil
		case <-s.crashesChanged:
		}
		wait, failing := crashWriteDelay, false
		for backoff := minStoreBackoff; s.sleep(s.jittered(wait)); backoff = min(2*backoff, maxRenewalBackoff) {
			err := s.writeCrashes()
			if err == nil {
				break
			}
			if !failing && platform.KindOf(err) != platform.KindConflict {
				_ = level.Warn(s.logger).Log("event", "crashes-not-stored", "err", err)
				failing = true
			}
			wait = backoff
		}
	}
}

// writeCrashes adds the counts of this node to the stored ones.
func (s *Sidecar) writeCrashes() error {
	s.crashWrites.Lock()
	defer s.crashWrites.Unlock()
	entry, err := s.loadCrashes(s.context())
	if err != nil {
		return err
	}
	return s.putCrashes(s.context(), entry, s.blocklist.Snapshot())
}

// storeTrial stores a trial of a blocked request, and reports whether the request may run.
func (s *Sidecar) storeTrial(ctx context.Context, fingerprint uint64) bool {
	if !s.crashWrites.TryLock() {
		return false
	}
	defer s.crashWrites.Unlock()
	ctx, cancel := context.WithTimeout(ctx, trialWriteTimeout)
	defer cancel()
	entry, err := s.loadCrashes(ctx)
	if err != nil {
		return false
	}
	snapshot, due := s.blocklist.Trial(s.clock.Now(), fingerprint)
	if !due {
		return false
	}
	if err := s.putCrashes(ctx, entry, snapshot); err != nil {
		_ = level.Warn(s.logger).Log("event", "trial-not-stored", "fingerprint", FormatFingerprint(fingerprint), "err", err)
		return false
	}
	_ = level.Info(s.logger).Log("event", "trial", "fingerprint", FormatFingerprint(fingerprint))
	return true
}

// loadCrashes reads the stored crash counts and applies them.
func (s *Sidecar) loadCrashes(ctx context.Context) (platform.Entry, error) {
	entry, err := s.store.Get(ctx, crashesKey)
	if err == nil {
		s.restoreCrashes(entry)
	}
	return entry, err
}

// putCrashes stores a snapshot unless the entry that was read holds it, or another node has
// written since.
func (s *Sidecar) putCrashes(ctx context.Context, entry platform.Entry, snapshot quarantine.Snapshot) error {
	value, err := codec.Marshal(snapshot)
	if err != nil {
		return err
	}
	if !bytes.Equal(value, entry.Value()) && len(entry.Value())+len(snapshot.Requests) > 0 {
		if err := s.store.Put(ctx, crashesKey, value, entry); err != nil {
			return err
		}
		_ = level.Info(s.logger).Log("event", "crashes-stored", "requests", len(snapshot.Requests), "blocked", s.blocklist.BlockedRequests())
	}
	s.blocklist.Saved(s.clock.Now(), entry.Position().Timeline(), snapshot)
	return nil
}

// restoreCrashes applies the stored crash counts. If there are none that can be read, this
// node's are to be stored again.
func (s *Sidecar) restoreCrashes(entry platform.Entry) {
	if entry.Version() == 0 {
		s.blocklist.Unstored(entry.Position())
		return
	}
	snapshot, err := decodeCrashes(entry)
	if err != nil {
		_ = level.Warn(s.logger).Log("event", "entry-skipped", "key", crashesKey, "err", err)
		s.blocklist.Unstored(entry.Position())
		return
	}
	s.blocklist.Restore(s.clock.Now(), entry.Position(), snapshot)
}

// joinCrashes applies the crash counts that a roster holds, if its node knew them.
func (s *Sidecar) joinCrashes(b *fleet.Beacon) {
	if b.Crashes == nil {
		return
	}
	s.blocklist.Merge(s.clock.Now(), b.Host, b.Incarnation, b.Crashes.Requests)
	b.Crashes = nil
	s.crashesKnown.Store(true)
}
