package egress

import (
	"sort"
	"time"
)

const (
	// crowded and roomy are the shares of the slots in use above and below which
	// runs are compared.
	crowded = 0.85
	roomy   = 0.75
	// minCompared is how many runs of either kind say something, over all
	// upstreams of the service: with the usual spread of run times, a third of
	// their mean, chance moves the ratio of two such quartiles by a tenth. minPart
	// is the same for one route at one upstream.
	minCompared = 40
	minPart     = 2
	// maxCompared is how many runs a quartile is taken over, so that it follows
	// an upstream that changes.
	maxCompared = 32
	// slowsDown is how much longer runs take when nearly all slots are in use,
	// from which fewer slots do more: it is the inverse of kneeShare.
	slowsDown = 1 / kneeShare
	// kneeShare is the share of the slots that is used of an upstream that
	// slows down when nearly full.
	kneeShare = 0.8
	// recovered is the ratio at which all slots are used again.
	recovered = 1.1
)

// quartile is the first quartile of the latest samples. Unlike a mean it hardly
// moves when the host turned slow in the middle of some of the runs.
type quartile struct {
	recent [maxCompared]float64
	count  int
}

func (q *quartile) add(sample float64) {
	q.recent[q.count%maxCompared] = sample
	q.count++
}

// size returns how many samples the quartile is taken over.
func (q *quartile) size() int { return min(q.count, maxCompared) }

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

// knee compares how long runs take when many of the slots are in use and when
// few are, route by route, since routes differ in their work.
type knee struct {
	routes map[string]*occupancy
	found  bool
	// own is what this upstream's runs show, others what the service's other
	// upstreams found, and past what was found before that.
	own, others, past SaturationEstimate
}

// occupancy holds the run times of a route.
type occupancy struct {
	crowded, roomy quartile
}

// observe takes a run that called no other upstream, on a host at its usual
// speed; share is the part of the slots in use meanwhile.
func (k *knee) observe(route string, took time.Duration, share float64) {
	if share > roomy && share < crowded {
		return
	}
	if k.routes == nil {
		k.routes = map[string]*occupancy{}
	}
	o := k.routes[route]
	if o == nil {
		o = &occupancy{}
		k.routes[route] = o
	}
	if share >= crowded {
		o.crowded.add(took.Seconds())
	} else {
		o.roomy.add(took.Seconds())
	}
	k.compare()
}

// compare takes the routes together.
func (k *knee) compare() {
	weight, sum := 0.0, 0.0
	for _, o := range k.routes {
		compared := float64(min(o.crowded.size(), o.roomy.size()))
		if compared < minPart || o.roomy.value() <= 0 {
			continue
		}
		weight += compared
		sum += compared * o.crowded.value() / o.roomy.value()
	}
	if weight > 0 {
		k.own = SaturationEstimate{Slowdown: sum / weight, Samples: weight}
	}
}

// all returns what is known of the upstreams of the service. What was found
// earlier makes up for the comparisons that are still missing.
func (k *knee) all() SaturationEstimate {
	fresh := k.own.Merge(k.others)
	past := k.past
	past.Samples = min(past.Samples, max(0, minCompared-fresh.Samples))
	return fresh.Merge(past)
}

// successor returns the knee of the next upstream of the same service.
func (k *knee) successor() knee { return knee{past: k.all(), found: k.found} }

// share returns the part of the slots that calls should use.
func (k *knee) share() float64 {
	if all := k.all(); all.Samples >= minCompared {
		k.found = all.Slowdown > slowsDown || (k.found && all.Slowdown > recovered)
	}
	if k.found {
		return kneeShare
	}
	return 1
}
