package sidecar

import (
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/http1"
)

const (
	// rosterPath serves the beacons of the nodes that this node knows; the query is
	// the name of the node that asks.
	rosterPath = "/.banyancross/roster"
	// rosterTimeout bounds the fetch of a roster.
	rosterTimeout = time.Second
	// maxRosterBytes bounds a roster: several thousand nodes.
	maxRosterBytes = 1 << 20
	// joinTimeout is how long a node that has read the entries of others waits for
	// one of them before it depends on the store alone.
	joinTimeout = time.Second
	// isolationWait is how long a node that has lost all others waits for one of them
	// before it registers. Its network is cut, or theirs, mostly for a few seconds.
	isolationWait = 4 * time.Second
	// joinPollInterval is the pause between checks whether another node was heard.
	joinPollInterval = 50 * time.Millisecond
	// localRosterWait is how long a node waits for one of its own failure domain,
	// whose roster costs nothing, when it has heard others.
	localRosterWait = 60 * time.Millisecond
	// rosterFetches is the number of times that a node fetches a roster while it
	// joins, and rosterRefreshDelay the time between them. Nodes that join at the same
	// time may be missing in the first.
	rosterFetches      = 2
	rosterRefreshDelay = 1500 * time.Millisecond
	// firstListDelay is when the nodes of a new fleet first read the entries. Until then
	// few have registered.
	firstListDelay = time.Second
	// minListInterval and maxListInterval bound the pause between reads of the fleet's
	// entries while this node has heard from no other.
	minListInterval = 400 * time.Millisecond
	maxListInterval = time.Second
)

// joined reports whether this node hears from another one.
func (s *Sidecar) joined() bool {
	if !s.view.HasLive(s.settings.Load().Host()) {
		return false
	}
	s.lastJoined.Store(int64(s.clock.Now().Sub(s.started)))
	return true
}

// initialJoinWait returns how long this node waits to hear another one before the
// fleet's entries were read.
func (s *Sidecar) initialJoinWait(firstStart bool) time.Duration {
	if firstStart {
		return fleet.RegistrationDelay(s.uniform())
	}
	return joinTimeout
}

// extendJoinWait gives the nodes that were just found time to answer.
func (s *Sidecar) extendJoinWait() {
	s.joinWait.Store(max(s.joinWait.Load(), int64(s.clock.Now().Sub(s.started)+joinTimeout)))
}

// remainingJoinWait returns how long this node still waits to hear another one.
func (s *Sidecar) remainingJoinWait() time.Duration {
	elapsed := s.clock.Now().Sub(s.started)
	if last := time.Duration(s.lastJoined.Load()); last > 0 {
		return last + isolationWait - elapsed
	}
	return time.Duration(s.joinWait.Load()) - elapsed
}

// join fetches the roster from a node as soon as one is heard, and once more after
// a while; then the view is complete enough to rank the nodes.
func (s *Sidecar) join() error {
	fetched := ""
	for fetch := 1; fetch <= rosterFetches; fetch++ {
		for !s.joined() {
			if !s.sleep(joinPollInterval) {
				return nil
			}
		}
		if !s.sleep(localRosterWait) {
			return nil
		}
		if peer, ok := s.rosterSource(fetched); ok {
			fetched = peer.Beacon().Host
			if err := s.fetchRoster(peer); err != nil && s.tomb.Alive() {
				_ = level.Warn(s.logger).Log("event", "roster-failed", "node", fetched, "err", err)
			}
		}
		if fetch < rosterFetches && !s.sleep(rosterRefreshDelay) {
			return nil
		}
	}
	s.settled.Store(true)
	return nil
}

// rosterSource returns the node to fetch a roster from: one of the own failure
// domain if possible, and not the one that was asked before.
func (s *Sidecar) rosterSource(previous string) (fleet.Peer, bool) {
	conf := s.settings.Load()
	var source fleet.Peer
	found, best := false, 0
	for _, peer := range s.view.Live(conf.Host()) {
		b := peer.Beacon()
		score := 1
		if b.FailureDomain == conf.FailureDomain() {
			score += 2
		}
		if b.Host != previous {
			score++
		}
		if !b.Stopping && score > best {
			source, found, best = peer, true, score
		}
	}
	return source, found
}

// fetchRoster fetches the roster of a node and greets the nodes in it.
func (s *Sidecar) fetchRoster(peer fleet.Peer) error {
	conf := s.settings.Load()
	data, err := s.get(peer, rosterPath+"?"+conf.Host(), rosterTimeout, maxRosterBytes)
	if err != nil {
		return err
	}
	roster, err := fleet.DecodeRoster(data)
	if err != nil {
		return err
	}
	others := roster[:0]
	for _, b := range roster {
		s.mergeAnnounced(b, peer.Beacon().Host)
		s.joinCrashes(&b)
		if b.Host == conf.Host() {
			s.handleEcho(b)
			continue
		}
		others = append(others, b)
	}
	s.view.MergeRoster(s.clock.Now(), others, gossipInterval(len(roster)))
	_ = level.Info(s.logger).Log("event", "roster", "node", peer.Beacon().Host, "nodes", len(others))
	s.fleetRead.Store(true)
	s.notifyStateChanged()
	return nil
}

// serveRoster answers the named node, which joins.
func (s *Sidecar) serveRoster(host string, reply *http1.Reply) {
	roster := s.view.Roster(host)
	if s.crashesKnown.Load() {
		snapshot := s.blocklist.Snapshot()
		for i := range roster {
			if roster[i].Host == s.settings.Load().Host() {
				roster[i].Crashes = &snapshot
			}
		}
	}
	data, err := fleet.EncodeRoster(roster)
	if err != nil {
		_ = level.Error(s.logger).Log("event", "roster-failed", "err", err)
		_ = reply.Send(http.StatusInternalServerError, http.Header{}, nil)
		return
	}
	_ = reply.Send(http.StatusOK, http.Header{}, data)
}
