package sidecar

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"

	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/http1"
	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/route"
)

const (
	// storeSource is the source of a configuration that was read from the store.
	storeSource = "store"
	// configurationPath serves this node's configuration to other nodes.
	configurationPath = "/.banyancross/configuration"
	// maxWatchers is how many nodes watch the store for a new configuration;
	// the others learn of it from their beacons. Some watchers survive the loss
	// of a failure domain, and the store's load does not grow with the fleet. At
	// most as many others stand in for those that cannot reach the store, so that an
	// outage does not make all nodes poll it.
	maxWatchers = 8
	// watchRoleInterval is the pause between checks of whether this node should
	// watch the store.
	watchRoleInterval = 100 * time.Millisecond
	// watchSlot is the time between the starts of two nodes' watches. A node
	// that starts a watch also sees a change that an unresponsive watch has
	// missed, and tells the others. Less than a third of the 2 s within which a
	// configuration must be in force leaves time for a node that is down.
	watchSlot = 600 * time.Millisecond
	// minWatchWait is the shortest wait that is worth the call of a watch.
	minWatchWait = 300 * time.Millisecond
	// minStoreBackoff and maxStoreBackoff bound the exponential backoff after
	// failed calls to the store.
	minStoreBackoff = 150 * time.Millisecond
	maxStoreBackoff = time.Second
	// anySizePath is configurationPath without the size limit, for a node that
	// the store does not answer.
	anySizePath = configurationPath + "?whole"
	// maxPeerConfigurationBytes is the largest configuration that a node serves
	// to nodes that can read the store. A larger one would delay the calls on a
	// slow link when a whole fleet fetches it: at 10 Mbit/s, 64 KiB take 50 ms.
	maxPeerConfigurationBytes = 64 << 10
	// fetchTimeout bounds the fetch of a configuration from another node, and
	// anySizeFetchTimeout that of one of any size: the largest value of the
	// store takes about a second at 10 Mbit/s.
	fetchTimeout        = 500 * time.Millisecond
	anySizeFetchTimeout = 3 * time.Second
	// stalledFetchTimeout bounds the time without a byte of a fetch, so that another node
	// can be asked in place of one that was cut off. TCP sends a lost packet again
	// after 200 ms and, if that is lost too, after 400 ms more.
	stalledFetchTimeout = 600 * time.Millisecond
	// maxConfigurationBytes is the largest configuration: the largest value of
	// the store.
	maxConfigurationBytes = platform.MaxValueBytes
)

// watchOperators watches what the operators store, the configuration and evacuations,
// while this node is among the watchers.
func (s *Sidecar) watchOperators() error {
	var last platform.Operators
	backoff, watching := minStoreBackoff, false
	for s.tomb.Alive() {
		previous := watching
		if watching = s.shouldWatch(); watching != previous {
			s.logWatchRole(watching)
		}
		if !watching {
			if !s.sleep(watchRoleInterval) {
				return nil
			}
			continue
		}
		next, err := s.store.WatchOperators(s.context(), last, s.heldWait(s.watchWait()))
		if err != nil {
			if !s.tomb.Alive() {
				return nil
			}
			s.recordStoreResult(err)
			if !s.sleep(s.jittered(backoff)) {
				return nil
			}
			backoff = min(2*backoff, maxStoreBackoff)
			continue
		}
		backoff = minStoreBackoff
		s.recordStoreResult(nil)
		s.noteTimeline()
		// A node that knows the configuration must not send calls to where an
		// evacuation forbids it.
		s.applyEvacuation(next, last)
		if entry := next.Configuration(); entry.Position() != last.Configuration().Position() && len(entry.Value()) > 0 {
			s.applyConfiguration(entry.Value(), storeSource)
		}
		last = next
	}
	return nil
}

// recordStoreResult records whether the store answered, and sends a beacon when
// that changes: another node watches in place of one that cannot reach the
// store.
func (s *Sidecar) recordStoreResult(err error) {
	unreachable := err != nil
	if s.storeUnreachable.Swap(unreachable) == unreachable {
		return
	}
	if unreachable {
		_ = level.Warn(s.logger).Log("event", "store-lost", "err", err)
	} else {
		_ = level.Info(s.logger).Log("event", "store-regained")
	}
	s.notifyStateChanged()
}

// shouldWatch reports whether this node is among those that watch the store. A node
// that has lost all others watches it at once: nobody is left to tell it of a
// configuration. One that has heard from none yet waits for one first. In a new fleet,
// nodes that are still joining watch only if they are registered, since all know but a
// few others. After a restart, those count that are known from the store.
func (s *Sidecar) shouldWatch() bool {
	switch {
	case !s.joined():
		return s.lastJoined.Load() > 0 || s.remainingJoinWait() <= 0
	case !s.settled.Load() && s.settings.Load().FirstStart():
		return s.registered.Load()
	}
	return s.watchRank().Selected(maxWatchers)
}

// logWatchRole logs that this node begins or ceases to watch the store.
func (s *Sidecar) logWatchRole(watching bool) {
	r := s.watchRank()
	_ = level.Info(s.logger).Log("event", "watch-role", "watching", watching, "joined", s.view.HasLive(s.settings.Load().Host()),
		"live-before", r.LiveBefore, "connected-before", r.ConnectedBefore, "connected", r.Connected, "revision", s.Revision())
}

// watchRank returns this node's rank among those that may watch the store. Until it
// has joined, nodes count that it knows only from the store.
func (s *Sidecar) watchRank() fleet.Rank {
	return s.view.Rank(s.settings.Load().Host(), "", !s.settled.Load())
}

