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
	// watchPerNode spreads the watches of all nodes over time: whenever one
	// begins anew, it also reads what a connection gone silent has missed.
	watchPerNode = 600 * time.Millisecond
	minWatch     = 5 * time.Second
	maxWatch     = 25 * time.Second
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

// watchWait is how long one watch waits.
func (s *Sidecar) watchWait() time.Duration {
	nodes := time.Duration(len(s.view.Peers()) + 1)
	return s.jittered(min(max(nodes*watchPerNode, minWatch), maxWatch))
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
