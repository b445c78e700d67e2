package ingress

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/http1"
	"github.com/banyancross/banyancross/locality"
	"github.com/banyancross/banyancross/routing"
)

// Query names a request whose placement is asked for.
type Query struct {
	Method, Host, Path string
	// Organisation is the name of the caller's organisation, "" for none.
	Organisation string
	// Service makes it a nested call to a service of the route, "" for a caller's request.
	Service string
}

// Placement says where a request would go now, and why.
type Placement struct {
	Node          string `json:"node"`
	FailureDomain string `json:"failure-domain"`
	Revision      uint64 `json:"revision"`
	Route         string `json:"route"`
	Service       string `json:"service"`
	Nested        bool   `json:"nested"`
	Idempotent    bool   `json:"idempotent"`
	ObjectiveMS   int64  `json:"objective-ms"`
	// Bytes is the expected length of the request's response.
	Bytes        int64  `json:"bytes"`
	Organisation string `json:"organisation,omitempty"`
	// QuotaRate is in requests per second, 0 for no quota.
	QuotaRate float64 `json:"quota-rate,omitempty"`
	Priority  int     `json:"priority"`
	// Leaves is by-room or by-constant.
	Leaves  string           `json:"leaves"`
	Domains []PlacedDomain   `json:"domains,omitempty"`
	Peers   []PlacedUpstream `json:"upstreams"`
	// Choice is the host that the first attempt most probably goes to, "" for none.
	Choice string `json:"choice"`
	Reason string `json:"reason"`
}

// PlacedDomain is a failure domain that the request may go to. Costs are in lost answers.
type PlacedDomain struct {
	Name         string  `json:"name"`
	Way          string  `json:"way"`
	DelayMS      float64 `json:"delay-ms"`
	DelayCost    float64 `json:"delay-cost"`
	TransferCost float64 `json:"transfer-cost"`
	NestedCost   float64 `json:"nested-cost"`
	Utilization  float64 `json:"utilization"`
	Threshold    float64 `json:"threshold"`
	Room         float64 `json:"room"`
	// Share is the probability with which the first attempt goes there.
	Share float64 `json:"share"`
}

// PlacedUpstream is an upstream of the service: either excluded, or a candidate with the
// parts of its cost in shares of an upstream's capacity.
type PlacedUpstream struct {
	Host          string       `json:"host"`
	Upstream      string       `json:"upstream"`
	FailureDomain string       `json:"failure-domain"`
	Excluded      string       `json:"excluded,omitempty"`
	Cost          routing.Cost `json:"cost"`
	Total         float64      `json:"total"`
}

// Where returns where a request would go now. It decides by the same code as Serve, sends
// nothing and changes nothing. The error says what the node does not know.
func (in *Ingress) Where(q Query) (*Placement, error) {
	now := in.clock.Now()
	s, err := in.querySession(now, q)
	if err != nil {
		return nil, err
	}
	p := &Placement{
		Node: in.host, FailureDomain: in.failureDomain, Revision: s.table.Revision(), Route: s.route.Name, Service: s.service,
		Nested: s.depth > 0, Idempotent: s.route.Idempotent, ObjectiveMS: s.objective().Milliseconds(), Bytes: s.transferBytes(),
		Organisation: s.organisationName(), Priority: s.priority(), Leaves: "by-constant",
	}
	if s.organisation != nil {
		p.QuotaRate = s.organisation.Quota().Rate
	}
	peers := s.candidates(s.permitted(in.view.Serving(s.service)), false)
	candidates, chosen, reason := s.weigh(now, peers, p)
	costs := in.policy.Costs(now, candidates)
	lowest := -1
	for i, peer := range peers {
		p.Peers = append(p.Peers, placedUpstream(peer, costs[i]))
		if chosen(peer) && (lowest < 0 || costs[i].Total() < costs[lowest].Total()) {
			lowest = i
		}
	}
	p.Reason = string(s.noUpstreamReason())
	if lowest >= 0 {
		p.Choice, p.Reason = peers[lowest].Beacon().Host, reason
	}
	slices.SortStableFunc(p.Peers, func(a, b PlacedUpstream) int { return cmp.Compare(a.Total, b.Total) })
	s.addExcluded(p, peers)
	return p, nil
}