// watchWait returns how long the next watch waits: until this node's slot in a
// round of the watchers. A change ends all watches at once; without slots they
// would all restart at the same time from then on.
func (s *Sidecar) watchWait() time.Duration {
	r := s.watchRank()
	connected := min(r.Connected, maxWatchers)
	return untilSlot(s.clock.Now(), r.ConnectedBefore%connected, connected)
}

// untilSlot returns the time until the given slot of a round with one slot for
// each of the nodes. The hosts' clocks agree closely enough for slots of this
// length.
func untilSlot(now time.Time, slot, nodes int) time.Duration {
	round := time.Duration(nodes) * watchSlot
	offset := round / time.Duration(nodes) * time.Duration(slot)
	wait := (offset - time.Duration(now.UnixNano())%round + round) % round
	if wait < minWatchWait {
		wait += round
	}
	return wait
}

// applyConfiguration puts a configuration in force unless it is malformed or
// not newer than the one in force.
func (s *Sidecar) applyConfiguration(data []byte, source string) {
	table, err := platform.DecodeConfiguration(data)
	if err == nil {
		err = s.checkRegions(table)
	}
	if err != nil {
		_ = level.Error(s.logger).Log("event", "configuration-refused", "source", source, "err", err)
		return
	}
	s.mu.Lock()
	current := s.table.Load()
	newer := current == nil || table.Revision() > current.Revision()
	if newer {
		rawConfiguration := bytes.Clone(data)
		s.rawConfiguration.Store(&rawConfiguration)
		s.table.Store(table)
	}
	s.mu.Unlock()
	if !newer {
		return
	}
	_ = level.Info(s.logger).Log("event", "configuration", "revision", table.Revision(), "source", source)
	if source == storeSource {
		// The other nodes learn of the revision from those that watch the store.
		s.notifyStateChanged()
	}
}

// checkRegions returns an error if the configuration names a region that the settings,
// which have some, do not.
func (s *Sidecar) checkRegions(table *route.Table) error {
	conf := s.settings.Load()
	if len(conf.FailureDomains()) == 0 {
		return nil
	}
	for _, region := range table.Regions() {
		if !conf.HasRegion(region) {
			return eris.Errorf("the settings have no region %q", region)
		}
	}
	return nil
}

// fetchConfigurations fetches newer configurations from the nodes that have
// them.
func (s *Sidecar) fetchConfigurations() error {
	for {
		select {
		case <-s.tomb.Dying():
			return nil
		case peer := <-s.fetchRequests:
			s.fetchFrom(peer)
		}
	}
}

// fetchFrom fetches a node's newer configuration from that node, or from the
// store if it is large or the node does not answer, or at last from the node
// whatever its size.
func (s *Sidecar) fetchFrom(peer fleet.Peer) {
	outdated := func() bool {
		table := s.table.Load()
		return s.tomb.Alive() && (table == nil || table.Revision() < peer.Beacon().Revision)
	}
	if !outdated() {
		return
	}
	if err := s.fetch(peer, configurationPath, fetchTimeout); err != nil {
		_ = level.Info(s.logger).Log("event", "fetch-elsewhere", "node", peer.Beacon().Host, "err", err)
	}
	if !outdated() {
		return
	}
	entry, err := s.store.Get(s.context(), platform.ConfigurationKey)
	if err == nil && len(entry.Value()) > 0 {
		s.applyConfiguration(entry.Value(), storeSource)
	}
	if !outdated() {
		return
	}
	if err != nil {
		_ = level.Warn(s.logger).Log("event", "read-failed", "key", platform.ConfigurationKey, "err", err)
	}
	if err := s.fetch(peer, anySizePath, anySizeFetchTimeout); err != nil && s.tomb.Alive() {
		_ = level.Warn(s.logger).Log("event", "fetch-failed", "node", peer.Beacon().Host, "err", err)
	}
}

// fetch fetches a node's configuration and applies it.
func (s *Sidecar) fetch(peer fleet.Peer, path string, timeout time.Duration) error {
	data, err := s.get(peer, path, timeout, maxConfigurationBytes)
	if err != nil {
		return err
	}
	s.applyConfiguration(data, peer.Beacon().Host)
	return nil
}

// get fetches a document of at most limit bytes from a node, and gives up if it stalls.
func (s *Sidecar) get(peer fleet.Peer, target string, timeout time.Duration, limit int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(s.context(), timeout)
	defer cancel()
	stalled := time.AfterFunc(stalledFetchTimeout, cancel)
	defer stalled.Stop()
	b := peer.Beacon()
	response, err := s.sender.pool(b).Do(ctx, &http1.OutgoingRequest{
		Method: http.MethodGet, Target: target, Host: b.CallAddress, Header: http.Header{},
	})
	if err != nil {
		return nil, err
	}
	defer response.Release()
	data, err := io.ReadAll(io.LimitReader(progressReader{source: response.Body, stalled: stalled}, int64(limit)))
	switch {
	case err != nil:
		return nil, err
	case !response.Body.Complete() || response.Status != http.StatusOK:
		return nil, eris.Errorf("status %d, complete body: %t", response.Status, response.Body.Complete())
	}
	s.transfers.add(b.FailureDomain, transferDocuments, len(data))
	return data, nil
}

// progressReader restarts a timer with each part of a body.
type progressReader struct {
	source  io.Reader
	stalled *time.Timer
}

// Read implements io.Reader.
func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.stalled.Reset(stalledFetchTimeout)
	return n, err
}
