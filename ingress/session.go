package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/fleet"
	"github.com/banyancross/banyancross/http1"
	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/route"
	"github.com/banyancross/banyancross/routing"
)

const (
	// maxSelective bounds how many gates may refuse a request because another
	// upstream would probably answer sooner. With a quarter of the hosts slow at
	// a time, one request in 64 meets three slow ones.
	maxSelective = 3
	// maxPatient bounds the gates at which a request waits: with maxPatience at
	// each, what is left of the objective still holds a run.
	maxPatient = 2
	// maxPicks bounds the gates that are asked: those that refuse, those that
	// let wait, and one more.
	maxPicks = maxSelective + maxPatient + 1
	// maxPatience and minPatience are the parts of the latency objective that a
	// request may wait at a gate. The most leaves as much for the run as for the
	// wait, the least covers the end of one run among an upstream's many.
	maxPatience = 0.4
	minPatience = 0.15
	// typicalWeight is the weight of a new sample in a route's typical time, so
	// that about twenty calls make it.
	typicalWeight = 0.05
	// hedgeShare is the part of the latency objective after which an
	// idempotent request is sent to a second upstream, which then has as long as
	// the first one had.
	hedgeShare = 0.5
	// hedgeReserve is the part of the retry budget that hedges leave for
	// attempts that failed: as much as they may take.
	hedgeReserve = 0.5
	// defaultObjective stands for the objective of a route without one. Callers
	// who wait for a page notice what is longer.
	defaultObjective = 500 * time.Millisecond
	// longAnswer is the length from which an answer stays within the failure
	// domain, in bytes. Links charge about what a call is worth for 90 KiB
	// between domains, and a third of that is more than a slow host costs it.
	longAnswer = 32 << 10
	// minAttempt is the least time that is worth another attempt: a round trip
	// between failure domains.
	minAttempt = 10 * time.Millisecond
)

// session is one request on its way to an answer.
type session struct {
	in      *Ingress
	request *http1.Request
	reply   *http1.Reply
	headers platform.Request
	table   *route.Table
	route   *route.Route
	service string
	// fingerprint identifies the request across its resends.
	fingerprint uint64
	received    time.Time
	timeout     time.Duration
	// depth counts the calls above this one in its chain.
	depth int

	results  chan result
	tried    map[string]bool
	live     []*attempt
	picks    int
	patient  int
	arrivals int
	// uncertain tells that an attempt may have run without an answer.
	uncertain bool
	// reason is why the latest attempt failed.
	reason call.Reason
	// failure is an upstream's own failure, kept in case nothing better comes.
	failure *result
	trail   []AttemptRecord
}

// attempt is one send to a gate.
type attempt struct {
	peer      fleet.Peer
	cancel    context.CancelFunc
	started   time.Time
	hedge     bool
	selective bool
	// fastest is the least slowdown among the upstreams to choose from.
	fastest float32
	// charged tells that the attempt was taken from the retry budget.
	charged bool
	// repeated tells that another attempt may have run.
	repeated bool
}

// exchange sends the request until it is answered or must not be sent again. It
// returns nil when there is no upstream's answer.
func (s *session) exchange(ctx context.Context) *result {
	s.results = make(chan result, maxPicks+1)
	s.tried = map[string]bool{}
	hedge := s.hedgeTimer()
	defer s.cancelAll()
	if !s.launch(ctx, false) {
		s.reason = call.ReasonNoUpstream
		return nil
	}
	for len(s.live) > 0 {
		select {
		case r := <-s.results:
			if s.settle(&r) {
				return &r
			}
			if len(s.live) == 0 && !s.again(ctx) {
				return s.failure
			}
		case <-hedge:
			hedge = nil
			s.hedge(ctx)
		case <-ctx.Done():
			s.reason = call.ReasonDeadline
			s.uncertain = true
			return s.failure
		}
	}
	return s.failure
}

