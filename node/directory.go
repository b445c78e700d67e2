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

// directory caches the targets of each service for one view and state.
type directory struct {
	mu       sync.RWMutex
	snapshot *membership.Snapshot
	state    *note.State
	links    uint64
	targets  map[string][]entry.Target
}

// State implements entry.Directory.
func (n *Node) State() *note.State { return n.inForce.State() }

// Targets implements entry.Directory.
func (n *Node) Targets(service string) []entry.Target {
	snapshot, state, version := n.view.Snapshot(), n.inForce.State(), n.links.version()
	d := &n.directory
	d.mu.RLock()
	fresh := d.snapshot == snapshot && d.state == state && d.links == version
	found := d.targets[service]
	d.mu.RUnlock()
	if fresh {
		return found
	}
	built := n.buildTargets(snapshot, state)
	d.mu.Lock()
	d.snapshot, d.state, d.links, d.targets = snapshot, state, version, built
	d.mu.Unlock()
	return built[service]
}

// buildTargets lists the upstreams that are ready and in the release notes.
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
	candidate := routing.NewCandidate(member.Upstream, member.Slots, n.links.roundTrip(member.FailureDomain), remote)
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

// Send implements entry.Sender. The gate of this node is called directly.
func (n *Node) Send(ctx context.Context, target entry.Target, meta hop.Meta, request *http.Request) *hop.Answer {
	if target.Address() == n.settings.Nodes() {
		return n.tracedGate().Do(ctx, meta, request)
	}
	return n.hops.Do(ctx, target.Address(), meta, request)
}

// spanGate records a span for each call at the gate.
type spanGate struct {
	gate   hop.Gate
	tracer trace.Tracer
}

func (n *Node) tracedGate() hop.Gate { return spanGate{gate: n.gate, tracer: n.tracer} }

// Do implements hop.Gate.
func (g spanGate) Do(ctx context.Context, meta hop.Meta, request *http.Request) *hop.Answer {
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

// links holds the measured round trip to each failure domain.
type links struct {
	mu         sync.RWMutex
	roundTrips map[string]time.Duration
	changes    uint64
}

const (
	// linkWeight is the weight of a new sample, as 1/linkWeight.
	linkWeight = 8
	// linkStep is the smallest change worth rebuilding the targets for.
	linkStep = 500 * time.Microsecond
)

func newLinks() *links { return &links{roundTrips: map[string]time.Duration{}} }

// observe takes a round trip measured by a ping.
func (l *links) observe(failureDomain string, sample time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, ok := l.roundTrips[failureDomain]
	if !ok {
		l.roundTrips[failureDomain] = sample
		l.changes++
		return
	}
	next := old + (sample-old)/linkWeight
	l.roundTrips[failureDomain] = next
	if next.Round(linkStep) != old.Round(linkStep) {
		l.changes++
	}
}

func (l *links) roundTrip(failureDomain string) time.Duration {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.roundTrips[failureDomain]
}

func (l *links) version() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.changes
}

// Member returns what this node believes of a host.
func (n *Node) Member(host string) (membership.Member, bool) {
	return n.view.Snapshot().Member(host)
}

// Owning tells whether keys minted now may run at this node's upstream.
func (n *Node) Owning() bool { return n.gate.OwnsNewKeys() }
