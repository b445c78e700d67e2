package sidecar

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"github.com/banyancross/banyancross/http1"
	"github.com/banyancross/banyancross/platform"
)

const (
	// configurationPath is where a node hands its configuration to others.
	configurationPath = "/.banyancross/configuration"
	// watchSlot is the time between the new watches of two nodes. Whichever node
	// begins anew also hears what a silent watch has missed, and tells the
	// others; a third of the time in which a configuration must be in force
	// leaves room for a node that is down.
	watchSlot = 600 * time.Millisecond
	// minWatch is the least time that a watch is worth its call.
	minWatch = 300 * time.Millisecond
	// maxWatch is the longest round of all nodes, within the longest watch that
	// the platform takes.
	maxWatch = 25 * time.Second
	// storeRetry is the first pause after a failed call to the store, and
	// maxStoreRetry the longest.
	storeRetry    = 150 * time.Millisecond
	maxStoreRetry = time.Second
	// fetchTimeout bounds the fetch of a configuration from another node.
	fetchTimeout = 500 * time.Millisecond
	// maxConfiguration bounds a configuration, in bytes: the largest value of
	// the store.
	maxConfiguration = platform.MaxValue
)

// watchConfiguration follows the operators' configuration in the store.
func (s *Sidecar) watchConfiguration() error {
	var last platform.Entry
	pause, lost := storeRetry, false
	for s.tomb.Alive() {
		next, err := s.store.WatchFor(s.context(), platform.ConfigurationKey, last, s.watchWait())
		if err != nil {
			if !s.tomb.Alive() {
				return nil
			}
			if !lost {
				_ = level.Warn(s.logger).Log("event", "store-lost", "err", err)
			}
			lost = true
			if !s.sleep(s.jittered(pause)) {
				return nil
			}
			pause = min(2*pause, maxStoreRetry)
			continue
		}
		if lost {
			_ = level.Info(s.logger).Log("event", "store-regained")
		}
		pause, lost = storeRetry, false
		if next.Version() != last.Version() && len(next.Value()) > 0 {
			s.adopt(next.Value(), "store")
		}
		last = next
	}
	return nil
}

// watchWait is how long the next watch waits: until this node's slot in a round
// of all nodes. A change ends all watches at once, and without slots they would
// also begin anew at the same time ever after.
func (s *Sidecar) watchWait() time.Duration {
	self := s.settings.Load().Host()
	place, nodes := 0, 1
	for _, peer := range s.view.Peers() {
		if host := peer.Beacon().Host; host != self && !peer.Silent() {
			nodes++
			if host < self {
				place++
			}
		}
	}
	return untilSlot(s.clock.Now(), place, nodes)
}

// untilSlot returns the time until the slot of the node at a place among nodes.
// Clocks of hosts are close enough for slots of this length.
func untilSlot(now time.Time, place, nodes int) time.Duration {
	round := min(time.Duration(nodes)*watchSlot, maxWatch)
	due := round / time.Duration(nodes) * time.Duration(place)
	wait := (due - time.Duration(now.UnixNano())%round + round) % round
	if wait < minWatch {
		wait += round
	}
	return wait
}

// adopt puts a configuration in force, unless it is unreadable or older than
// the one that is.
func (s *Sidecar) adopt(data []byte, source string) {
	table, err := platform.DecodeConfiguration(data)
	if err != nil {
		_ = level.Error(s.logger).Log("event", "configuration-refused", "source", source, "err", err)
		return
	}
	s.mu.Lock()
	current := s.table.Load()
	newer := current == nil || table.Revision() > current.Revision()
	if newer {
		raw := bytes.Clone(data)
		s.raw.Store(&raw)
		s.table.Store(table)
	}
	s.mu.Unlock()
	if !newer {
		return
	}
	_ = level.Info(s.logger).Log("event", "configuration", "revision", table.Revision(), "source", source)
	s.announce()
}

// fetchConfigurations asks nodes that have a newer configuration for it.
func (s *Sidecar) fetchConfigurations() error {
	for {
		select {
		case <-s.tomb.Dying():
			return nil
		case peer := <-s.fetches:
			if table := s.table.Load(); table != nil && table.Revision() >= peer.Beacon().Revision {
				continue
			}
			ctx, cancel := context.WithTimeout(s.context(), fetchTimeout)
			response, err := s.hops.pool(peer.Beacon()).Do(ctx, &http1.Outgoing{
				Method: http.MethodGet, Target: configurationPath, Host: peer.Beacon().Calls, Header: http.Header{},
			})
			if err == nil {
				data, whole, _ := response.Body.Buffer(maxConfiguration)
				response.Finish()
				if whole && response.Status == http.StatusOK {
					s.adopt(data, peer.Beacon().Host)
				}
			} else {
				_ = level.Warn(s.logger).Log("event", "fetch-failed", "node", peer.Beacon().Host, "err", err)
			}
			cancel()
		}
	}
}
