package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/banyancross/banyancross/deployment"
	"github.com/banyancross/banyancross/entry"
	"github.com/banyancross/banyancross/node"
	"github.com/banyancross/banyancross/routing"
	"github.com/banyancross/banyancross/upstream"
)

// PolicyName names a routing policy.
type PolicyName string

// The policies that can be compared.
const (
	Estimating    PolicyName = "estimating"
	Random        PolicyName = "random"
	RoundRobin    PolicyName = "round-robin"
	LeastReported PolicyName = "least-reported"
	Participation PolicyName = "participation"
)

// Policies lists all policies, the product's own first.
func Policies() []PolicyName {
	return []PolicyName{Estimating, Random, RoundRobin, LeastReported, Participation}
}

// newPolicy returns a constructor whose policies draw from seeds of their own.
func newPolicy(name PolicyName, seed uint64) func() routing.Policy {
	var made atomic.Uint64
	return func() routing.Policy {
		rng := rand.New(rand.NewPCG(seed, made.Add(1)))
		switch name {
		case Random:
			return routing.NewRandom(rng)
		case RoundRobin:
			return routing.NewRoundRobin(rng.IntN(1000))
		case LeastReported:
			return routing.NewLeastReportedLoad(rng)
		case Participation:
			return routing.NewParticipation(rng)
		case Estimating:
		}
		return routing.NewLeastLatency(rng)
	}
}

// Scenario is a load with something that happens under it.
type Scenario struct {
	name string
	// share of the capacity of the whole service that is sent.
	share  float64
	before func(fleet *deployment.Deployment)
	event  func(fleet *deployment.Deployment)
}

// Name returns the scenario's name.
func (s Scenario) Name() string { return s.name }

const (
	comparedService = "etalase"
	comparedTime    = 40 * time.Millisecond
	comparedTimeout = time.Second
	warmup          = 600 * time.Millisecond
	eventAfter      = 300 * time.Millisecond
	stragglerFactor = 10
	startLimit      = 20 * time.Second
	// maxStall is the longest stall of the measuring process in a valid run.
	maxStall   = 25 * time.Millisecond
	maxRepeats = 5
)

// Scenarios lists all scenarios.
func Scenarios() []Scenario {
	first := func(fleet *deployment.Deployment) *deployment.Member { return fleet.Members[0] }
	return []Scenario{
		{name: "steady-50", share: 0.5},
		{name: "steady-85", share: 0.85},
		{name: "shift", share: 0.5, before: func(fleet *deployment.Deployment) {
			for _, member := range fleet.Members {
				member.Upstream.SetVariableSpeed(true)
			}
		}},
		{name: "straggler", share: 0.6, event: func(fleet *deployment.Deployment) {
			first(fleet).Upstream.SetServiceTimeFactor(stragglerFactor)
		}},
		{name: "fail-fast", share: 0.6, event: func(fleet *deployment.Deployment) {
			first(fleet).Upstream.SetRejectAll(true)
		}},
		{name: "drain", share: 0.6, event: func(fleet *deployment.Deployment) {
			first(fleet).Upstream.SetState(upstream.StateDraining)
		}},
		{name: "domain-lost", share: 0.5, event: func(fleet *deployment.Deployment) {
			fleet.LoseDomain(fleet.Members[1].Domain)
		}},
		{name: "full-100", share: 1},
		{name: "rush-130", share: 1.3},
	}
}

// Row is what one policy did in one scenario, over all seeds.
type Row struct {
	Scenario   string
	Policy     PolicyName
	Calls      int
	OnTime     int
	P50        time.Duration
	P99        time.Duration
	P999       time.Duration
	Remote     float64
	Retries    float64
	Probes     float64
	ProbeBytes float64
	Goodput    float64
	// Repeats counts runs that were thrown away because of a stall, and
	// Stalled those that were kept with one.
	Repeats int
	Stalled int
}

// Comparison says what to compare.
type Comparison struct {
	// Shape is the fleet; only its service etalase is used, or its first.
	Shape     deployment.Shape
	Policies  []PolicyName
	Scenarios []Scenario
	Seeds     []uint64
	Duration  time.Duration
	// Progress is told about each run.
	Progress io.Writer
}

