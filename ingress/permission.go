package ingress

import (
	"slices"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/fleet"
)

// The decisions in this file answer operators who evacuate failure domains while calls are
// in progress, and callers whose data must not leave some regions. They apply to each
// attempt: first tries, retries, hedges and nested calls.

// permitted returns the upstreams that the request may be sent to: those outside the
// evacuated failure domains, in the regions that both the route and the organisation allow.
func (s *session) permitted(peers []fleet.Peer) []fleet.Peer {
	return s.in.notEvacuated(s.inAllowedRegions(peers))
}

// inAllowedRegions returns the upstreams in the regions that both the route and the
// organisation allow.
func (s *session) inAllowedRegions(peers []fleet.Peer) []fleet.Peer {
	lists := [][]string{s.route.Regions}
	if s.organisation != nil {
		lists = append(lists, s.organisation.Regions())
	}
	for _, regions := range lists {
		if len(regions) > 0 {
			peers = filter(peers, func(failureDomain string) bool {
				return slices.Contains(regions, s.in.regionOf(failureDomain))
			})
		}
	}
	return peers
}

// notEvacuated returns the upstreams outside the evacuated failure domains.
func (in *Ingress) notEvacuated(peers []fleet.Peer) []fleet.Peer {
	evacuated := in.evacuation()
	if len(evacuated.Domains()) == 0 {
		return peers
	}
	return filter(peers, func(failureDomain string) bool { return !evacuated.Has(failureDomain) })
}

// noUpstreamReason returns why there is no upstream to send the request to. It can't be
// served before operators or upstreams change something, so it must not wait.
func (s *session) noUpstreamReason() call.Reason {
	serving := s.in.view.Serving(s.service)
	allowed := s.inAllowedRegions(serving)
	switch {
	case len(serving) > 0 && len(allowed) == 0:
		return call.ReasonNoRegion
	case len(allowed) > 0 && len(s.in.notEvacuated(allowed)) == 0:
		return call.ReasonEvacuated
	}
	return call.ReasonNoUpstream
}

// filter returns the upstreams in the failure domains that keep accepts, without a copy
// if it accepts all.
func filter(peers []fleet.Peer, keep func(failureDomain string) bool) []fleet.Peer {
	dropped := func(peer fleet.Peer) bool { return !keep(peer.Beacon().FailureDomain) }
	if !slices.ContainsFunc(peers, dropped) {
		return peers
	}
	return slices.DeleteFunc(slices.Clone(peers), dropped)
}
