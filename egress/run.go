package egress

import "github.com/banyancross/banyancross/hop"

// Run is a call that runs at the upstream.
type Run struct {
	// Depth counts the calls above this one in its chain.
	Depth int
	// Repeated tells that the request was sent to an upstream before.
	Repeated bool
}

// callWindow is how many runs the fanout is averaged over.
const callWindow = 200

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
func (g *Gate) track(meta hop.Meta) func() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runs[meta.ID] = Run{Depth: meta.Depth, Repeated: meta.Repeated}
	g.calls.ran()
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.runs, meta.ID)
	}
}

// Caller returns the run with an identity that makes a call, if it runs here.
func (g *Gate) Caller(id string) (Run, bool) {
	if id == "" {
		return Run{}, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	run, ok := g.runs[id]
	if ok {
		g.calls.calls++
	}
	return run, ok
}
