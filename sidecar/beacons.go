package sidecar

import (
	"net/netip"
	"time"

	"github.com/go-kit/log/level"

	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/quota"
)

const (
	// beaconInterval is the pause between regular beacons.
	beaconInterval = 225 * time.Millisecond
	// remoteRounds is the number of rounds after which entry nodes in other failure
	// domains get the next beacon. Their silence timeout stays the same, and fewer
	// bytes pass between the domains, where calls seldom go.
	remoteRounds = 2
	// maxFanout is how many of the nodes that send no calls here get a beacon
	// in each round, in fleets of up to maxFanoutFleet nodes. Larger fleets get
	// fewer, but at least minFanout, to bound the control traffic of a node.
	maxFanout      = 8
	minFanout      = 2
	maxFanoutFleet = 80
	// maxDatagramBytes bounds a datagram so that it fits into one packet.
	maxDatagramBytes = 1400
	// nodeLinesPerSecond and nodeLinesBurst limit the log lines about other nodes.
	nodeLinesPerSecond = 20
	nodeLinesBurst     = 100
	// minBeaconInterval is the shortest pause between beacons that report a
	// change.
	minBeaconInterval = 5 * time.Millisecond
	// pauseThreshold is how late the beacon loop must run for this process to
	// count as paused.
	pauseThreshold = 300 * time.Millisecond
)

