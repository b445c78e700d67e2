package egress

import (
	"sort"
	"time"
)

const (
	// highUtilization and lowUtilization are the shares of the slots in use from
	// which, and up to which, run times are compared.
	highUtilization = 0.85
	lowUtilization  = 0.75
	// minSamples is the least number of runs at either utilization, over all
	// upstreams of the service, from which the ratio is used. Run times typically
	// spread by a third of their mean; then the ratio of two quartiles of as many
	// samples varies by a tenth at random. minRouteSamples is the least number for
	// one route at one upstream.
	minSamples      = 40
	minRouteSamples = 2
	// quartileWindow is the number of latest runs that a quartile is taken over, so
	// that it follows an upstream that changes.
	quartileWindow = 32
	// slowdownThreshold is the slowdown at high utilization above which using fewer
	// slots gives more throughput: the inverse of reducedSlotShare.
	slowdownThreshold = 1 / reducedSlotShare
	// reducedSlotShare is the share of the slots to use at an upstream that slows
	// down near saturation.
	reducedSlotShare = 0.8
	// recoveryThreshold is the slowdown up to which all slots are used again.
	recoveryThreshold = 1.1
)

// quartile is the first quartile of the latest samples. Unlike a mean, it changes
// little when the host slows down in the middle of some of the runs.
type quartile struct {
	recent [quartileWindow]float64
	count  int
}

func (q *quartile) add(sample float64) {
	q.recent[q.count%quartileWindow] = sample
	q.count++
}

// size returns the number of samples in the quartile.
func (q *quartile) size() int { return min(q.count, quartileWindow) }

func (q *quartile) value() float64 {
	samples := q.recent
	sort.Float64s(samples[:q.size()])
	return samples[q.size()/4]
}

// SaturationEstimate estimates how much upstreams of a service slow down near
// saturation.
type SaturationEstimate struct {
	// Slowdown is the ratio of run times at high utilization to those at low
	// utilization.
	Slowdown float64
	// Samples is the number of samples behind Slowdown, its weight in a merge.
	Samples float64
}

// Merge returns the mean of two estimates, weighted by their samples.
func (e SaturationEstimate) Merge(other SaturationEstimate) SaturationEstimate {
	all := e.Samples + other.Samples
	if all == 0 {
		return SaturationEstimate{}
	}
	return SaturationEstimate{Slowdown: (e.Slowdown*e.Samples + other.Slowdown*other.Samples) / all, Samples: all}
}

// saturation compares run times at high and at low utilization, separately for
// each route, since routes differ in their work.
type saturation struct {
	routes    map[string]*routeTimes
	slowsDown bool
	// own is the estimate from this upstream's runs, others that of the service's
	// other upstreams, and previous the restored or inherited one.
	own, others, previous SaturationEstimate
}

// routeTimes holds the run times of a route at high and at low utilization.
type routeTimes struct {
	highUtilization, lowUtilization quartile
}

// observe adds a run that called no other upstream, on a host that was not slowed
// down; utilization is the mean share of the slots in use.
func (s *saturation) observe(route string, runTime time.Duration, utilization float64) {
	if utilization > lowUtilization && utilization < highUtilization {
		return
	}
	if s.routes == nil {
		s.routes = map[string]*routeTimes{}
	}
	times := s.routes[route]
	if times == nil {
		times = &routeTimes{}
		s.routes[route] = times
	}
	if utilization >= highUtilization {
		times.highUtilization.add(runTime.Seconds())
	} else {
		times.lowUtilization.add(runTime.Seconds())
	}
	s.updateOwn()
}

// updateOwn averages the ratios of the routes, weighted by their samples.
func (s *saturation) updateOwn() {
	weight, sum := 0.0, 0.0
	for _, times := range s.routes {
		samples := float64(min(times.highUtilization.size(), times.lowUtilization.size()))
		if samples < minRouteSamples || times.lowUtilization.value() <= 0 {
			continue
		}
		weight += samples
		sum += samples * times.highUtilization.value() / times.lowUtilization.value()
	}
	if weight > 0 {
		s.own = SaturationEstimate{Slowdown: sum / weight, Samples: weight}
	}
}

// combined returns the estimate for the service. The previous estimate counts only
// for the samples that the current ones lack to reach minSamples.
func (s *saturation) combined() SaturationEstimate {
	current := s.own.Merge(s.others)
	previous := s.previous
	previous.Samples = min(previous.Samples, max(0, minSamples-current.Samples))
	return current.Merge(previous)
}

// successor returns the initial estimate of the service's next upstream here.
func (s *saturation) successor() saturation {
	return saturation{previous: s.combined(), slowsDown: s.slowsDown}
}

// slotShare returns the share of the slots that calls may use.
func (s *saturation) slotShare() float64 {
	if combined := s.combined(); combined.Samples >= minSamples {
		s.slowsDown = combined.Slowdown > slowdownThreshold || (s.slowsDown && combined.Slowdown > recoveryThreshold)
	}
	if s.slowsDown {
		return reducedSlotShare
	}
	return 1
}
