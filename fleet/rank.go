package fleet

import (
	"slices"

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

// rankBefore reports whether a host is ranked before another one.
func rankBefore(host, other string) bool {
	a, b := xxhash.Sum64String(host), xxhash.Sum64String(other)
	return a < b || (a == b && host < other)
}

// FirstRanked returns the hosts of at most count nodes, the first in rank among those
// that live and are not stopping.
func (v *View) FirstRanked(count int) []string {
	v.mu.Lock()
	var hosts []string
	for _, peer := range v.sorted {
		if !peer.silent && !peer.beacon.Stopping {
			hosts = append(hosts, peer.beacon.Host)
		}
	}
	v.mu.Unlock()
	slices.SortFunc(hosts, func(a, b string) int {
		if rankBefore(a, b) {
			return -1
		}
		return 1
	})
	return hosts[:min(count, len(hosts))]
}

// Rank returns the rank of the named node among those of a failure domain, or
// among all nodes if failureDomain is empty. Nodes that are stopping do not count,
// and silent ones only if countSilent is set.
func (v *View) Rank(host, failureDomain string, countSilent bool) Rank {
	r := Rank{Connected: 1}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, peer := range v.sorted {
		b := peer.beacon
		if b.Host == host || b.Stopping || (peer.silent && !countSilent) || (failureDomain != "" && b.FailureDomain != failureDomain) {
			continue
		}
		before := rankBefore(b.Host, host)
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
