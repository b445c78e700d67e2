package sidecar

import (
	"net"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"

	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/fleet"
)

const (
	// beaconInterval is the usual pause between beacons.
	beaconInterval = 225 * time.Millisecond
	// strangers is how many nodes that send no calls here get a beacon each
	// time, up to strangerFleet nodes; larger fleets get fewer, so that beacons
	// keep within the control traffic of a node.
	strangers     = 8
	minStrangers  = 2
	strangerFleet = 80
	// maxBeacon bounds a datagram, in bytes; it stays within one packet.
	maxBeacon = 1400
	// beaconGap is the least pause between beacons that tell of a change.
	beaconGap = 5 * time.Millisecond
	// pauseNoticed is how late a tick must be to count as a pause of this node.
	pauseNoticed = 300 * time.Millisecond
)

// announce sends a beacon soon, because something in it has changed.
func (s *Sidecar) announce() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// announceLoad sends a beacon soon to the nodes that send calls here.
func (s *Sidecar) announceLoad() {
	select {
	case s.loaded <- struct{}{}:
	default:
	}
}

// announceFound has what the gate found kept soon.
func (s *Sidecar) announceFound() {
	select {
	case s.found <- struct{}{}:
	default:
	}
}

// beacon describes this node.
func (s *Sidecar) beacon() fleet.Beacon {
	conf := s.settings.Load()
	b := fleet.Beacon{
		Host: conf.Host(), Incarnation: s.incarnation.Load(), Sequence: s.sequence.Add(1), CallAddress: conf.AdvertisedNodeAddress(),
		GossipAddress: conf.GossipAddress(), FailureDomain: conf.FailureDomain(),
		Stopping: s.stopping.Load(), StoreUnreachable: s.storeLost.Load(),
	}
	if table := s.table.Load(); table != nil {
		b.Revision = table.Revision()
	}
	s.gate.FillBeacon(&b)
	b.Holds = s.holds.Records(s.clock.Now())
	return b
}

// sendBeacons tells the other nodes about this one.
func (s *Sidecar) sendBeacons() error {
	last, everybody := s.clock.Now(), true
	for {
		now := s.clock.Now()
		if late := now.Sub(last) - beaconInterval; late > pauseNoticed {
			_ = level.Warn(s.logger).Log("event", "paused", "for", late)
			s.view.AdjustForPause(late)
		}
		last = now
		for _, peer := range s.view.Expire(now) {
			_ = level.Warn(s.logger).Log("event", "node-silent", "node", peer.Beacon().Host, "heard", now.Sub(peer.LastReceived()))
			s.hops.reset(peer.Beacon())
		}
		s.broadcast(everybody)
		everybody = false
		next := s.clock.After(beaconInterval)
		for waiting := true; waiting; {
			select {
			case <-s.tomb.Dying():
				return nil
			case <-next:
				waiting = false
			case <-s.changed:
				if !s.sleep(beaconGap) {
					return nil
				}
				waiting, everybody = false, true
			case <-s.loaded:
				s.tellCallers()
			}
		}
	}
}

// tellCallers sends a beacon to the nodes that send calls here.
func (s *Sidecar) tellCallers() {
	callers := s.callersOf()
	data, err := fleet.NewNotice(s.sequence.Add(1), s.gate.Load()).Encode()
	if err != nil {
		_ = level.Error(s.logger).Log("event", "beacon-failed", "err", err)
		return
	}
	self := s.settings.Load().Host()
	for _, peer := range s.view.Peers() {
		if b := peer.Beacon(); b.Host != self && callers[b.Host] {
			s.sendTo(b.GossipAddress, data)
		}
	}
}

// broadcast sends a beacon to everybody, or to the nodes that send calls here
// and some others in turn.
func (s *Sidecar) broadcast(everybody bool) {
	b := s.beacon()
	s.view.Update(s.clock.Now(), b)
	s.ingress.UpdateLoad(b)
	peers := s.view.Peers()
	turn := s.strangersTurn(len(peers))
	often, rarely := s.encoded(b, beaconInterval), s.encoded(b, seldom(len(peers)))
	callers := s.callersOf()
	for i, peer := range peers {
		host := peer.Beacon().Host
		switch {
		case host == b.Host:
		case callers[host]:
			s.sendTo(peer.Beacon().GossipAddress, often)
		case everybody || turn[i]:
			s.sendTo(peer.Beacon().GossipAddress, rarely)
		}
	}
	s.compare(b, peers)
}

