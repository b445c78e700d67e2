package sidecar

import (
	"regexp"

	"github.com/banyancross/banyancross/ingress"
	"github.com/banyancross/banyancross/locality"
	"github.com/banyancross/banyancross/settings"
)

// leavingOption returns the option that says how requests leave the failure domain.
func leavingOption(conf *settings.Sidecar) ingress.Option {
	if !conf.LeavesByRoom() {
		return func(*ingress.Ingress) {}
	}
	return ingress.WithLeavingByRoom(locality.NewPrices(conf.TransferUnit(), conf.DomainBytePrice(), conf.RegionBytePrice()))
}

// way returns the way to a failure domain.
func (s *Sidecar) way(failureDomain string) locality.Way {
	conf := s.settings.Load()
	own := conf.FailureDomain()
	return locality.WayBetween(own, conf.RegionOf(own), failureDomain, conf.RegionOf(failureDomain))
}

// notInMetricNames matches what the name of a metric must not contain.
var notInMetricNames = regexp.MustCompile(`[^a-zA-Z0-9_]`)

// updateLeavingGauges updates the gauges of the ways to other failure domains.
func (s *Sidecar) updateLeavingGauges() {
	for failureDomain, delay := range s.ingress.Delays() {
		s.gauge("domain_delay_seconds_"+notInMetricNames.ReplaceAllString(failureDomain, "_"), delay.Seconds())
	}
	s.gauge("domain_leaving_share", s.ingress.LeavingShare())
}