// notify makes a signal of capacity one pending, unless it is.
func notify(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// notifyStateChanged requests a beacon to all nodes.
func (s *Sidecar) notifyStateChanged() { notify(s.stateChanged) }

// notifyLoadChanged requests a load notice to the nodes that send calls here.
func (s *Sidecar) notifyLoadChanged() { notify(s.loadChanged) }

// notifyEstimateChanged requests that the gate's saturation estimate be stored.
func (s *Sidecar) notifyEstimateChanged() { notify(s.estimateChanged) }

// beacon returns a beacon with this node's current state.
func (s *Sidecar) beacon() fleet.Beacon {
	conf := s.settings.Load()
	b := fleet.Beacon{
		Host: conf.Host(), Incarnation: s.incarnation.Load(), Sequence: s.sequence.Add(1), CallAddress: conf.AdvertisedNodeAddress(),
		GossipAddress: conf.GossipAddress(), FailureDomain: conf.FailureDomain(),
		Stopping: s.stopping.Load(), StoreUnreachable: s.storeUnreachable.Load(),
	}
	if table := s.table.Load(); table != nil {
		b.Revision = table.Revision()
	}
	b.StoreTimeline = s.store.Timeline()
	position, evacuated := s.knownEvacuation().Announcement()
	b.EvacuationTimeline, b.EvacuationRevision, b.Evacuated = position.Timeline(), position.Revision(), evacuated
	s.gate.FillBeacon(&b)
	b.Blocklist = s.blocklist.RecentRecords(s.clock.Now())
	return b
}

// sendBeacons sends beacons and load notices, periodically and on changes, and
// expires silent nodes.
func (s *Sidecar) sendBeacons() error {
	last, toAll := s.clock.Now(), true
	for {
		now := s.clock.Now()
		if late := now.Sub(last) - beaconInterval; late > pauseThreshold {
			_ = level.Warn(s.logger).Log("event", "paused", "for", late)
			s.view.AdjustForPause(now, late)
		}
		last = now
		for _, peer := range s.view.Expire(now) {
			_ = level.Warn(s.logger).Log("event", "node-silent", "node", peer.Beacon().Host, "heard", now.Sub(peer.LastReceived()))
			s.sender.dropPool(peer.Beacon())
		}
		s.broadcast(toAll)
		toAll = false
		next := s.clock.After(beaconInterval)
		for waiting := true; waiting; {
			select {
			case <-s.tomb.Dying():
				return nil
			case <-next:
				waiting = false
			case <-s.stateChanged:
				if !s.sleep(minBeaconInterval) {
					return nil
				}
				waiting, toAll = false, true
			case <-s.loadChanged:
				s.sendLoadNotices()
			}
		}
	}
}

// sendLoadNotices sends the load of this host's upstream to the nodes that send
// calls here.
func (s *Sidecar) sendLoadNotices() {
	isEntryNode := s.entryNodes()
	data, err := fleet.NewNotice(s.sequence.Add(1), s.gate.Load()).Encode()
	if err != nil {
		_ = level.Error(s.logger).Log("event", "beacon-failed", "err", err)
		return
	}
	self := s.settings.Load().Host()
	for _, peer := range s.view.Peers() {
		if b := peer.Beacon(); b.Host != self && isEntryNode[b.Host] {
			s.sendDatagram(b, transferNotices, data)
		}
	}
}

// broadcast sends a beacon to the nodes that must notice soon when this one is lost, to
// those in other failure domains in some rounds only, and to some of the others in
// rotation. If toAll is set, it sends one to every node.
func (s *Sidecar) broadcast(toAll bool) {
	b := s.beacon()
	s.view.Merge(s.clock.Now(), b)
	s.ingress.UpdateLoad(&b)
	peers := s.view.Peers()
	targets := s.nextGossipTargets(len(peers))
	s.pingSuspects(b)
	s.beaconRound++
	schedule := fleet.Schedule{Local: beaconInterval, Remote: remoteRounds * beaconInterval, Gossip: gossipInterval(len(peers))}
	encoded := map[time.Duration][]byte{}
	isFrequent, wasFrequent := s.frequentNodes(), s.frequentBefore
	s.frequentBefore = isFrequent
	for i := range peers {
		to := peers[i].Beacon()
		if to.Host == b.Host {
			continue
		}
		interval := schedule.Next(fleet.Turn{
			Frequent: isFrequent[to.Host], WasFrequent: wasFrequent[to.Host],
			Remote: to.FailureDomain != b.FailureDomain, RemoteRound: s.beaconRound%remoteRounds == 0,
			All: toAll, Rotation: targets[i],
		})
		if interval == 0 {
			continue
		}
		if encoded[interval] == nil {
			encoded[interval] = s.encodeBeacon(b, interval)
		}
		s.sendDatagram(to, transferBeacons, encoded[interval])
	}
	s.mergePeerEstimates(b, peers)
}

// logSuspect logs that calls could not reach a node.
func (s *Sidecar) logSuspect(host string) {
	_ = level.Warn(s.logger).Log("event", "node-suspected", "node", host)
}

// pingSuspects asks the nodes that calls failed to reach for a beacon.
func (s *Sidecar) pingSuspects(b fleet.Beacon) {
	suspects := s.view.Suspects(s.clock.Now())
	if len(suspects) == 0 {
		return
	}
	b.Ping = true
	data := s.encodeBeacon(b, beaconInterval)
	for _, suspect := range suspects {
		s.sendDatagram(suspect, transferBeacons, data)
	}
}

// fanout returns how many of the nodes that send no calls here get a beacon in
// each round.
func fanout(nodes int) int {
	if nodes > maxFanoutFleet {
		return max(minFanout, maxFanout*maxFanoutFleet/nodes)
	}
	return min(nodes, maxFanout)
}

// gossipInterval returns the pause between beacons to a node that sends no
// calls here.
func gossipInterval(nodes int) time.Duration {
	return beaconInterval * time.Duration(nodes/max(fanout(nodes), 1)+1)
}

// nextGossipTargets returns the indexes of the next nodes in the rotation.
func (s *Sidecar) nextGossipTargets(nodes int) map[int]bool {
	count := fanout(nodes)
	targets := make(map[int]bool, count)
	for range count {
		targets[s.gossipCursor%nodes] = true
		s.gossipCursor++
	}
	return targets
}

// encodeBeacon returns the datagram of a beacon whose receiver gets the next
// one after interval, nil if the beacon cannot be encoded.
func (s *Sidecar) encodeBeacon(b fleet.Beacon, interval time.Duration) []byte {
	b.Interval = interval
	data, err := b.EncodeWithin(maxDatagramBytes)
	if err != nil {
		_ = level.Error(s.logger).Log("event", "beacon-failed", "err", err)
	}
	return data
}

// entryNodes returns the hosts of the entry nodes, which send calls here.
func (s *Sidecar) entryNodes() map[string]bool {
	nodes := map[string]bool{}
	for _, host := range s.gate.EntryNodes() {
		nodes[host] = true
	}
	return nodes
}

// frequentNodes returns the hosts of the nodes that must notice soon when this one is
// lost: the entry nodes, and while this node watches the store, the next in rank after
// the watchers. Other nodes in a large fleet notice only after many seconds, so that a
// fleet that lost all watchers at once would miss configurations for as long.
func (s *Sidecar) frequentNodes() map[string]bool {
	nodes := s.entryNodes()
	if !s.shouldWatch() {
		return nodes
	}
	for i, host := range s.view.FirstRanked(2 * maxWatchers) {
		if i >= maxWatchers {
			nodes[host] = true
		}
	}
	return nodes
}

// mergePeerEstimates passes the combined saturation estimates of the service's
// other upstreams to the gate.
func (s *Sidecar) mergePeerEstimates(b fleet.Beacon, peers []fleet.Peer) {
	var merged egress.SaturationEstimate
	for _, peer := range peers {
		other := peer.Beacon()
		if other.Host != b.Host && other.Service == b.Service {
			merged = merged.Merge(egress.SaturationEstimate{Slowdown: float64(other.SaturationSlowdown), Samples: float64(other.SaturationSamples)})
		}
	}
	s.gate.SetPeerEstimate(merged)
}

// sendDatagram sends a beacon or notice to the node of a beacon.
func (s *Sidecar) sendDatagram(to *fleet.Beacon, kind transferKind, data []byte) {
	target, err := netip.ParseAddrPort(to.GossipAddress)
	if err != nil {
		_ = level.Error(s.logger).Log("event", "beacon-failed", "address", to.GossipAddress, "err", err)
		return
	}
	if _, err := s.socket.WriteToUDPAddrPort(data, target); err != nil {
		_ = level.Debug(s.logger).Log("event", "beacon-failed", "address", to.GossipAddress, "err", err)
		return
	}
	s.transfers.add(to.FailureDomain, kind, len(data))
}

// receiveDatagrams receives the beacons and load notices of other nodes.
func (s *Sidecar) receiveDatagrams() error {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := s.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if !s.tomb.Alive() {
				return nil
			}
			if !s.sleep(minBeaconInterval) {
				return nil
			}
			continue
		}
		if fleet.IsNotice(buffer[:n]) {
			s.handleNotice(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String(), buffer[:n])
			continue
		}
		if quota.IsMessage(buffer[:n]) {
			s.quotas.handle(buffer[:n])
			continue
		}
		b, err := fleet.Decode(buffer[:n])
		if err != nil {
			_ = level.Warn(s.logger).Log("event", "beacon-skipped", "err", err)
			continue
		}
		s.handleBeacon(b)
	}
}

