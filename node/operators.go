package node

import (
	"context"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/banyancross/banyancross/control"
	"github.com/banyancross/banyancross/membership"
	"github.com/banyancross/banyancross/note"
	"github.com/banyancross/banyancross/operators"
)

// maxStatusRequests limits how many nodes are queried concurrently for the status.
const maxStatusRequests = 32

func (n *Node) operatorsHandler() http.Handler {
	return operators.Handler(n, n.metrics)
}

// Ready implements operators.Node.
func (n *Node) Ready() error {
	n.mu.Lock()
	stopping := n.stopping
	n.mu.Unlock()
	switch {
	case stopping:
		return eris.New("the node is leaving")
	case n.view.Superseded():
		return eris.New("another incarnation of this host has taken over")
	case n.inForce.State() == nil:
		return eris.New("no release note is in force yet")
	}
	return nil
}

// Publish implements operators.Node.
func (n *Node) Publish(ctx context.Context, document *note.Note, base uint64, amends string) (*note.State, error) {
	state, err := n.publisher.Publish(ctx, document, base, amends)
	if err != nil {
		return nil, err
	}
	n.adopt(n.context(), state)
	return state, nil
}

// Withdraw implements operators.Node.
func (n *Node) Withdraw(ctx context.Context, id string) (*note.State, error) {
	state, err := n.publisher.Withdraw(ctx, id)
	if err != nil {
		return nil, err
	}
	n.adopt(n.context(), state)
	return state, nil
}

// Status implements operators.Node.
func (n *Node) Status(ctx context.Context) operators.Status {
	snapshot := n.view.Snapshot()
	status := operators.Status{
		Host: n.settings.Host(), Revision: n.inForce.Revision(),
		ConfirmedSeconds: n.confirmedSeconds(), Stale: n.stale(),
	}
	state := n.inForce.State()
	if state == nil {
		state = &note.State{}
	}
	status.Upstreams = upstreamStatus(snapshot, state)
	for _, service := range state.Services {
		if !service.Withdrawn {
			status.Services = append(status.Services, serviceStatus(service.Name, status.Upstreams))
		}
	}
	status.Nodes = n.nodeStatus(ctx, snapshot.Members())
	return status
}

// confirmedSeconds returns the time since the platform last confirmed the
// revision in force, or -1 if it never did.
func (n *Node) confirmedSeconds() float64 {
	confirmed := n.inForce.Confirmed()
	if confirmed.IsZero() {
		return -1
	}
	return n.clock.Now().Sub(confirmed).Seconds()
}

// upstreamStatus returns the announced upstreams, followed by those that the
// release notes list but no node announced.
func upstreamStatus(snapshot *membership.Snapshot, state *note.State) []operators.UpstreamStatus {
	var statuses []operators.UpstreamStatus
	announced := map[string]bool{}
	for _, member := range snapshot.Members() {
		if member.Upstream == "" || member.Status >= membership.Down {
			continue
		}
		announced[member.Upstream] = true
		statuses = append(statuses, operators.UpstreamStatus{
			Name: member.Upstream, Service: member.Service, State: member.State.String(), Host: member.Host,
		})
	}
	for _, entry := range state.Upstreams {
		if !entry.Withdrawn && !announced[entry.Name] {
			statuses = append(statuses, operators.UpstreamStatus{
				Name: entry.Name, Service: entry.Upstream.Service, State: membership.Absent.String(),
			})
		}
	}
	return statuses
}

func serviceStatus(name string, upstreams []operators.UpstreamStatus) operators.ServiceStatus {
	status := operators.ServiceStatus{Name: name}
	for _, upstream := range upstreams {
		if upstream.Service != name {
			continue
		}
		status.Upstreams++
		if upstream.State == membership.Ready.String() {
			status.Ready++
		}
	}
	return status
}

// nodeStatus returns the status of every node, with the revision that the node
// itself reports.
func (n *Node) nodeStatus(ctx context.Context, members []membership.Member) []operators.NodeStatus {
	statuses := make([]operators.NodeStatus, len(members))
	sem := make(chan struct{}, maxStatusRequests)
	var group sync.WaitGroup
	for i, member := range members {
		statuses[i] = operators.NodeStatus{
			Host: member.Host, FailureDomain: member.FailureDomain, Status: member.Status.String(), ConfirmedSeconds: -1,
		}
		if member.Host == n.settings.Host() {
			statuses[i].Revision = n.inForce.Revision()
			statuses[i].ConfirmedSeconds = n.confirmedSeconds()
			continue
		}
		if member.Status >= membership.Down {
			continue
		}
		group.Add(1)
		go func() {
			defer group.Done()
			sem <- struct{}{}
			defer func() { <-sem }()
			n.queryRevision(ctx, member, &statuses[i])
		}()
	}
	group.Wait()
	return statuses
}

func (n *Node) queryRevision(ctx context.Context, member membership.Member, status *operators.NodeStatus) {
	reply, err := n.peers.Request(ctx, member.Address, n.newMessage(control.Ping))
	if err != nil {
		return
	}
	status.Revision = reply.Revision
	if reply.ConfirmedAge > 0 {
		status.ConfirmedSeconds = reply.ConfirmedAge.Seconds()
	}
}
