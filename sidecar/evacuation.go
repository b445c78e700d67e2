package sidecar

import (
	"strings"

	"github.com/go-kit/log/level"

	"github.com/banyancross/banyancross/evacuation"
	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/timeline"
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
	changed := s.mergeEvacuation(storeSource, func(known evacuation.Set) evacuation.Set {
		return s.evacuationHold.Next(s.clock.Now(), known, next.Evacuation(), next.Position())
	})
	if changed || !next.Evacuation().Same(last.Evacuation()) {
		s.notifyStateChanged()
	}
	if unusable := next.Unusable(); len(unusable) > 0 && next.Evacuation().Position() != last.Evacuation().Position() {
		_ = level.Error(s.logger).Log("event", "evacuation-refused", "domains", strings.Join(unusable, ","),
			"revision", next.Evacuation().Position().Revision())
	}
}

// mergeAnnounced puts in force what a beacon that source sent announces.
func (s *Sidecar) mergeAnnounced(b fleet.Beacon, source string) {
	if b.EvacuationRevision > 0 {
		s.mergeEvacuation(source, func(known evacuation.Set) evacuation.Set { return announcedEvacuation(b, known) })
	}
}

// announcedEvacuation returns the evacuation that a beacon announces. A node of an earlier
// version does not tell the timeline, so that its revision counts as one of the known set's.
func announcedEvacuation(b fleet.Beacon, known evacuation.Set) evacuation.Set {
	number := b.EvacuationTimeline
	if number == 0 {
		number = known.Position().Timeline()
	}
	return evacuation.Update(timeline.NewPosition(number, b.EvacuationRevision), b.Evacuated...)
}

// mergeEvacuation puts the set that next returns for the known one in force if it is newer,
// and reports whether that changes anything. next is called with s.mu held.
func (s *Sidecar) mergeEvacuation(source string, next func(known evacuation.Set) evacuation.Set) bool {
	s.mu.Lock()
	known := s.knownEvacuation()
	merged := known.Merge(next(known))
	s.evacuation.Store(&merged)
	s.mu.Unlock()
	if merged.Same(known) {
		return false
	}
	_ = level.Info(s.logger).Log("event", "evacuation", "domains", strings.Join(merged.Domains(), ","),
		"unknown", strings.Join(s.unknownDomains(merged), ","), "revision", merged.Position().Revision(), "source", source)
	return true
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
	known := s.knownEvacuation()
	position, _ := known.Announcement()
	announced := announcedEvacuation(b, known)
	return announced.Position().Before(position) && !known.Same(announced)
}
