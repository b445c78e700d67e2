package capacity

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/banyancross/banyancross/deployment"
	"github.com/banyancross/banyancross/note"
)

const (
	startTimeout = 60 * time.Second
	// idleWarmup is the time from the start of a fleet to its measurement.
	idleWarmup      = 4 * time.Second
	convergeTimeout = 30 * time.Second
	publishRounds   = 5
)

// cpuTime returns the processor time used by this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryInUse returns the bytes of live heap and stacks after a garbage
// collection.
func memoryInUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// fleetSeries holds a series for each quantity measured against the size of the
// fleet.
type fleetSeries struct {
	bytes, messages, cpu, memory, connections, platform, converge, leave *Series
}

func newFleetSeries() *fleetSeries {
	series := func(name, unit string) *Series { return &Series{Name: name, Unit: unit, XLabel: "nodes"} }
	return &fleetSeries{
		bytes:       series("control bytes per node, in and out", "B/s"),
		messages:    series("control messages per node, in and out", "1/s"),
		cpu:         series("idle processor share per host, stand-ins included", "% of a core"),
		memory:      series("memory per host, stand-ins included", "MB"),
		connections: series("control connections opened per node", "1"),
		platform:    series("platform calls of the fleet", "1/s"),
		converge:    series("release note in force on every node, worst of five", "ms"),
		leave:       series("leaving upstream known on every node", "ms"),
	}
}

func (f *fleetSeries) all() []*Series {
	return []*Series{f.bytes, f.messages, f.cpu, f.memory, f.connections, f.platform, f.converge, f.leave}
}

// MeasureIdleFleets measures fleets without calls, of the given sizes, each over
// span, and the propagation of changes in them.
func MeasureIdleFleets(ctx context.Context, sizes []int, span time.Duration) ([]*Series, error) {
	f := newFleetSeries()
	for _, size := range sizes {
		if err := f.measure(ctx, size, span); err != nil {
			return nil, fmt.Errorf("fleet of %d: %w", size, err)
		}
	}
	return f.all(), nil
}

func (f *fleetSeries) measure(ctx context.Context, size int, span time.Duration) error {
	baseline := memoryInUse()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	fleet, err := deployment.Start(startCtx, deployment.Sized(size))
	if err != nil {
		return err
	}
	defer fleet.Close()
	time.Sleep(idleWarmup)
	f.measureIdle(fleet, baseline, span)
	if err := f.measureConvergence(ctx, fleet); err != nil {
		return err
	}
	return f.measureLeaving(ctx, fleet)
}

// sumStats sums the Stats of all nodes.
func sumStats(fleet *deployment.Deployment) (bytes, messages, platform, connections float64) {
	for _, member := range fleet.Members {
		stats := member.Node.Stats()
		bytes += float64(stats.ControlBytes)
		messages += float64(stats.ControlMessages)
		platform += float64(stats.PlatformCalls)
		connections += float64(stats.Connections)
	}
	return bytes, messages, platform, connections
}

// measureIdle records what the nodes use within span. baseline is the memory in
// use before the fleet was started.
func (f *fleetSeries) measureIdle(fleet *deployment.Deployment, baseline float64, span time.Duration) {
	n := float64(len(fleet.Members))
	bytes, messages, platform, _ := sumStats(fleet)
	cpu := cpuTime()
	time.Sleep(span)
	cpuUsed := cpuTime() - cpu
	bytesAfter, messagesAfter, platformAfter, connections := sumStats(fleet)
	seconds := span.Seconds()
	f.bytes.add(n, (bytesAfter-bytes)/seconds/n)
	f.messages.add(n, (messagesAfter-messages)/seconds/n)
	f.platform.add(n, (platformAfter-platform)/seconds)
	f.connections.add(n, connections/n)
	f.cpu.add(n, 100*cpuUsed.Seconds()/seconds/n)
	f.memory.add(n, (memoryInUse()-baseline)/n/1e6)
}

// measureConvergence publishes release notes through different nodes and records
// the longest time until every node has one in force.
func (f *fleetSeries) measureConvergence(ctx context.Context, fleet *deployment.Deployment) error {
	slowest := time.Duration(0)
	for i := range publishRounds {
		document, err := note.Parse("n.toml", fmt.Appendf(nil, "id = \"change-%d\"\n[service.service-1]\nslots = %d\n", i, 8+i))
		if err != nil {
			return err
		}
		node := fleet.Members[i*len(fleet.Members)/publishRounds].Node
		started := time.Now()
		state, err := node.Publish(ctx, document, node.State().Revision, "")
		if err != nil {
			return err
		}
		err = f.wait(ctx, fleet, func() bool {
			for _, member := range fleet.Members {
				if member.Node.State().Revision < state.Revision {
					return false
				}
			}
			return true
		})
		if err != nil {
			return err
		}
		slowest = max(slowest, time.Since(started))
	}
	f.converge.add(float64(len(fleet.Members)), milliseconds(slowest))
	return nil
}

// measureLeaving records the time until no node has a leaving upstream among its
// targets.
func (f *fleetSeries) measureLeaving(ctx context.Context, fleet *deployment.Deployment) error {
	leaving := fleet.Members[len(fleet.Members)/2]
	started := time.Now()
	leaving.Upstream.SetState("leaving")
	err := f.wait(ctx, fleet, func() bool {
		for _, member := range fleet.Members {
			for _, target := range member.Node.Targets(leaving.Service) {
				if target.Upstream() == leaving.Upstream.Name() {
					return false
				}
			}
		}
		return true
	})
	f.leave.add(float64(len(fleet.Members)), milliseconds(time.Since(started)))
	return err
}

func (f *fleetSeries) wait(ctx context.Context, fleet *deployment.Deployment, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, convergeTimeout)
	defer cancel()
	return fleet.Wait(ctx, condition)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