// settle records a result and tells whether it is the answer.
func (s *session) settle(r *result) bool {
	s.retire(r)
	meta := r.answer.Meta
	switch {
	case meta.Outcome == call.Answered && !s.worthRepeating(r):
		s.in.took(s.route.Name, s.in.clock.Now().Sub(r.attempt.started), r.size())
		return true
	case meta.Outcome == call.Answered:
		s.discardFailure()
		s.failure = r
		s.reason = call.ReasonFailed
	case meta.Outcome == call.NotRun && !meta.ReachedUpstream:
		s.arrivals--
		if r.attempt.charged {
			s.in.budgets.refund(s.in.clock.Now(), s.service)
		}
		s.reason = meta.Reason
	case meta.Outcome == call.NotRun:
		s.reason = meta.Reason
	default:
		s.uncertain = true
		s.reason = meta.Reason
	}
	return false
}

// worthRepeating tells whether another upstream may answer better. The failure
// of an upstream that calls others is mostly one of theirs.
func (s *session) worthRepeating(r *result) bool {
	return r.status() >= http.StatusInternalServerError && s.route.Idempotent &&
		r.attempt.peer.Beacon().Fanout <= leafFanout
}

// retire takes an attempt off the list of those that run.
func (s *session) retire(r *result) {
	now := s.in.clock.Now()
	for i, a := range s.live {
		if a == r.attempt {
			s.live = append(s.live[:i], s.live[i+1:]...)
			break
		}
	}
	meta := r.answer.Meta
	step := AttemptRecord{
		Host: r.attempt.peer.Beacon().Host, Upstream: r.attempt.peer.Beacon().Upstream, Outcome: meta.Outcome,
		Reason: meta.Reason, Hedge: r.attempt.hedge, Offset: r.attempt.started.Sub(s.received), Elapsed: now.Sub(r.attempt.started),
		QueueTime: meta.QueueTime,
	}
	if meta.Load != nil {
		step.Load = *meta.Load
	}
	s.trail = append(s.trail, step)
}

// again sends the request to another upstream, if it may be sent and there is
// one.
func (s *session) again(ctx context.Context) bool {
	if ctx.Err() != nil || (s.uncertain && !s.route.Idempotent) || s.request.Rest != nil {
		return false
	}
	if s.timeout-s.in.clock.Now().Sub(s.received) < minAttempt {
		return false
	}
	return s.launch(ctx, false)
}

// hedgeTimer fires when a second upstream should be asked; nil never fires.
func (s *session) hedgeTimer() <-chan time.Time {
	if !s.route.Idempotent || s.request.Rest != nil || s.route.Attempts < 2 {
		return nil
	}
	return s.in.clock.After(time.Duration(hedgeShare * float64(s.objective())))
}

func (s *session) objective() time.Duration {
	if s.route.Objective > 0 {
		return s.route.Objective
	}
	return defaultObjective
}

// hedge sends the request to a second upstream beside the one that takes long.
func (s *session) hedge(ctx context.Context) {
	if len(s.live) != 1 || s.arrivals >= s.route.Attempts {
		return
	}
	s.launch(ctx, true)
}

