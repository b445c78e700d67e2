package sidecar

import (
	"strings"

	"github.com/go-kit/log/level"

	"github.com/banyancross/banyancross/evacuation"
	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/platform"
)

// knownEvacuation returns the evacuated failure domains as far as this node knows.
func (s *Sidecar) knownEvacuation() evacuation.Set {
	if known := s.evacuation.Load(); known != nil {
		return *known
	}
	return evacuation.Set{}
}

// evacuated reports whether nothing may be sent to this host's upstream.
func (s *Sidecar) evacuated() bool {
	return s.knownEvacuation().Has(s.settings.Load().FailureDomain())
}

// applyEvacuation puts in force what the store tells about evacuations. Each watcher
// that sees a change tells all nodes of it, since the beacons of one may get lost.
func (s *Sidecar) applyEvacuation(next, last platform.Operators) {
	s.mergeEvacuation(next.Evacuation(), storeSource)
	if !next.Evacuation().Same(last.Evacuation()) {
		s.notifyStateChanged()
	}
	if unusable := next.Unusable(); len(unusable) > 0 && next.Evacuation().Revision() != last.Evacuation().Revision() {
		_ = level.Error(s.logger).Log("event", "evacuation-refused", "domains", strings.Join(unusable, ","),
			"revision", next.Evacuation().Revision())
	}
}

// mergeAnnounced puts in force what a beacon that source sent announces.
func (s *Sidecar) mergeAnnounced(b fleet.Beacon, source string) {
	if b.EvacuationRevision > 0 {
		s.mergeEvacuation(evacuation.Update(b.EvacuationRevision, b.Evacuated...), source)
	}
}

// mergeEvacuation puts a set in force if it is newer than the known one.
func (s *Sidecar) mergeEvacuation(set evacuation.Set, source string) {
	s.mu.Lock()
	known := s.knownEvacuation()
	merged := known.Merge(set)
	s.evacuation.Store(&merged)
	s.mu.Unlock()
	if !merged.Same(known) {
		_ = level.Info(s.logger).Log("event", "evacuation", "domains", strings.Join(merged.Domains(), ","),
			"unknown", strings.Join(s.unknownDomains(merged), ","), "revision", merged.Revision(), "source", source)
	}
}

// unknownDomains returns the evacuated domains that neither the settings nor any node
// names. They have no effect until a node does.
func (s *Sidecar) unknownDomains(set evacuation.Set) []string {
	conf := s.settings.Load()
	known := map[string]bool{conf.FailureDomain(): true}
	for _, domain := range conf.FailureDomains() {
		known[domain] = true
	}
	for _, peer := range s.view.Peers() {
		known[peer.Beacon().FailureDomain] = true
	}
	var unknown []string
	for _, domain := range set.Domains() {
		if !known[domain] {
			unknown = append(unknown, domain)
		}
	}
	return unknown
}

// outdatedEvacuation reports whether a node announces, or lacks, an evacuation that has
// changed since.
func (s *Sidecar) outdatedEvacuation(b fleet.Beacon) bool {
	revision, _ := s.knownEvacuation().Announcement()
	return revision > b.EvacuationRevision && !s.knownEvacuation().Same(evacuation.Update(b.EvacuationRevision, b.Evacuated...))
}
