package sidecar

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/banyancross/banyancross/evacuation"
	"github.com/banyancross/banyancross/fleet"
)

// maxHeldWait bounds a watch while evacuations are held, which ends without a change of the
// store.
const maxHeldWait = time.Second

// maxTimelineLead is how many restores another node may have seen since the store answered this
// one.
const maxTimelineLead = 100

// crashRestoreSpread is the time after a restore of the store within which the nodes compare
// their crash counts with the stored ones, each at its own time. Anchors do so at once.
const crashRestoreSpread = 2 * time.Second

// followTimelines notes the timelines of the store, and has the crash counts stored again after
// each restore.
func (s *Sidecar) followTimelines() error {
	for {
		next := s.store.NextTimeline()
		s.noteTimeline()
		select {
		case <-s.tomb.Dying():
			return nil
		case <-next:
		case <-s.storeRestored:
			if len(s.blocklist.Records()) == 0 {
				continue
			}
			if !s.sleep(time.Duration(s.uniform() * float64(crashRestoreSpread))) {
				return nil
			}
			s.notifyCrashesChanged()
		}
	}
}

// noteTimeline notes the latest timeline of the store, in which this node or another one has
// had an answer. If the store was restored, anchors notice it and register again.
func (s *Sidecar) noteTimeline() {
	latest := s.latestTimeline()
	s.mu.Lock()
	previous := s.timeline
	if latest > previous {
		s.timeline = latest
		if previous != 0 {
			s.evacuationHold = evacuation.NewHold(s.clock.Now())
		}
	}
	s.mu.Unlock()
	if latest <= previous || previous == 0 {
		return
	}
	_ = level.Warn(s.logger).Log("event", "store-restored", "timeline", latest, "previous", previous, "revision", s.Revision())
	s.notifyEstimateChanged()
	notify(s.storeRestored)
	if s.announcedTimeline.Load() < latest {
		// The others may not know yet.
		s.notifyStateChanged()
	}
}

// noteAnnouncedTimeline notes the timeline in a beacon. One far beyond those that the store
// has named to this node is not credible.
func (s *Sidecar) noteAnnouncedTimeline(b fleet.Beacon) {
	if b.StoreTimeline <= s.announcedTimeline.Load() {
		return
	}
	if own := s.store.Timeline(); own == 0 || b.StoreTimeline > own+maxTimelineLead {
		return
	}
	// Only the receiving loop writes it.
	s.announcedTimeline.Store(b.StoreTimeline)
	s.noteTimeline()
}

// latestTimeline returns the latest timeline that the store has named to this node, or since
// then to another one, 0 if it has not named any to this node.
func (s *Sidecar) latestTimeline() uint64 {
	return max(s.store.Timeline(), s.announcedTimeline.Load())
}

// heldWait returns the wait of a watch, a shorter one while evacuations are held.
func (s *Sidecar) heldWait(wait time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evacuationHold.Active(s.clock.Now()) {
		return min(wait, maxHeldWait)
	}
	return wait
}
