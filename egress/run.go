package egress

import (
	"maps"
	"time"

	"github.com/go-kit/log/level"

	"github.com/banyancross/banyancross/hop"
)

// Run is a call that the upstream is running.
type Run struct {
	// Depth is the number of calls above this one in its call chain.
	Depth int
	// Repeated means that the request was sent to an upstream before.
	Repeated bool

	// Organisation is the organisation of the caller, "" for none.
	Organisation string

	route   string
	started time.Time
	// utilization is the share of the slots in use when the run started.
	utilization float64
	// baselineSpeed means that the host was not slowed down when the run started.
	baselineSpeed bool
	// calls counts the calls that the run makes, by the called service.
	calls map[string]int
}

// maxBaselineSlowdown is the slowdown up to which a host counts as not slowed down.
const maxBaselineSlowdown = 1.2

// trackRun records the start of a run and returns it with the function that records its
// end.
func (g *Gate) trackRun(meta hop.Meta) (run *Run, recordEnd func(answered bool)) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	run = &Run{
		Depth: meta.Depth, Repeated: meta.Repeated, Organisation: meta.Organisation, route: meta.Route, started: now,
		utilization: g.slotUtilization(now), baselineSpeed: g.health.slowdownAt(now) <= maxBaselineSlowdown,
		calls: map[string]int{},
	}
	g.runs[meta.ID] = run
	instance := g.upstream.instance
	return run, func(answered bool) {
		now := g.clock.Now()
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.runs[meta.ID] == run {
			delete(g.runs, meta.ID)
		}
		if answered {
			g.recordRunTime(run.route, now.Sub(run.started))
		}
		if answered && len(run.calls) == 0 && run.baselineSpeed && g.health.slowdownAt(now) <= maxBaselineSlowdown && g.upstream.instance == instance {
			g.saturation.observe(run.route, now.Sub(run.started), (run.utilization+g.slotUtilization(now))/2)
			g.updateSlotShare()
		}
	}
}

// SetPeerEstimate sets the merged estimate of the service's other upstreams.
func (g *Gate) SetPeerEstimate(others SaturationEstimate) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.saturation.others = others
	if g.admission != nil {
		g.updateSlotShare()
	}
}

// RestoreEstimate sets the stored estimate of a service's upstreams.
func (g *Gate) RestoreEstimate(service string, estimate SaturationEstimate) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.restored[service] = estimate
	if g.admission != nil && g.upstream.service == service && g.saturation.previous.Samples == 0 {
		g.saturation.previous = estimate
		g.updateSlotShare()
	}
}

// Estimate returns the service of the upstream and the estimate for the service,
// merged from this upstream, its peers and earlier ones.
func (g *Gate) Estimate() (string, SaturationEstimate) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.upstream.service, g.saturation.combined()
}

// inheritedSaturation returns the initial estimate of a new upstream; g.mu is held.
func (g *Gate) inheritedSaturation(service string) saturation {
	if service == g.upstream.service {
		return g.saturation.successor()
	}
	return saturation{previous: g.restored[service]}
}

// updateSlotShare sets the share of the slots that calls may use; g.mu is held.
func (g *Gate) updateSlotShare() {
	slowsDown := g.saturation.slowsDown
	g.admission.SetMaxUtilization(g.saturation.slotShare())
	if g.saturation.slowsDown != slowsDown {
		_ = level.Info(g.logger).Log("event", "knee", "upstream", g.upstream.instance, "slows-down-when-full", g.saturation.slowsDown,
			"ratio", g.saturation.own.Slowdown, "compared", g.saturation.own.Samples,
			"others-ratio", g.saturation.others.Slowdown, "others-compared", g.saturation.others.Samples,
			"earlier-ratio", g.saturation.previous.Slowdown, "earlier-compared", g.saturation.previous.Samples)
		g.notifySaturation()
	}
}

// recordRunTime adds a run time to the mean of a route; g.mu is held.
func (g *Gate) recordRunTime(route string, runTime time.Duration) {
	m := g.runTimes[route]
	if m == nil {
		m = &movingMean{}
		g.runTimes[route] = m
	}
	m.add(runTime.Seconds())
}

// runTimeWindow is the number of runs that a route's mean run time covers.
const runTimeWindow = 200

// movingMean is a mean over about the last runTimeWindow samples.
type movingMean struct {
	value float64
	count float64
}

func (m *movingMean) add(sample float64) {
	m.count = min(m.count+1, runTimeWindow)
	m.value += (sample - m.value) / m.count
}

// expectedRunTime returns the mean run time of a route, 0 without samples.
func (g *Gate) expectedRunTime(route string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.runTimes[route]; m != nil {
		return time.Duration(m.value * float64(time.Second))
	}
	return 0
}

// slotUtilization returns the share of the slots in use; g.mu is held.
func (g *Gate) slotUtilization(now time.Time) float64 {
	return float64(g.admission.Load(now).Running) / float64(max(g.upstream.slots, 1))
}

// RecordNestedCalls counts calls to a service that the run of request id makes, which may
// be none, and returns that run if it is running here.
func (g *Gate) RecordNestedCalls(id, service string, calls int) (Run, bool) {
	if id == "" {
		return Run{}, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	run := g.runs[id]
	if run == nil {
		return Run{}, false
	}
	if calls > 0 {
		run.calls[service] += calls
	}
	return *run, true
}

// nestedCalls returns the calls that a run has made so far, by the called service.
func (g *Gate) nestedCalls(run *Run) map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(run.calls)
}
