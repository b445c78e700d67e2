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
	startLimit    = 60 * time.Second
	settleSpan    = 4 * time.Second
	convergeLimit = 30 * time.Second
	convergeTries = 5
)

// cpuTime returns the processor time this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapInUse returns the bytes of live heap and stacks after a collection.
func heapInUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// fleetSeries are the quantities that depend on the size of the fleet.
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

// Fleets measures idle fleets of the given sizes, each for the given time.
func Fleets(ctx context.Context, sizes []int, span time.Duration) ([]*Series, error) {
	f := newFleetSeries()
	for _, size := range sizes {
		if err := f.measure(ctx, size, span); err != nil {
			return nil, fmt.Errorf("fleet of %d: %w", size, err)
		}
	}
	return f.all(), nil
}

func (f *fleetSeries) measure(ctx context.Context, size int, span time.Duration) error {
	empty := heapInUse()
	startCtx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	fleet, err := deployment.Start(startCtx, deployment.Sized(size))
	if err != nil {
		return err
	}
	defer fleet.Close()
	time.Sleep(settleSpan)
	f.idle(fleet, empty, span)
	if err := f.notes(ctx, fleet); err != nil {
		return err
	}
	return f.leaving(ctx, fleet)
}

// spent sums the running counts of all nodes.
func spent(fleet *deployment.Deployment) (bytes, messages, platform, connections float64) {
	for _, member := range fleet.Members {
		figures := member.Node.Stats()
		bytes += float64(figures.ControlBytes)
		messages += float64(figures.ControlMessages)
		platform += float64(figures.PlatformCalls)
		connections += float64(figures.Connections)
	}
	return bytes, messages, platform, connections
}

func (f *fleetSeries) idle(fleet *deployment.Deployment, empty float64, span time.Duration) {
	n := float64(len(fleet.Members))
	bytes, messages, platform, _ := spent(fleet)
	cpu := cpuTime()
	time.Sleep(span)
	usedCPU := cpuTime() - cpu
	bytesAfter, messagesAfter, platformAfter, connections := spent(fleet)
	seconds := span.Seconds()
	f.bytes.add(n, (bytesAfter-bytes)/seconds/n)
	f.messages.add(n, (messagesAfter-messages)/seconds/n)
	f.platform.add(n, (platformAfter-platform)/seconds)
	f.connections.add(n, connections/n)
	f.cpu.add(n, 100*usedCPU.Seconds()/seconds/n)
	f.memory.add(n, (heapInUse()-empty)/n/1e6)
}

// notes publishes release notes through different nodes and takes the slowest.
func (f *fleetSeries) notes(ctx context.Context, fleet *deployment.Deployment) error {
	worst := time.Duration(0)
	for i := range convergeTries {
		document, err := note.Parse("n.toml", fmt.Appendf(nil, "id = \"change-%d\"\n[service.service-1]\nslots = %d\n", i, 8+i))
		if err != nil {
			return err
		}
		node := fleet.Members[i*len(fleet.Members)/convergeTries].Node
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
		worst = max(worst, time.Since(started))
	}
	f.converge.add(float64(len(fleet.Members)), milliseconds(worst))
	return nil
}

func (f *fleetSeries) leaving(ctx context.Context, fleet *deployment.Deployment) error {
	leaver := fleet.Members[len(fleet.Members)/2]
	started := time.Now()
	leaver.Upstream.SetState("leaving")
	err := f.wait(ctx, fleet, func() bool {
		for _, member := range fleet.Members {
			for _, target := range member.Node.Targets(leaver.Service) {
				if target.Upstream() == leaver.Upstream.Name() {
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
	ctx, cancel := context.WithTimeout(ctx, convergeLimit)
	defer cancel()
	return fleet.Wait(ctx, condition)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
