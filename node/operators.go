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

// statusRequests bounds how many nodes are asked at a time for the status.
const statusRequests = 32

func (n *Node) operatorsHandler() http.Handler {
	return operators.Handler(n, n.metrics)
}

// Ready implements operators.Fleet.
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

// Publish implements operators.Fleet.
func (n *Node) Publish(ctx context.Context, document *note.Note, base uint64, amends string) (*note.State, error) {
	state, err := n.publisher.Publish(ctx, document, base, amends)
	if err != nil {
		return nil, err
	}
	n.adopt(n.context(), state)
	return state, nil
}

// Withdraw implements operators.Fleet.
func (n *Node) Withdraw(ctx context.Context, id string) (*note.State, error) {
	state, err := n.publisher.Withdraw(ctx, id)
	if err != nil {
		return nil, err
	}
	n.adopt(n.context(), state)
	return state, nil
}

// Status implements operators.Fleet.
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

func (n *Node) confirmedSeconds() float64 {
	confirmed := n.inForce.Confirmed()
	if confirmed.IsZero() {
		return -1
	}
	return n.clock.Now().Sub(confirmed).Seconds()
}

// upstreamStatus joins what is listed with what is announced.
func upstreamStatus(snapshot *membership.Snapshot, state *note.State) []operators.UpstreamStatus {
	var found []operators.UpstreamStatus
	announced := map[string]bool{}
	for _, member := range snapshot.Members() {
		if member.Upstream == "" || member.Status >= membership.Down {
			continue
		}
		announced[member.Upstream] = true
		found = append(found, operators.UpstreamStatus{
			Name: member.Upstream, Service: member.Service, State: member.State.String(), Host: member.Host,
		})
	}
	for _, entry := range state.Upstreams {
		if !entry.Withdrawn && !announced[entry.Name] {
			found = append(found, operators.UpstreamStatus{
				Name: entry.Name, Service: entry.Upstream.Service, State: membership.Absent.String(),
			})
		}
	}
	return found
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

// nodeStatus asks every node for its revision.
func (n *Node) nodeStatus(ctx context.Context, members []membership.Member) []operators.NodeStatus {
	found := make([]operators.NodeStatus, len(members))
	slots := make(chan struct{}, statusRequests)
	var group sync.WaitGroup
	for i, member := range members {
		found[i] = operators.NodeStatus{
			Host: member.Host, FailureDomain: member.FailureDomain, Status: member.Status.String(), ConfirmedSeconds: -1,
		}
		if member.Host == n.settings.Host() {
			found[i].Revision = n.inForce.Revision()
			found[i].ConfirmedSeconds = n.confirmedSeconds()
			continue
		}
		if member.Status >= membership.Down {
			continue
		}
		group.Add(1)
		go func() {
			defer group.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			n.askRevision(ctx, member, &found[i])
		}()
	}
	group.Wait()
	return found
}

func (n *Node) askRevision(ctx context.Context, member membership.Member, status *operators.NodeStatus) {
	reply, err := n.peers.Request(ctx, member.Address, n.message(control.Ping))
	if err != nil {
		return
	}
	status.Revision = reply.Revision
	if reply.ConfirmedAge > 0 {
		status.ConfirmedSeconds = reply.ConfirmedAge.Seconds()
	}
}