// querySession returns the state of the request that a query names.
func (in *Ingress) querySession(now time.Time, q Query) (*session, error) {
	s := &session{
		in: in, received: now, table: in.table(), tried: map[string]bool{}, declinedLocal: map[string]bool{},
		request: &http1.Request{Method: cmp.Or(q.Method, http.MethodGet), Host: q.Host, Target: q.Path, Header: http.Header{}},
	}
	if s.table == nil {
		return nil, newError(KindNoConfiguration, "no configuration is in force")
	}
	if s.route = s.table.Match(q.Host, s.request.Path()); s.route == nil {
		return nil, newError(KindUnknown, fmt.Sprintf("no route matches host %q and path %q", q.Host, q.Path))
	}
	s.service = s.route.PeekService()
	if q.Service != "" {
		s.service, s.depth = q.Service, 1
		names := make([]string, 0, len(s.route.Targets))
		for _, target := range s.route.Targets {
			names = append(names, target.Service)
		}
		if !slices.Contains(names, q.Service) {
			return nil, newError(KindUnknown, fmt.Sprintf("route %q leads to %s, not to service %q", s.route.Name, strings.Join(names, ", "), q.Service))
		}
	}
	if q.Organisation != "" {
		var found bool
		if s.organisation, found = s.table.Organisations().Named(q.Organisation); !found {
			return nil, newError(KindUnknown, fmt.Sprintf("no organisation %q", q.Organisation))
		}
	}
	return s, nil
}

// weigh adds the failure domains to a placement. It returns the upstreams with their
// costs, which of them the first attempt chooses from, and why.
func (s *session) weigh(now time.Time, peers []fleet.Peer, p *Placement) (candidates []routing.Candidate, chosen func(fleet.Peer) bool, reason string) {
	if !s.in.leaving.byRoom() {
		bound := s.mustStay(peers)
		if len(bound) == 0 {
			return s.routingCandidates(peers), func(fleet.Peer) bool { return true }, "the least cost"
		}
		return s.routingCandidates(peers), func(peer fleet.Peer) bool {
			return slices.ContainsFunc(bound, func(b fleet.Peer) bool { return b.Key() == peer.Key() })
		}, "a long transfer stays in its failure domain while slots are free there"
	}
	p.Leaves = "by-room"
	domains := s.domainsOf(now, peers)
	likely := locality.Option{}
	for _, option := range s.in.leaving.decider.Weigh(s.placedCall(), domains) {
		p.Domains = append(p.Domains, PlacedDomain{
			Name: option.Domain, Way: option.Way.String(), DelayMS: float64(option.Delay) / float64(time.Millisecond),
			DelayCost: option.DelayCost, TransferCost: option.TransferCost, NestedCost: option.NestedCost,
			Utilization: option.Utilization, Threshold: option.Threshold, Room: option.Room, Share: option.Share,
		})
		if likely.Domain == "" || option.Share > likely.Share {
			likely = option
		}
	}
	reason = fmt.Sprintf("the least cost in %s, where %.0f %% of such requests go first", likely.Domain, 100*likely.Share)
	return s.pricedCandidates(peers, domains), func(peer fleet.Peer) bool { return peer.Beacon().FailureDomain == likely.Domain }, reason
}

func placedUpstream(peer fleet.Peer, cost routing.Cost) PlacedUpstream {
	b := peer.Beacon()
	return PlacedUpstream{Host: b.Host, Upstream: b.Upstream, FailureDomain: b.FailureDomain, Cost: cost, Total: cost.Total()}
}

// exclusion is a reason for which an upstream is not a candidate.
type exclusion struct {
	name    string
	applies func(s *session, peer fleet.Peer) bool
}

// exclusions are the reasons that are told apart, in the order of the decisions. They only
// name what those decided.
var exclusions = []exclusion{
	{"draining", func(_ *session, peer fleet.Peer) bool { return peer.Beacon().Phase == fleet.Draining }},
	{"absent", func(_ *session, peer fleet.Peer) bool { return peer.Beacon().Phase != fleet.Ready }},
	{"stopping", func(_ *session, peer fleet.Peer) bool { return peer.Beacon().Stopping }},
	{"silent", func(_ *session, peer fleet.Peer) bool { return peer.Silent() }},
	{"evacuated", func(s *session, peer fleet.Peer) bool { return len(s.in.notEvacuated([]fleet.Peer{peer})) == 0 }},
	{"region", func(s *session, peer fleet.Peer) bool { return len(s.inAllowedRegions([]fleet.Peer{peer})) == 0 }},
}

// addExcluded adds the upstreams of the service that are not among the candidates.
func (s *session) addExcluded(p *Placement, candidates []fleet.Peer) {
	for _, peer := range s.in.view.Peers() {
		isCandidate := slices.ContainsFunc(candidates, func(c fleet.Peer) bool { return c.Key() == peer.Key() })
		if peer.Beacon().Service != s.service || isCandidate {
			continue
		}
		excluded := placedUpstream(peer, routing.Cost{})
		excluded.Excluded = "other"
		for _, e := range exclusions {
			if e.applies(s, peer) {
				excluded.Excluded = e.name
				break
			}
		}
		p.Peers = append(p.Peers, excluded)
	}
}
