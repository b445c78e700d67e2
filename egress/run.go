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
	// share is the part of the slots in use when the run began.
	share float64
	// usual tells that the host was at its usual speed when the run began.
	usual bool
	// calls counts the calls that the run makes.
	calls int
}

const (
	// callWindow is how many runs the fanout is averaged over.
	callWindow = 200
	// usualSpeed is the slowdown up to which a host counts as being at its
	// usual speed.
	usualSpeed = 1.2
)

// callCounts counts the calls that the upstream's runs make to other upstreams.
type callCounts struct {
	runs, calls float64
}

// fanout returns how many calls a run makes on average.
func (c callCounts) fanout() float32 {
	if c.runs == 0 {
		return 0
	}
	return float32(c.calls / c.runs)
}

// ran records a run. Old runs lose their weight when the window is full.
func (c *callCounts) ran() {
	if c.runs >= callWindow {
		c.runs, c.calls = c.runs/2, c.calls/2
	}
	c.runs++
}

// track records that a call runs, and returns what records its end.
func (g *Gate) track(meta hop.Meta) func(answered bool) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	run := &Run{
		Depth: meta.Depth, Repeated: meta.Repeated, route: meta.Route, started: now,
		share: g.occupied(now), usual: g.health.slowdownAt(now) <= usualSpeed,
	}
	g.runs[meta.ID] = run
	g.calls.ran()
	instance := g.upstream.instance
	return func(answered bool) {
		now := g.clock.Now()
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.runs[meta.ID] == run {
			delete(g.runs, meta.ID)
		}
		if answered {
			g.observeTime(run.route, now.Sub(run.started))
		}
		if answered && run.calls == 0 && run.usual && g.health.slowdownAt(now) <= usualSpeed && g.upstream.instance == instance {
			g.knee.observe(run.route, now.Sub(run.started), (run.share+g.occupied(now))/2)
			g.decideKnee()
		}
	}
}

// Compare takes what was found beside the other upstreams of the service.
func (g *Gate) Compare(others Finding) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.knee.others = others
	if g.admission != nil {
		g.decideKnee()
	}
}

// Recall takes what was found earlier about the upstreams of a service.
func (g *Gate) Recall(service string, f Finding) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recalled[service] = f
	if g.admission != nil && g.upstream.service == service && g.knee.past.Compared == 0 {
		g.knee.past = f
		g.decideKnee()
	}
}

// Found returns the service of the upstream and what is known of its upstreams
// from here and from the beacons of others.
func (g *Gate) Found() (string, Finding) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.upstream.service, g.knee.all()
}

// inherited returns what is known of an upstream that has just appeared; g.mu is
// held.
func (g *Gate) inherited(service string) knee {
	if service == g.upstream.service {
		return g.knee.successor()
	}
	return knee{past: g.recalled[service]}
}

// decideKnee sets how many of the slots are used; g.mu is held.
func (g *Gate) decideKnee() {
	found := g.knee.found
	g.admission.SetMaxUtilization(g.knee.share())
	if g.knee.found != found {
		_ = level.Info(g.logger).Log("event", "knee", "upstream", g.upstream.instance, "slows-down-when-full", g.knee.found,
			"ratio", g.knee.own.Crowding, "compared", g.knee.own.Compared,
			"others-ratio", g.knee.others.Crowding, "others-compared", g.knee.others.Compared,
			"earlier-ratio", g.knee.past.Crowding, "earlier-compared", g.knee.past.Compared)
		g.notifyFound()
	}
}

// observeTime records how long a run of a route took; g.mu is held.
func (g *Gate) observeTime(route string, took time.Duration) {
	m := g.times[route]
	if m == nil {
		m = &mean{}
		g.times[route] = m
	}
	m.add(took.Seconds())
}

// meanWindow is how many runs the usual time of a route is a mean over.
const meanWindow = 200

// mean is a mean that forgets.
type mean struct {
	value float64
	count float64
}

func (m *mean) add(sample float64) {
	m.count = min(m.count+1, meanWindow)
	m.value += (sample - m.value) / m.count
}

// expected returns how long a run of a route usually takes, 0 when that is not
// known.
func (g *Gate) expected(route string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.times[route]; m != nil {
		return time.Duration(m.value * float64(time.Second))
	}
	return 0
}

// occupied returns the share of the slots in use; g.mu is held.
func (g *Gate) occupied(now time.Time) float64 {
	return float64(g.admission.Load(now).Running) / float64(max(g.upstream.slots, 1))
}

// Caller returns the run with an identity that makes a call, if it runs here.
func (g *Gate) Caller(id string) (Run, bool) {
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
	g.calls.calls++
	return *run, true
}
