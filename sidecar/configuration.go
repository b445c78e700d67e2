package sidecar

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"

	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/http1"
	"github.com/banyancross/banyancross/platform"
)

const (
	// configurationPath is where a node hands its configuration to others.
	configurationPath = "/.banyancross/configuration"
	// watchers is how many nodes watch the store for a new configuration; the
	// others hear of it from them. The loss of a failure domain leaves some, and
	// the calls to the store do not grow with the fleet.
	watchers = 8
	// substitutes is how many more watch at most in place of those that have lost
	// the store, so that an outage does not make all nodes ask for its end.
	substitutes = watchers
	// takeover is how long a new node asks the store itself, and waits for those
	// that it has only read of: less than half of the time in which a
	// configuration must be in force.
	takeover = time.Second
	// roleCheck is the pause between looks at whether this node should watch.
	roleCheck = 100 * time.Millisecond
	// watchSlot is the time between the new watches of two nodes. Whichever node
	// begins anew also hears what a silent watch has missed, and tells the
	// others; a third of the time in which a configuration must be in force
	// leaves room for a node that is down.
	watchSlot = 600 * time.Millisecond
	// minWatch is the least time that a watch is worth its call.
	minWatch = 300 * time.Millisecond
	// storeRetry is the first pause after a failed call to the store, and
	// maxStoreRetry the longest.
	storeRetry    = 150 * time.Millisecond
	maxStoreRetry = time.Second
	// wholePath is the same for a node that the store does not answer.
	wholePath = configurationPath + "?whole"
	// handedOver is the largest configuration that a node hands to others that
	// can read the store, in bytes. A larger one would hold up the calls on a slow
	// link when a whole fleet asks for it: at 10 Mbit/s this much takes 50 ms.
	handedOver = 64 << 10
	// fetchTimeout bounds the fetch of a configuration from another node, and
	// wholeTimeout that of one of any size: the largest value of the store takes
	// about a second at 10 Mbit/s.
	fetchTimeout = 500 * time.Millisecond
	wholeTimeout = 3 * time.Second
	// maxConfiguration bounds a configuration, in bytes: the largest value of
	// the store.
	maxConfiguration = platform.MaxValueBytes
)

// watchConfiguration reads the operators' configuration from the store, so that
// a node that starts is ready soon, and follows it while this node is among those
// that watch.
func (s *Sidecar) watchConfiguration() error {
	var last platform.Entry
	pause, read := storeRetry, false
	for s.tomb.Alive() {
		if (read || !s.young()) && !s.watches() {
			if !s.sleep(roleCheck) {
				return nil
			}
			continue
		}
		next, err := s.store.WatchFor(s.context(), platform.ConfigurationKey, last, s.watchWait())
		if err != nil {
			if !s.tomb.Alive() {
				return nil
			}
			s.reached(err)
			if !s.sleep(s.jittered(pause)) {
				return nil
			}
			pause = min(2*pause, maxStoreRetry)
			continue
		}
		pause, read = storeRetry, true
		s.reached(nil)
		if next.Version() != last.Version() && len(next.Value()) > 0 {
			s.adopt(next.Value(), "store")
		}
		last = next
	}
	return nil
}

// reached records whether the store answered, and tells the others when that has
// changed: another one watches in place of a node that has lost it.
func (s *Sidecar) reached(err error) {
	lost := err != nil
	if s.storeLost.Swap(lost) == lost {
		return
	}
	if lost {
		_ = level.Warn(s.logger).Log("event", "store-lost", "err", err)
	} else {
		_ = level.Info(s.logger).Log("event", "store-regained")
	}
	s.announce()
}

// young tells that the node has just started.
func (s *Sidecar) young() bool { return s.clock.Now().Sub(s.started) < takeover }

// watches tells whether this node should watch the store.
func (s *Sidecar) watches() bool {
	p := s.place()
	return p.able < watchers && p.live < watchers+substitutes
}

// places are how many nodes come before this one.
type places struct {
	// live counts those that live, able those of them that the store answers,
	// and nodes all that it answers, with this one.
	live, able, nodes int
}

// place returns this node's place, in an order that has nothing to do with where
// nodes are.
func (s *Sidecar) place() places {
	self := s.settings.Load().Host()
	own := xxhash.Sum64String(self)
	young := s.young()
	p := places{nodes: 1}
	for _, peer := range s.view.Peers() {
		b := peer.Beacon()
		if b.Host == self || b.Stopping || (peer.Silent() && !young) {
			continue
		}
		other := xxhash.Sum64String(b.Host)
		before := other < own || (other == own && b.Host < self)
		if before {
			p.live++
		}
		if b.StoreLost {
			continue
		}
		p.nodes++
		if before {
			p.able++
		}
	}
	return p
}

// watchWait is how long the next watch waits: until this node's slot in a round
// of those that watch. A change ends all watches at once, and without slots they
// would also begin anew at the same time ever after.
func (s *Sidecar) watchWait() time.Duration {
	p := s.place()
	nodes := min(p.nodes, watchers)
	return untilSlot(s.clock.Now(), p.able%nodes, nodes)
}

// untilSlot returns the time until the slot of the node at a place among nodes.
// Clocks of hosts are close enough for slots of this length.
func untilSlot(now time.Time, place, nodes int) time.Duration {
	round := time.Duration(nodes) * watchSlot
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

// fetchConfigurations gets newer configurations that other nodes have.
func (s *Sidecar) fetchConfigurations() error {
	for {
		select {
		case <-s.tomb.Dying():
			return nil
		case peer := <-s.fetches:
			s.catchUp(peer)
		}
	}
}

// catchUp gets the configuration that a node has from there, or from the store
// when it is large or the node does not answer.
func (s *Sidecar) catchUp(peer fleet.Peer) {
	behind := func() bool {
		table := s.table.Load()
		return s.tomb.Alive() && (table == nil || table.Revision() < peer.Beacon().Revision)
	}
	if !behind() {
		return
	}
	if err := s.fetch(peer, configurationPath, fetchTimeout); err != nil {
		_ = level.Info(s.logger).Log("event", "fetch-elsewhere", "node", peer.Beacon().Host, "err", err)
	}
	if !behind() {
		return
	}
	entry, err := s.store.Get(s.context(), platform.ConfigurationKey)
	if err == nil && len(entry.Value()) > 0 {
		s.adopt(entry.Value(), "store")
	}
	if !behind() {
		return
	}
	if err != nil {
		_ = level.Warn(s.logger).Log("event", "read-failed", "key", platform.ConfigurationKey, "err", err)
	}
	if err := s.fetch(peer, wholePath, wholeTimeout); err != nil && s.tomb.Alive() {
		_ = level.Warn(s.logger).Log("event", "fetch-failed", "node", peer.Beacon().Host, "err", err)
	}
}

// fetch asks a node for its configuration.
func (s *Sidecar) fetch(peer fleet.Peer, path string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(s.context(), timeout)
	defer cancel()
	response, err := s.hops.pool(peer.Beacon()).Do(ctx, &http1.Outgoing{
		Method: http.MethodGet, Target: path, Host: peer.Beacon().Calls, Header: http.Header{},
	})
	if err != nil {
		return err
	}
	defer response.Finish()
	data, whole, err := response.Body.Buffer(maxConfiguration)
	switch {
	case err != nil:
		return err
	case !whole || response.Status != http.StatusOK:
		return eris.Errorf("status %d, whole %t", response.Status, whole)
	}
	s.adopt(data, peer.Beacon().Host)
	return nil
}
