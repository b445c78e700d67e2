package egress

import (
	"sort"
	"time"
)

const (
	// highUtilization and roomy are the shares of the slots in use above and below which
	// runs are compared.
	highUtilization = 0.85
	lowUtilization  = 0.75
	// minSamples is how many runs of either kind say something, over all
	// upstreams of the service: with the usual spread of run times, a third of
	// their mean, chance moves the ratio of two such quartiles by a tenth. minPart
	// is the same for one route at one upstream.
	minSamples      = 40
	minRouteSamples = 2
	// quartileWindow is how many runs a quartile is taken over, so that it follows
	// an upstream that changes.
	quartileWindow = 32
	// slowdownThreshold is how much longer runs take when nearly all slots are in use,
	// from which fewer slots do more: it is the inverse of kneeShare.
	slowdownThreshold = 1 / reducedSlotShare
	// reducedSlotShare is the share of the slots that is used of an upstream that
	// slows down when nearly full.
	reducedSlotShare = 0.8
	// recoveryThreshold is the ratio at which all slots are used again.
	recoveryThreshold = 1.1
)

// quartile is the first quartile of the latest samples. Unlike a mean it hardly
// moves when the host turned slow in the middle of some of the runs.
type quartile struct {
	recent [quartileWindow]float64
	count  int
}

func (q *quartile) add(sample float64) {
	q.recent[q.count%quartileWindow] = sample
	q.count++
}

// size returns how many samples the quartile is taken over.
func (q *quartile) size() int { return min(q.count, quartileWindow) }

func (q *quartile) value() float64 {
	samples := q.recent
	sort.Float64s(samples[:q.size()])
	return samples[q.size()/4]
}

// SaturationEstimate is what comparisons of runs show about upstreams of a service.
type SaturationEstimate struct {
	// Slowdown is how much longer runs take when nearly all slots are in use.
	Slowdown float64
	// Samples is how many comparisons show that.
	Samples float64
}

// Merge returns two findings taken together.
func (f SaturationEstimate) Merge(other SaturationEstimate) SaturationEstimate {
	all := f.Samples + other.Samples
	if all == 0 {
		return SaturationEstimate{}
	}
	return SaturationEstimate{Slowdown: (f.Slowdown*f.Samples + other.Slowdown*other.Samples) / all, Samples: all}
}

// saturation compares how long runs take when many of the slots are in use and when
// few are, route by route, since routes differ in their work.
type saturation struct {
	routes    map[string]*routeTimes
	slowsDown bool
	// own is what this upstream's runs show, others what the service's other
	// upstreams found, and previous what was found before that.
	own, others, previous SaturationEstimate
}

// routeTimes holds the run times of a route.
type routeTimes struct {
	high, low quartile
}

// observe takes a run that called no other upstream, on a host at its usual
// speed; share is the part of the slots in use meanwhile.
func (k *saturation) observe(route string, took time.Duration, utilization float64) {
	if utilization > lowUtilization && utilization < highUtilization {
		return
	}
	if k.routes == nil {
		k.routes = map[string]*routeTimes{}
	}
	o := k.routes[route]
	if o == nil {
		o = &routeTimes{}
		k.routes[route] = o
	}
	if utilization >= highUtilization {
		o.high.add(took.Seconds())
	} else {
		o.low.add(took.Seconds())
	}
	k.updateOwn()
}

// updateOwn takes the routes together.
func (k *saturation) updateOwn() {
	weight, sum := 0.0, 0.0
	for _, o := range k.routes {
		samples := float64(min(o.high.size(), o.low.size()))
		if samples < minRouteSamples || o.low.value() <= 0 {
			continue
		}
		weight += samples
		sum += samples * o.high.value() / o.low.value()
	}
	if weight > 0 {
		k.own = SaturationEstimate{Slowdown: sum / weight, Samples: weight}
	}
}

// combined returns what is known of the upstreams of the service. What was found
// earlier makes up for the comparisons that are still missing.
func (k *saturation) combined() SaturationEstimate {
	current := k.own.Merge(k.others)
	past := k.previous
	past.Samples = min(past.Samples, max(0, minSamples-current.Samples))
	return current.Merge(past)
}

// successor returns the knee of the next upstream of the same service.
func (k *saturation) successor() saturation {
	return saturation{previous: k.combined(), slowsDown: k.slowsDown}
}

// slotShare returns the part of the slots that calls should use.
func (k *saturation) slotShare() float64 {
	if estimate := k.combined(); estimate.Samples >= minSamples {
		k.slowsDown = estimate.Slowdown > slowdownThreshold || (k.slowsDown && estimate.Slowdown > recoveryThreshold)
	}
	if k.slowsDown {
		return reducedSlotShare
	}
	return 1
}