// Compare runs every policy in every scenario with every seed, the policies in
// turn, and returns the rows in order.
func Compare(ctx context.Context, c Comparison) ([]Row, error) {
	var rows []Row
	for _, scenario := range c.Scenarios {
		samples := make([][]sample, len(c.Policies))
		for _, seed := range c.Seeds {
			for i, policy := range c.Policies {
				found, err := c.undisturbed(ctx, scenario, policy, seed)
				if err != nil {
					return rows, fmt.Errorf("scenario %s, policy %s, seed %d: %w", scenario.name, policy, seed, err)
				}
				samples[i] = append(samples[i], found)
				_, _ = fmt.Fprintf(c.Progress, "%s %s seed %d: p99 %s, on time %d of %d\n", scenario.name, policy, seed,
					milliseconds(found.count.Felt(99)), found.count.OnTime, found.count.Calls)
			}
		}
		for i, policy := range c.Policies {
			rows = append(rows, merge(scenario.name, policy, c.Duration, samples[i]))
		}
	}
	return rows, nil
}

// undisturbed repeats a run during which this process was kept from running.
func (c Comparison) undisturbed(ctx context.Context, scenario Scenario, policy PolicyName, seed uint64) (sample, error) {
	for attempt := 1; ; attempt++ {
		found, err := c.one(ctx, scenario, policy, seed)
		if err != nil || found.stall <= maxStall || attempt == maxRepeats {
			found.repeats = attempt - 1
			return found, err
		}
		_, _ = fmt.Fprintf(c.Progress, "%s %s seed %d: repeated after a stall of %s\n",
			scenario.name, policy, seed, milliseconds(found.stall))
	}
}

// sample is one run.
type sample struct {
	stall   time.Duration
	repeats int

	count   *Count
	remote  int64
	figures node.Stats
}

func (c Comparison) one(ctx context.Context, scenario Scenario, policy PolicyName, seed uint64) (sample, error) {
	shape := c.Shape
	shape.ServiceTime = comparedTime
	var remote atomic.Int64
	observe := func(o entry.Observation) {
		if o.Remote {
			remote.Add(1)
		}
	}
	startCtx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	fleet, err := deployment.Start(startCtx, shape, deployment.WithSeed(seed),
		deployment.WithNode(node.WithPolicy(newPolicy(policy, seed)), node.WithObserver(observe)))
	if err != nil {
		return sample{}, err
	}
	defer fleet.Close()
	if scenario.before != nil {
		scenario.before(fleet)
	}
	plan := Plan{Duration: c.Duration, Seed: seed, Warmup: warmup}
	if scenario.event != nil {
		plan.Events = []Event{{After: eventAfter, Do: func() { scenario.event(fleet) }}}
	}
	service := shape.Services[0]
	capacity := float64(service.Upstreams*shape.Slots) / comparedTime.Seconds()
	result := Run(ctx, fleet, []Stream{{
		Service: service.Name, Rate: capacity * scenario.share, Timeout: comparedTimeout,
	}}, plan)
	found := sample{count: result.Service(service.Name), remote: remote.Load(), stall: result.Stall()}
	for _, member := range fleet.Members {
		figures := member.Node.Stats()
		found.figures.Retries += figures.Retries
		found.figures.Probes += figures.Probes
		found.figures.ProbeBytes += figures.ProbeBytes
	}
	return found, nil
}

// merge takes the median of each quantile over the seeds and the mean of each
// share.
func merge(scenario string, policy PolicyName, duration time.Duration, samples []sample) Row {
	row := Row{Scenario: scenario, Policy: policy}
	var p50, p99, p999 []time.Duration
	var remote, retries, probes, probeBytes float64
	for _, s := range samples {
		row.Calls += s.count.Calls
		row.OnTime += s.count.OnTime
		row.Repeats += s.repeats
		if s.stall > maxStall {
			row.Stalled++
		}
		p50 = append(p50, s.count.Felt(50))
		p99 = append(p99, s.count.Felt(99))
		p999 = append(p999, s.count.Felt(99.9))
		remote += float64(s.remote)
		retries += float64(s.figures.Retries)
		probes += float64(s.figures.Probes)
		probeBytes += float64(s.figures.ProbeBytes)
	}
	row.P50, row.P99, row.P999 = median(p50), median(p99), median(p999)
	calls := float64(max(row.Calls, 1))
	row.Remote, row.Retries = remote/calls, retries/calls
	row.Probes, row.ProbeBytes = probes/calls, probeBytes/calls
	row.Goodput = float64(row.OnTime) / (duration.Seconds() * float64(len(samples)))
	return row
}

func median(values []time.Duration) time.Duration {
	slices.Sort(values)
	return values[len(values)/2]
}
