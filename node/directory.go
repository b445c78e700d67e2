package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/banyancross/banyancross/entry"
	"github.com/banyancross/banyancross/hop"
	"github.com/banyancross/banyancross/membership"
	"github.com/banyancross/banyancross/note"
	"github.com/banyancross/banyancross/routing"
)

// targetCache holds the targets of each service, computed from one membership
// snapshot, one state and one version of the round-trip times.
type targetCache struct {
	mu               sync.RWMutex
	snapshot         *membership.Snapshot
	state            *note.State
	roundTripVersion uint64
	targets          map[string][]entry.Target
}

// State implements entry.Directory.
func (n *Node) State() *note.State { return n.inForce.State() }

// Targets implements entry.Directory.
func (n *Node) Targets(service string) []entry.Target {
	snapshot, state, version := n.view.Snapshot(), n.inForce.State(), n.roundTrips.version()
	cache := &n.targetCache
	cache.mu.RLock()
	current := cache.snapshot == snapshot && cache.state == state && cache.roundTripVersion == version
	cached := cache.targets[service]
	cache.mu.RUnlock()
	if current {
		return cached
	}
	built := n.buildTargets(snapshot, state)
	cache.mu.Lock()
	cache.snapshot, cache.state, cache.roundTripVersion, cache.targets = snapshot, state, version, built
	cache.mu.Unlock()
	return built[service]
}

// buildTargets returns, by service, the upstreams that can take calls and are
// listed in the release notes.
func (n *Node) buildTargets(snapshot *membership.Snapshot, state *note.State) map[string][]entry.Target {
	built := map[string][]entry.Target{}
	if state == nil {
		return built
	}
	for _, member := range snapshot.Members() {
		listed, ok := state.Upstream(member.Upstream)
		if !ok || !member.Usable() || listed.Upstream.Service != member.Service {
			continue
		}
		built[member.Service] = append(built[member.Service], n.target(member))
	}
	return built
}

func (n *Node) target(member membership.Member) entry.Target {
	remote := member.FailureDomain != n.settings.FailureDomain()
	candidate := routing.NewCandidate(member.Upstream, member.Slots, n.roundTrips.mean(member.FailureDomain), remote)
	return entry.NewTarget(candidate, member.Service, member.Address, member.Incarnation)
}

// Owner implements entry.Directory.
func (n *Node) Owner(upstream string) (entry.Target, bool) {
	for _, member := range n.view.Snapshot().Members() {
		if member.Upstream == upstream && upstream != "" && member.Status <= membership.Suspect {
			return n.target(member), true
		}
	}
	return entry.Target{}, false
}

// Send implements entry.Sender. It calls this node's own admission gate directly,
// without a connection.
func (n *Node) Send(ctx context.Context, target entry.Target, meta hop.Meta, request *http.Request) *hop.Answer {
	if target.Address() == n.settings.NodeAddress() {
		return n.tracedGate().Do(ctx, meta, request)
	}
	return n.hops.Do(ctx, target.Address(), meta, request)
}

// tracingGate wraps a gate and records a span for each call.
type tracingGate struct {
	gate   hop.Gate
	tracer trace.Tracer
}

// tracedGate returns the admission gate of this node with tracing.
func (n *Node) tracedGate() hop.Gate { return tracingGate{gate: n.gate, tracer: n.tracer} }

// Do implements hop.Gate.
func (g tracingGate) Do(ctx context.Context, meta hop.Meta, request *http.Request) *hop.Answer {
	propagator := propagation.TraceContext{}
	ctx = propagator.Extract(ctx, propagation.HeaderCarrier(request.Header))
	ctx, span := g.tracer.Start(ctx, "gate", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("upstream", meta.Upstream), attribute.Int("depth", meta.Depth)))
	defer span.End()
	propagator.Inject(ctx, propagation.HeaderCarrier(request.Header))
	answer := g.gate.Do(ctx, meta, request)
	span.SetAttributes(attribute.String("outcome", answer.Meta.Outcome.String()))
	return answer
}

// roundTrips holds the smoothed round-trip time to each failure domain.
type roundTrips struct {
	mu       sync.RWMutex
	byDomain map[string]time.Duration
	changes  uint64
}

const (
	// smoothingDivisor sets the weight of a new sample in the moving average to
	// 1/smoothingDivisor.
	smoothingDivisor = 8
	// roundTripStep is the resolution of the round-trip times: the targets are
	// rebuilt when an average rounds to another multiple of it.
	roundTripStep = 500 * time.Microsecond
)

func newRoundTrips() *roundTrips { return &roundTrips{byDomain: map[string]time.Duration{}} }

// observe adds a round trip measured by a ping to the moving average.
func (r *roundTrips) observe(failureDomain string, sample time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.byDomain[failureDomain]
	if !ok {
		r.byDomain[failureDomain] = sample
		r.changes++
		return
	}
	next := old + (sample-old)/smoothingDivisor
	r.byDomain[failureDomain] = next
	if next.Round(roundTripStep) != old.Round(roundTripStep) {
		r.changes++
	}
}

// mean returns the moving average, or 0 before the first sample.
func (r *roundTrips) mean(failureDomain string) time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.byDomain[failureDomain]
}

// version returns a number that changes when the targets must be rebuilt.
func (r *roundTrips) version() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changes
}

// Member returns a host's record in this node's membership view.
func (n *Node) Member(host string) (membership.Member, bool) {
	return n.view.Snapshot().Member(host)
}

// HoldsLease reports whether idempotency keys issued now may run at this node's
// upstream.
func (n *Node) HoldsLease() bool { return n.gate.OwnsNewKeys() }
