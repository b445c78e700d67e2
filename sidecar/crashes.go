package sidecar

import (
	"bytes"
	"time"

	"github.com/go-kit/log/level"

	"github.com/banyancross/banyancross/codec"
	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/platform"
)

const (
	// crashesKey holds the fleet's crash counts, which outlive all nodes.
	crashesKey = entriesPrefix + "crashes"
	// crashWriteDelay is the pause between a crash and the write of its counts. Within it,
	// nodes tell each other what they counted, and one write holds the crashes of several.
	crashWriteDelay = 250 * time.Millisecond
)

// notifyCrashesChanged requests that the crash counts be stored.
func (s *Sidecar) notifyCrashesChanged() {
	select {
	case s.crashesChanged <- struct{}{}:
	default:
	}
}

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
	entry, err := s.store.Get(s.context(), crashesKey)
	if err != nil {
		return err
	}
	s.restoreCrashes(entry)
	snapshot := s.blocklist.Snapshot()
	value, err := codec.Marshal(snapshot)
	if err != nil {
		return err
	}
	if !bytes.Equal(value, entry.Value()) && len(entry.Value())+len(snapshot.Requests) > 0 {
		if err := s.store.Put(s.context(), crashesKey, value, entry.Version()); err != nil {
			return err
		}
		_ = level.Info(s.logger).Log("event", "crashes-stored", "requests", len(snapshot.Requests), "blocked", s.blocklist.BlockedRequests())
	}
	s.blocklist.Saved(snapshot)
	return nil
}

// restoreCrashes applies the stored crash counts.
func (s *Sidecar) restoreCrashes(entry platform.Entry) {
	if entry.Version() == 0 {
		return
	}
	snapshot, err := decodeCrashes(entry)
	if err != nil {
		_ = level.Warn(s.logger).Log("event", "entry-skipped", "key", crashesKey, "err", err)
		return
	}
	s.blocklist.Restore(s.clock.Now(), entry.Version(), snapshot)
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
