package fleet

import (
	"time"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/codec"
)

// Roster returns the latest beacons, without loads, of the nodes that are not silent,
// and of the named node even if it is silent.
func (v *View) Roster(host string) []Beacon {
	v.mu.Lock()
	defer v.mu.Unlock()
	roster := make([]Beacon, 0, len(v.peers))
	for _, peer := range v.sorted {
		if peer.silent && peer.beacon.Host != host {
			continue
		}
		b := *peer.beacon
		b.Load, b.Blocklist = call.Load{}, nil
		roster = append(roster, b)
	}
	return roster
}

// EncodeRoster returns the encoded form of a roster.
func EncodeRoster(roster []Beacon) ([]byte, error) { return codec.Marshal(roster) }

// DecodeRoster reads a roster. Beacons that name no usable node are left out.
func DecodeRoster(data []byte) ([]Beacon, error) {
	var roster []Beacon
	if err := codec.Unmarshal(data, &roster); err != nil {
		return nil, malformed("decode roster", err)
	}
	usable := roster[:0]
	for _, b := range roster {
		if b.validate() == nil {
			usable = append(usable, b)
		}
	}
	return usable, nil
}

// MergeRoster adds the nodes of another node's roster that are unknown or silent
// here, as nodes that sent a beacon at now and will send the next one after interval.
func (v *View) MergeRoster(now time.Time, roster []Beacon, interval time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, b := range roster {
		peer := v.peers[b.Host]
		if peer == nil || peer.silent && !b.olderThan(peer.beacon) {
			b.Interval = interval
			v.add(Peer{lastReceived: now}, &b)
		}
	}
}
