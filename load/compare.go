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
	LeastLatency      PolicyName = "estimating"
	Random            PolicyName = "random"
	RoundRobin        PolicyName = "round-robin"
	LeastReportedLoad PolicyName = "least-reported"
	Participation     PolicyName = "participation"
)

// Policies lists all policies, the default one of the nodes first.
func Policies() []PolicyName {
	return []PolicyName{LeastLatency, Random, RoundRobin, LeastReportedLoad, Participation}
}

// newPolicy returns a constructor that seeds each policy differently.
func newPolicy(name PolicyName, seed uint64) func() routing.Policy {
	var constructed atomic.Uint64
	return func() routing.Policy {
		rng := rand.New(rand.NewPCG(seed, constructed.Add(1)))
		switch name {
		case Random:
			return routing.NewRandom(rng)
		case RoundRobin:
			return routing.NewRoundRobin(rng.IntN(1000))
		case LeastReportedLoad:
			return routing.NewLeastReportedLoad(rng)
		case Participation:
			return routing.NewParticipation(rng)
		case LeastLatency:
		}
		return routing.NewLeastLatency(rng)
	}
}

// Scenario is an offered load with optional changes of the fleet.
type Scenario struct {
	name string
	// offeredLoad is a share of the capacity of all upstreams of the service.
	offeredLoad float64
	// prepare changes the fleet before the first call, event during the
	// measurement.
	prepare func(fleet *deployment.Deployment)
	event   func(fleet *deployment.Deployment)
}

// Name returns the scenario's name.
func (s Scenario) Name() string { return s.name }

const (
	comparedService   = "etalase"
	serviceTime       = 40 * time.Millisecond
	callTimeout       = time.Second
	warmup            = 600 * time.Millisecond
	eventDelay        = 300 * time.Millisecond
	stragglerSlowdown = 10
	startTimeout      = 20 * time.Second
	// maxStall is the longest stall of this process in a valid run.
	maxStall = 25 * time.Millisecond
	// maxAttempts limits how often a run is attempted because of stalls.
	maxAttempts = 5
)

// Scenarios lists all scenarios.
func Scenarios() []Scenario {
	first := func(fleet *deployment.Deployment) *deployment.Member { return fleet.Members[0] }
	return []Scenario{
		{name: "steady-50", offeredLoad: 0.5},
		{name: "steady-85", offeredLoad: 0.85},
		{name: "shift", offeredLoad: 0.5, prepare: func(fleet *deployment.Deployment) {
			for _, member := range fleet.Members {
				member.Upstream.SetVariableSpeed(true)
			}
		}},
		{name: "straggler", offeredLoad: 0.6, event: func(fleet *deployment.Deployment) {
			first(fleet).Upstream.SetServiceTimeFactor(stragglerSlowdown)
		}},
		{name: "fail-fast", offeredLoad: 0.6, event: func(fleet *deployment.Deployment) {
			first(fleet).Upstream.SetRejectAll(true)
		}},
		{name: "drain", offeredLoad: 0.6, event: func(fleet *deployment.Deployment) {
			first(fleet).Upstream.SetState(upstream.StateDraining)
		}},
		{name: "domain-lost", offeredLoad: 0.5, event: func(fleet *deployment.Deployment) {
			fleet.FailDomain(fleet.Members[1].Domain)
		}},
		{name: "full-100", offeredLoad: 1},
		{name: "rush-130", offeredLoad: 1.3},
	}
}

// Row holds the results of one policy in one scenario, over all seeds.
type Row struct {
	Scenario string
	Policy   PolicyName
	Calls    int
	OnTime   int
	// P50, P99 and P999 are medians over the seeds, of the latency of all calls.
	P50  time.Duration
	P99  time.Duration
	P999 time.Duration
	// Remote, Retries, Probes and ProbeBytes are divided by Calls, but include
	// the warm-up. Remote counts calls attempted in another failure domain.
	Remote     float64
	Retries    float64
	Probes     float64
	ProbeBytes float64
	// Goodput is the number of on-time calls a second.
	Goodput float64
	// Repeats counts runs discarded because of a stall, Stalled those kept
	// despite one because no attempts were left.
	Repeats int
	Stalled int
}

// Comparison configures Compare.
type Comparison struct {
	// Shape is the fleet; calls go to its first service only.
	Shape     deployment.Shape
	Policies  []PolicyName
	Scenarios []Scenario
	Seeds     []uint64
	// Duration of the measurement in each run, after the warm-up.
	Duration time.Duration
	// Progress gets a line about each run.
	Progress io.Writer
}

