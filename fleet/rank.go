package fleet

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Rank is the position of a node among the live nodes in the order of the hashes of
// their names, which is unrelated to failure domains. It selects the nodes with a
// task for the whole fleet, so that the cost of the task does not grow with the
// fleet.
type Rank struct {
	// LiveBefore counts the live nodes before this one, ConnectedBefore those of them
	// that reach the store, and Connected all live nodes that reach the store,
	// including this one.
	LiveBefore, ConnectedBefore, Connected int
}

// Selected reports whether the node is among the first count nodes that reach the
// store, or stands in for one of those, of which at most count do.
func (r Rank) Selected(count int) bool {
	return r.ConnectedBefore < count && r.LiveBefore < 2*count
}

// rankKey orders nodes by rank.
type rankKey struct {
	hash uint64
	host string
}

func newRankKey(host string) rankKey { return rankKey{hash: xxhash.Sum64String(host), host: host} }

func (k rankKey) compare(other rankKey) int {
	return cmp.Or(cmp.Compare(k.hash, other.hash), strings.Compare(k.host, other.host))
}

// FirstRanked returns the hosts of at most count nodes, the first in rank among those
// that live and are not stopping.
func (v *View) FirstRanked(count int) []string {
	v.mu.Lock()
	keys := make([]rankKey, 0, len(v.sorted))
	for _, peer := range v.sorted {
		if !peer.silent && !peer.beacon.Stopping {
			keys = append(keys, peer.rank)
		}
	}
	v.mu.Unlock()
	slices.SortFunc(keys, rankKey.compare)
	hosts := make([]string, 0, count)
	for _, key := range keys[:min(count, len(keys))] {
		hosts = append(hosts, key.host)
	}
	return hosts
}

// Rank returns the rank of the named node among those of a failure domain, or
// among all nodes if failureDomain is empty. Nodes that are stopping do not count,
// and silent ones only if countSilent is set.
func (v *View) Rank(host, failureDomain string, countSilent bool) Rank {
	own := newRankKey(host)
	r := Rank{Connected: 1}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, peer := range v.sorted {
		b := peer.beacon
		if b.Host == host || b.Stopping || (peer.silent && !countSilent) || (failureDomain != "" && b.FailureDomain != failureDomain) {
			continue
		}
		before := peer.rank.compare(own) < 0
		if before {
			r.LiveBefore++
		}
		if b.StoreUnreachable {
			continue
		}
		r.Connected++
		if before {
			r.ConnectedBefore++
		}
	}
	return r
}