// handleNotice applies a load notice of the node at address.
func (s *Sidecar) handleNotice(address string, data []byte) {
	notice, err := fleet.DecodeNotice(data)
	if err != nil {
		_ = level.Warn(s.logger).Log("event", "notice-skipped", "from", address, "err", err)
		return
	}
	if b, ok := s.view.ApplyNotice(s.clock.Now(), address, notice); ok {
		s.ingress.UpdateLoad(b)
	}
}

// logNode logs what a beacon changed in the view, up to a rate: in a large fleet all
// nodes may change at the same time. Only the receiving loop calls it.
func (s *Sidecar) logNode(b fleet.Beacon, change fleet.MergeResult) {
	omitted, ok := s.nodeLines.Allow(s.clock.Now(), 1)
	if !ok {
		return
	}
	_ = level.Info(s.logger).Log("event", "node", "node", b.Host, "known", change.Known, "restarted", change.Restarted,
		"returned", change.WasSilent, "upstream", b.Upstream, "service", b.Service, "phase", b.Phase, "stopping", b.Stopping,
		"omitted", omitted)
}

// handleEcho raises the incarnation of this node if another node knows a later one
// from before a restart.
func (s *Sidecar) handleEcho(b fleet.Beacon) {
	if b.Incarnation > s.incarnation.Load() {
		_ = level.Warn(s.logger).Log("event", "incarnation-raised", "known", b.Incarnation)
		s.raiseIncarnation(b.Incarnation)
		s.notifyStateChanged()
	}
}

// handleBeacon applies a beacon of another node and requests the node's
// configuration if it is newer.
func (s *Sidecar) handleBeacon(b fleet.Beacon) {
	if b.Host == s.settings.Load().Host() {
		s.handleEcho(b)
		return
	}
	s.mergeAnnounced(b, b.Host)
	s.noteAnnouncedTimeline(b)
	change := s.view.Merge(s.clock.Now(), b)
	s.ingress.UpdateLoad(&b)
	if change.Later == nil {
		// The sender raises its incarnation otherwise, and the records of an earlier version,
		// which are counted by incarnation, would be counted twice.
		s.blocklist.Merge(s.clock.Now(), b.Host, b.Incarnation, b.Blocklist)
	}
	if change.Changed || change.WasSilent {
		s.logNode(b, change)
	}
	if change.Later != nil {
		// The sender's clock was set back before its restart.
		s.sendDatagram(&b, transferBeacons, s.encodeBeacon(*change.Later, change.Later.Interval))
	}
	if !change.Known || change.Restarted || b.Ping || s.outdatedEvacuation(b) {
		// The other node may not know this one yet, waits for a sign of life, or obeys an
		// evacuation that has changed.
		own := s.beacon()
		own.Blocklist = s.blocklist.Records()
		s.sendDatagram(&b, transferBeacons, s.encodeBeacon(own, gossipInterval(s.view.Len())))
	}
	if table := s.table.Load(); table == nil && b.Revision > 0 || table != nil && b.Revision > table.Revision() {
		peer, ok := s.view.Peer(b.Host)
		if !ok {
			return
		}
		select {
		case s.fetchRequests <- peer:
		default:
		}
	}
}
