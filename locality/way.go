package locality

import (
	"sync"
	"time"
)

// Way is the kind of the way between two failure domains.
type Way int

// The kinds of ways, the nearest first.
const (
	Within Way = iota
	BetweenDomains
	BetweenRegions
)

// String returns the kebab-case name that logs and metrics use.
func (w Way) String() string {
	return [...]string{"within", "between-domains", "between-regions"}[w]
}

// WayBetween returns the kind of the way between two failure domains. Domains of unknown
// regions count as of one region.
func WayBetween(domain, region, otherDomain, otherRegion string) Way {
	switch {
	case domain == otherDomain:
		return Within
	case region == otherRegion || region == "" || otherRegion == "":
		return BetweenDomains
	}
	return BetweenRegions
}

// maxTransferCost bounds the cost of a long transfer, so that it stays comparable to
// the costs of load and failures.
const maxTransferCost = 2

// Prices are the costs of bytes by kind of way.
type Prices struct {
	unit           int64
	domain, region float64
}

// NewPrices returns the Prices at which unit bytes between failure domains of a region
// cost domain times, and between regions region times, as much as a lost answer.
func NewPrices(unit int64, domain, region float64) Prices {
	return Prices{unit: unit, domain: domain, region: region}
}

// Cost returns the cost of transferring bytes on a way, in shares of a lost answer.
func (p Prices) Cost(way Way, bytes int64) float64 {
	price := [...]float64{0, p.domain, p.region}[way]
	return min(price*float64(bytes)/float64(p.unit), maxTransferCost)
}

const (
	// defaultDomainDelay and defaultRegionDelay are the assumed round trips between
	// failure domains before the first sample: a network of one site, and one that spans
	// a continent.
	defaultDomainDelay = 2 * time.Millisecond
	defaultRegionDelay = 60 * time.Millisecond
	// fallWeight and riseWeight are the weights of samples below and above the estimate.
	// The estimate thus settles near the 2 % quantile, which leaves out dials and pauses,
	// and follows a way that became longer within some hundred samples.
	fallWeight = 0.5
	riseWeight = 0.01
	// maxDomains bounds the failure domains with estimates. At the bound all are dropped.
	maxDomains = 256
)

// Delays estimates the round trip to other failure domains from attempts; it is safe for
// concurrent use.
type Delays struct {
	mu        sync.Mutex
	estimates map[string]time.Duration
}

// NewDelays returns Delays without samples.
func NewDelays() *Delays { return &Delays{estimates: map[string]time.Duration{}} }

// Observe adds the part of an attempt's time that was spent neither queued nor running
// at the gate.
func (d *Delays) Observe(domain string, sample time.Duration) {
	if sample <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	estimate, ok := d.estimates[domain]
	if !ok {
		if len(d.estimates) >= maxDomains {
			clear(d.estimates)
		}
		d.estimates[domain] = sample
		return
	}
	weight := riseWeight
	if sample < estimate {
		weight = fallWeight
	}
	// A sample many times the estimate is one of a dial or a pause.
	sample = min(sample, 4*estimate)
	d.estimates[domain] = estimate + time.Duration(weight*float64(sample-estimate))
}

// Estimate returns the round trip to a failure domain, or a default for the way if there
// is no sample.
func (d *Delays) Estimate(domain string, way Way) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if estimate, ok := d.estimates[domain]; ok {
		return estimate
	}
	return [...]time.Duration{0, defaultDomainDelay, defaultRegionDelay}[way]
}

// All returns the estimates by failure domain.
func (d *Delays) All() map[string]time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make(map[string]time.Duration, len(d.estimates))
	for domain, estimate := range d.estimates {
		all[domain] = estimate
	}
	return all
}
