package egress

import "time"

const (
	// crowded and roomy are the shares of the slots in use above and below which
	// runs are compared.
	crowded = 0.85
	roomy   = 0.75
	// minCompared is how many runs of either kind say something, over all
	// upstreams of the service, and minPart the same for one route at one.
	minCompared = 12
	minPart     = 2
	// maxCompared is how many runs a mean is taken over, so that it follows an
	// upstream that changes.
	maxCompared = 200
	// outlier bounds a run relative to the usual one: a host that turned slow
	// in the middle of a run says nothing of the slots.
	outlier = 3
	// slowsDown is how much longer runs take when nearly all slots are in use,
	// from which fewer slots do more: it is the inverse of kneeShare.
	slowsDown = 1 / kneeShare
	// kneeShare is the share of the slots that is used of an upstream that
	// slows down when nearly full.
	kneeShare = 0.8
	// recovered is the ratio at which all slots are used again.
	recovered = 1.1
)

// mean is a mean that forgets.
type mean struct {
	value float64
	count float64
}

func (m *mean) add(sample float64) {
	m.count = min(m.count+1, maxCompared)
	m.value += (sample - m.value) / m.count
}

// knee compares how long runs take when many of the slots are in use and when
// few are, route by route, since routes differ in their work.
type knee struct {
	routes map[string]*occupancy
	found  bool
	// ratio is how much longer runs take in a crowd, over weight comparisons.
	ratio, weight float64
	// othersRatio and othersWeight are the same for the service's other upstreams.
	othersRatio, othersWeight float64
}

// occupancy holds the run times of a route.
type occupancy struct {
	crowded, roomy mean
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
	sample := took.Seconds()
	if o.roomy.count > minPart {
		sample = min(sample, outlier*o.roomy.value)
	}
	if share >= crowded {
		o.crowded.add(sample)
	} else {
		o.roomy.add(sample)
	}
}

// share returns the part of the slots that calls should use.
func (k *knee) share() float64 {
	weight, sum := 0.0, 0.0
	for _, o := range k.routes {
		compared := min(o.crowded.count, o.roomy.count)
		if compared < minPart || o.roomy.value <= 0 {
			continue
		}
		weight += compared
		sum += compared * o.crowded.value / o.roomy.value
	}
	if weight > 0 {
		k.ratio, k.weight = sum/weight, weight
	}
	if all := k.weight + k.othersWeight; all >= minCompared {
		ratio := (k.ratio*k.weight + k.othersRatio*k.othersWeight) / all
		k.found = ratio > slowsDown || (k.found && ratio > recovered)
	}
	if k.found {
		return kneeShare
	}
	return 1
}