// Compare runs every policy in every scenario with every seed. The policies
// alternate within a seed; the rows are ordered by scenario, then policy.
func Compare(ctx context.Context, c Comparison) ([]Row, error) {
	var rows []Row
	for _, scenario := range c.Scenarios {
		runs := make([][]runResult, len(c.Policies))
		for _, seed := range c.Seeds {
			for i, policy := range c.Policies {
				run, err := c.runWithoutStall(ctx, scenario, policy, seed)
				if err != nil {
					return rows, fmt.Errorf("scenario %s, policy %s, seed %d: %w", scenario.name, policy, seed, err)
				}
				runs[i] = append(runs[i], run)
				_, _ = fmt.Fprintf(c.Progress, "%s %s seed %d: p99 %s, on time %d of %d\n", scenario.name, policy, seed,
					milliseconds(run.serviceResult.OverallQuantile(99)), run.serviceResult.OnTime, run.serviceResult.Calls)
			}
		}
		for i, policy := range c.Policies {
			rows = append(rows, aggregate(scenario.name, policy, c.Duration, runs[i]))
		}
	}
	return rows, nil
}

// runWithoutStall repeats a run during which this process stalled for longer
// than maxStall.
func (c Comparison) runWithoutStall(ctx context.Context, scenario Scenario, policy PolicyName, seed uint64) (runResult, error) {
	for attempt := 1; ; attempt++ {
		run, err := c.runOnce(ctx, scenario, policy, seed)
		if err != nil || run.stall <= maxStall || attempt == maxAttempts {
			run.repeats = attempt - 1
			return run, err
		}
		_, _ = fmt.Fprintf(c.Progress, "%s %s seed %d: repeated after a stall of %s\n",
			scenario.name, policy, seed, milliseconds(run.stall))
	}
}

// runResult holds the measurements of one run.
type runResult struct {
	stall   time.Duration
	repeats int

	serviceResult *ServiceResult
	remote        int64
	stats         node.Stats
}

func (c Comparison) runOnce(ctx context.Context, scenario Scenario, policy PolicyName, seed uint64) (runResult, error) {
	shape := c.Shape
	shape.ServiceTime = serviceTime
	var remote atomic.Int64
	observe := func(o entry.Observation) {
		if o.Remote {
			remote.Add(1)
		}
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	fleet, err := deployment.Start(startCtx, shape, deployment.WithSeed(seed),
		deployment.WithNodeOptions(node.WithPolicy(newPolicy(policy, seed)), node.WithObserver(observe)))
	if err != nil {
		return runResult{}, err
	}
	defer fleet.Close()
	if scenario.prepare != nil {
		scenario.prepare(fleet)
	}
	plan := Plan{Duration: c.Duration, Seed: seed, Warmup: warmup}
	if scenario.event != nil {
		plan.Events = []Event{{After: eventDelay, Do: func() { scenario.event(fleet) }}}
	}
	service := shape.Services[0]
	capacity := float64(service.Upstreams*shape.Slots) / serviceTime.Seconds()
	result := Run(ctx, fleet, []Stream{{
		Service: service.Name, Rate: capacity * scenario.offeredLoad, Timeout: callTimeout,
	}}, plan)
	run := runResult{serviceResult: result.Service(service.Name), remote: remote.Load(), stall: result.Stall()}
	for _, member := range fleet.Members {
		stats := member.Node.Stats()
		run.stats.Retries += stats.Retries
		run.stats.Probes += stats.Probes
		run.stats.ProbeBytes += stats.ProbeBytes
	}
	return run, nil
}

// aggregate takes the median of each quantile over the seeds, and divides the
// sums of Remote, Retries, Probes and ProbeBytes by the number of calls.
func aggregate(scenario string, policy PolicyName, duration time.Duration, runs []runResult) Row {
	row := Row{Scenario: scenario, Policy: policy}
	var p50, p99, p999 []time.Duration
	var remote, retries, probes, probeBytes float64
	for _, run := range runs {
		row.Calls += run.serviceResult.Calls
		row.OnTime += run.serviceResult.OnTime
		row.Repeats += run.repeats
		if run.stall > maxStall {
			row.Stalled++
		}
		p50 = append(p50, run.serviceResult.OverallQuantile(50))
		p99 = append(p99, run.serviceResult.OverallQuantile(99))
		p999 = append(p999, run.serviceResult.OverallQuantile(99.9))
		remote += float64(run.remote)
		retries += float64(run.stats.Retries)
		probes += float64(run.stats.Probes)
		probeBytes += float64(run.stats.ProbeBytes)
	}
	row.P50, row.P99, row.P999 = median(p50), median(p99), median(p999)
	calls := float64(max(row.Calls, 1))
	row.Remote, row.Retries = remote/calls, retries/calls
	row.Probes, row.ProbeBytes = probes/calls, probeBytes/calls
	row.Goodput = float64(row.OnTime) / (duration.Seconds() * float64(len(runs)))
	return row
}

func median(values []time.Duration) time.Duration {
	slices.Sort(values)
	return values[len(values)/2]
}
