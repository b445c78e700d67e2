package egress

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/banyancross/banyancross/hop"
)

// Run is a call that runs at the upstream.
type Run struct {
	// Depth counts the calls above this one in its chain.
	Depth int
	// Repeated tells that the request was sent to an upstream before.
	Repeated bool

	route   string
	started time.Time
	// utilization is the part of the slots in use when the run began.
	utilization float64
	// baselineSpeed tells that the host was at its baselineSpeed speed when the run began.
	baselineSpeed bool
	// calls counts the calls that the run makes.
	calls int
}

const (
	// fanoutWindow is how many runs the fanout is averaged over.
	fanoutWindow = 200
	// maxBaselineSlowdown is the slowdown up to which a host counts as being at its
	// usual speed.
	maxBaselineSlowdown = 1.2
)

// fanoutCounter counts the calls that the upstream's runs make to other upstreams.
type fanoutCounter struct {
	runs, calls float64
}

// average returns how many calls a run makes on average.
func (c fanoutCounter) average() float32 {
	if c.runs == 0 {
		return 0
	}
	return float32(c.calls / c.runs)
}

// recordRun records a run. Old runs lose their weight when the window is full.
func (c *fanoutCounter) recordRun() {
	if c.runs >= fanoutWindow {
		c.runs, c.calls = c.runs/2, c.calls/2
	}
	c.runs++
}

// trackRun records that a call runs, and returns what records its end.
func (g *Gate) trackRun(meta hop.Meta) func(answered bool) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	run := &Run{
		Depth: meta.Depth, Repeated: meta.Repeated, route: meta.Route, started: now,
		utilization: g.utilization(now), baselineSpeed: g.health.slowdownAt(now) <= maxBaselineSlowdown,
	}
	g.runs[meta.ID] = run
	g.fanout.recordRun()
	instance := g.upstream.instance
	return func(answered bool) {
		now := g.clock.Now()
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.runs[meta.ID] == run {
			delete(g.runs, meta.ID)
		}
		if answered {
			g.recordRunTime(run.route, now.Sub(run.started))
		}
		if answered && run.calls == 0 && run.baselineSpeed && g.health.slowdownAt(now) <= maxBaselineSlowdown && g.upstream.instance == instance {
			g.saturation.observe(run.route, now.Sub(run.started), (run.utilization+g.utilization(now))/2)
			g.updateSlotShare()
		}
	}
}

// SetPeerEstimate takes what was found beside the other upstreams of the service.
func (g *Gate) SetPeerEstimate(others SaturationEstimate) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.saturation.others = others
	if g.admission != nil {
		g.updateSlotShare()
	}
}

// RestoreEstimate takes what was found earlier about the upstreams of a service.
func (g *Gate) RestoreEstimate(service string, f SaturationEstimate) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.restored[service] = f
	if g.admission != nil && g.upstream.service == service && g.saturation.previous.Samples == 0 {
		g.saturation.previous = f
		g.updateSlotShare()
	}
}

// Estimate returns the service of the upstream and what is known of its upstreams
// from here and from the beacons of others.
func (g *Gate) Estimate() (string, SaturationEstimate) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.upstream.service, g.saturation.combined()
}

// inheritedSaturation returns what is known of an upstream that has just appeared; g.mu is
// held.
func (g *Gate) inheritedSaturation(service string) saturation {
	if service == g.upstream.service {
		return g.saturation.successor()
	}
	return saturation{previous: g.restored[service]}
}

// updateSlotShare sets how many of the slots are used; g.mu is held.
func (g *Gate) updateSlotShare() {
	before := g.saturation.slowsDown
	g.admission.SetMaxUtilization(g.saturation.slotShare())
	if g.saturation.slowsDown != before {
		_ = level.Info(g.logger).Log("event", "knee", "upstream", g.upstream.instance, "slows-down-when-full", g.saturation.slowsDown,
			"ratio", g.saturation.own.Slowdown, "compared", g.saturation.own.Samples,
			"others-ratio", g.saturation.others.Slowdown, "others-compared", g.saturation.others.Samples,
			"earlier-ratio", g.saturation.previous.Slowdown, "earlier-compared", g.saturation.previous.Samples)
		g.notifySaturation()
	}
}

// recordRunTime records how long a run of a route took; g.mu is held.
func (g *Gate) recordRunTime(route string, took time.Duration) {
	m := g.runTimes[route]
	if m == nil {
		m = &movingMean{}
		g.runTimes[route] = m
	}
	m.add(took.Seconds())
}

// runTimeWindow is how many runs the usual time of a route is a mean over.
const runTimeWindow = 200

// movingMean is a movingMean that forgets.
type movingMean struct {
	value float64
	count float64
}

func (m *movingMean) add(sample float64) {
	m.count = min(m.count+1, runTimeWindow)
	m.value += (sample - m.value) / m.count
}

// expectedRunTime returns how long a run of a route usually takes, 0 when that is not
// known.
func (g *Gate) expectedRunTime(route string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.runTimes[route]; m != nil {
		return time.Duration(m.value * float64(time.Second))
	}
	return 0
}

// utilization returns the share of the slots in use; g.mu is held.
func (g *Gate) utilization(now time.Time) float64 {
	return float64(g.admission.Load(now).Running) / float64(max(g.upstream.slots, 1))
}

// RecordNestedCall returns the run with an identity that makes a call, if it runs here.
func (g *Gate) RecordNestedCall(id string) (Run, bool) {
	if id == "" {
		return Run{}, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	run := g.runs[id]
	if run == nil {
		return Run{}, false
	}
	run.calls++
	g.fanout.calls++
	return *run, true
}