// launch sends the request to the best upstream that has not been asked yet.
func (s *session) launch(ctx context.Context, hedge bool) bool {
	if s.picks >= maxPicks || s.patient >= maxPatient || s.arrivals >= max(s.route.Attempts, 1) {
		return false
	}
	serving := s.in.view.Serving(s.service)
	peers := s.candidates(serving, hedge)
	if len(peers) == 0 || (hedge && peers[0].Beacon().Fanout > leafFanout) {
		return false
	}
	near := s.near(peers)
	if len(near) > 0 {
		peers = near
	}
	now := s.in.clock.Now()
	charged := s.arrivals > 0
	if charged {
		reserve := 0.0
		if hedge {
			reserve = hedgeReserve
		}
		fanout := peers[0].Beacon().Fanout
		if !s.mayHaveRun() {
			fanout = 0
		}
		if !s.in.budgets.spend(now, s.service, fanout, reserve) {
			return false
		}
	}
	peer := s.choose(now, peers)
	name := peer.Beacon().Host
	// With no better upstream left, a request had better wait than be refused.
	selective := hedge || (len(near) == 0 && s.picks < maxSelective && len(peers) > 1 && !s.in.policy.Busy(now, policyName(peer.Beacon())))
	if !selective {
		s.patient++
	}
	s.picks++
	s.arrivals++
	s.tried[name] = true
	attemptCtx, cancel := context.WithCancel(ctx)
	a := &attempt{
		peer: peer, cancel: cancel, started: now, hedge: hedge, selective: selective, charged: charged,
		repeated: s.mayHaveRun(), fastest: fastest(serving),
	}
	s.live = append(s.live, a)
	s.in.policy.Started(now, policyName(peer.Beacon()))
	meta, outgoing := s.meta(now, a), s.outgoing()
	go s.in.attempt(attemptCtx, a, meta, outgoing, s.results)
	return true
}

// near returns the upstreams with free slots in the own failure domain if the
// answer is long. There it costs least, also while the host is slow.
func (s *session) near(peers []fleet.Peer) []fleet.Peer {
	if s.in.size(s.route.Name) < longAnswer {
		return nil
	}
	var near []fleet.Peer
	for _, peer := range peers {
		b := peer.Beacon()
		if b.FailureDomain == s.in.domain && !peer.Silent() && !b.Load.Failing && b.Load.Running < b.Load.Limit {
			near = append(near, peer)
		}
	}
	return near
}

// mayHaveRun tells whether an attempt has run, or runs now.
func (s *session) mayHaveRun() bool { return s.uncertain || s.failure != nil || len(s.live) > 0 }

// candidates returns the upstreams to choose from. Those that have refused may
// be asked once more when no other is left, since what they refused for passes.
func (s *session) candidates(all []fleet.Peer, hedge bool) []fleet.Peer {
	fresh := make([]fleet.Peer, 0, len(all))
	for _, peer := range all {
		if !s.tried[peer.Beacon().Host] {
			fresh = append(fresh, peer)
		}
	}
	if len(fresh) > 0 || hedge || s.picks > maxSelective {
		return fresh
	}
	s.picks = maxSelective
	return all
}

func (s *session) choose(now time.Time, peers []fleet.Peer) fleet.Peer {
	candidates := make([]routing.Candidate, len(peers))
	for i, peer := range peers {
		b := peer.Beacon()
		candidates[i] = routing.NewCandidate(policyName(b), b.Slots, 0, b.FailureDomain != s.in.domain).
			Carrying(s.in.size(s.route.Name))
	}
	return peers[s.in.policy.Choose(now, candidates)]
}

// fastest returns the least slowdown that upstreams report. When all of them are
// slow, as after a common start, none of them is slow for its service.
func fastest(peers []fleet.Peer) float32 {
	least := float32(0)
	for _, peer := range peers {
		if slowdown := peer.Beacon().Load.Slowdown; slowdown >= 1 && (least == 0 || slowdown < least) {
			least = slowdown
		}
	}
	return least
}

// outgoing returns the request as it is sent.
func (s *session) outgoing() *egress.Call {
	return &egress.Call{
		Method: s.request.Method, Target: s.request.Target, Host: s.request.Host,
		Header: s.request.Header, Content: s.request.Content, Rest: s.request.Rest,
	}
}

// cancelAll ends the attempts whose answer is not wanted any more.
func (s *session) cancelAll() {
	for _, a := range s.live {
		a.cancel()
	}
	for range s.live {
		go func() {
			r := <-s.results
			r.discard()
		}()
	}
}

func (s *session) discardFailure() {
	if s.failure != nil {
		s.failure.discard()
		s.failure = nil
	}
}