// strangersOf returns how many nodes that send no calls here get a beacon each
// time.
func strangersOf(nodes int) int {
	if nodes > strangerFleet {
		return max(minStrangers, strangers*strangerFleet/nodes)
	}
	return min(nodes, strangers)
}

// seldom returns the pause between beacons to a node that sends no calls here.
func seldom(nodes int) time.Duration {
	return beaconInterval * time.Duration(nodes/max(strangersOf(nodes), 1)+1)
}

// strangersTurn returns the places of the nodes whose turn it is.
func (s *Sidecar) strangersTurn(nodes int) map[int]bool {
	count := strangersOf(nodes)
	turn := make(map[int]bool, count)
	for range count {
		turn[s.turn%nodes] = true
		s.turn++
	}
	return turn
}

// encoded returns the datagram of a beacon, nil when it cannot be written.
func (s *Sidecar) encoded(b fleet.Beacon, pause time.Duration) []byte {
	b.Interval = pause
	data, err := b.Encode()
	if err != nil {
		_ = level.Error(s.logger).Log("event", "beacon-failed", "err", err)
	}
	return data
}

// callersOf returns the nodes that send calls here.
func (s *Sidecar) callersOf() map[string]bool {
	callers := map[string]bool{}
	for _, host := range s.gate.EntryNodes() {
		callers[host] = true
	}
	return callers
}

// compare tells the gate what the other upstreams of its service found.
func (s *Sidecar) compare(b fleet.Beacon, peers []fleet.Peer) {
	var others egress.SaturationEstimate
	for _, peer := range peers {
		other := peer.Beacon()
		if other.Host != b.Host && other.Service == b.Service {
			others = others.Merge(egress.SaturationEstimate{Slowdown: float64(other.SaturationSlowdown), Samples: float64(other.SaturationSamples)})
		}
	}
	s.gate.SetPeerEstimate(others)
}

func (s *Sidecar) sendTo(address string, data []byte) {
	target, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		_ = level.Error(s.logger).Log("event", "beacon-failed", "address", address, "err", err)
		return
	}
	if _, err := s.socket.WriteToUDP(data, target); err != nil {
		_ = level.Debug(s.logger).Log("event", "beacon-failed", "address", address, "err", err)
	}
}

// receiveBeacons takes what other nodes say of themselves.
func (s *Sidecar) receiveBeacons() error {
	buffer := make([]byte, maxBeacon)
	for {
		n, from, err := s.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if !s.tomb.Alive() {
				return nil
			}
			if !s.sleep(beaconGap) {
				return nil
			}
			continue
		}
		if fleet.IsNotice(buffer[:n]) {
			s.noticed(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String(), buffer[:n])
			continue
		}
		b, err := fleet.Decode(buffer[:n])
		if err != nil {
			_ = level.Warn(s.logger).Log("event", "beacon-skipped", "err", err)
			continue
		}
		s.heard(b)
	}
}

// noticed takes a notice of another node's load.
func (s *Sidecar) noticed(address string, data []byte) {
	notice, err := fleet.DecodeNotice(data)
	if err != nil {
		_ = level.Warn(s.logger).Log("event", "notice-skipped", "from", address, "err", err)
		return
	}
	if b, ok := s.view.ApplyNotice(s.clock.Now(), address, notice); ok {
		s.ingress.UpdateLoad(b)
	}
}

// heard takes a beacon of another node.
func (s *Sidecar) heard(b fleet.Beacon) {
	if b.Host == s.settings.Load().Host() {
		return
	}
	news := s.view.Update(s.clock.Now(), b)
	s.ingress.UpdateLoad(b)
	s.holds.Merge(s.clock.Now(), b.Host, b.Holds)
	if news.Changed || news.WasSilent {
		_ = level.Info(s.logger).Log("event", "node", "node", b.Host, "known", news.Known, "restarted", news.Restarted,
			"returned", news.WasSilent, "upstream", b.Upstream, "service", b.Service, "phase", b.Phase, "stopping", b.Stopping)
	}
	if !news.Known || news.Restarted {
		// The other node may not know this one yet.
		own := s.beacon()
		s.sendTo(b.GossipAddress, s.encoded(own, seldom(len(s.view.Peers()))))
	}
	if table := s.table.Load(); table == nil && b.Revision > 0 || table != nil && b.Revision > table.Revision() {
		for _, peer := range s.view.Peers() {
			if peer.Beacon().Host != b.Host {
				continue
			}
			select {
			case s.fetches <- peer:
			default:
			}
		}
	}
}
