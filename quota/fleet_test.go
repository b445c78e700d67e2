package quota_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/banyancross/banyancross/quota"
)

// simulation drives the quota of a fleet on a clock of its own, in steps.
type simulation struct {
	rng     *rand.Rand
	start   time.Time
	now     time.Time
	hosts   []*simHost
	orgs    []*simOrg
	flights []flight
	bounds  quota.Bounds
	// reaches reports whether datagrams pass between two hosts.
	reaches func(from, to int) bool
	// admit replaces the decision of the nodes, for other schemes.
	admit    func(host int, org *simOrg) bool
	messages int
	loss     float64
	// refuseAfter is the time after which an upstream refuses a request that was admitted,
	// zero if it runs it; refunds holds the requests that it will refuse.
	refuseAfter time.Duration
	refunds     []refund
}

type refund struct {
	at, expires time.Time
	host        *simHost
	org         *simOrg
}

type simHost struct {
	index       int
	name        string
	node        *quota.Node
	incarnation int64
	// downUntil is when the killed process starts again, frozenUntil when a stopped one goes on.
	downUntil, frozenUntil time.Time
	// heard is when each other host was last heard.
	heard   []time.Time
	waiting []waiter
}

type waiter struct {
	org   *simOrg
	since time.Time
}

type simOrg struct {
	name     string
	usual    float64
	factor   float64
	limit    quota.Limit
	homes    []int
	asked    int
	refused  int
	admitted []time.Time
}

type flight struct {
	at       time.Time
	from, to int
	message  quota.Message
}

const (
	simStep    = 5 * time.Millisecond
	simTick    = 25 * time.Millisecond
	simView    = 100 * time.Millisecond
	simDelay   = 4 * time.Millisecond
	simMaxWait = 60 * time.Millisecond
	// simGossip is the pause between the beacons of a host to another one, and simSettle the
	// silence timeout that follows.
	simGossip = 2475 * time.Millisecond
	simSettle = 2 * simGossip
)

// newSimulation returns the fleet of the stated size: 80 hosts and 82 organisations of
// Zipf size, 840 requests a second, limits of 1.6 times the usual load, bursts of a second.
func newSimulation(seed uint64) *simulation {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, seed)), start: start, now: start,
		bounds:  quota.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20},
		reaches: func(int, int) bool { return true },
	}
	for i := range 80 {
		h := &simHost{index: i, name: fmt.Sprintf("host-%d", i), heard: make([]time.Time, 80)}
		for j := range h.heard {
			h.heard[j] = start
		}
		s.hosts = append(s.hosts, h)
	}
	total := 0.0
	for i := range 82 {
		total += math.Pow(float64(i+1), -1.2)
	}
	for i := range 82 {
		usual := 840 * math.Pow(float64(i+1), -1.2) / total
		o := &simOrg{name: fmt.Sprintf("org-%d", i), usual: usual, factor: 1, limit: quota.Limit{Rate: 1.6 * usual, Burst: 1.6 * usual}}
		s.orgs = append(s.orgs, o)
	}
	for _, h := range s.hosts {
		s.startProcess(h)
	}
	return s
}

func (s *simulation) startProcess(h *simHost) {
	h.incarnation++
	h.node = quota.NewNode(h.name, h.incarnation, s.bounds)
	h.waiting = nil
	s.setLimits(h)
}

func (s *simulation) setLimits(h *simHost) {
	limits := map[string]quota.Limit{}
	for _, o := range s.orgs {
		limits[o.name] = o.limit
	}
	h.node.SetLimits(limits)
}

func (s *simulation) down(h *simHost) bool   { return s.now.Before(h.downUntil) }
func (s *simulation) frozen(h *simHost) bool { return s.now.Before(h.frozenUntil) }

func (s *simulation) kill(h *simHost, duration time.Duration) {
	h.downUntil = s.now.Add(duration)
	s.startProcess(h)
}

// elapsed is the time since the start.
func (s *simulation) elapsed() time.Duration { return s.now.Sub(s.start) }

// run advances the clock; before is called before each step.
func (s *simulation) run(d time.Duration, before func()) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simStep) {
		if before != nil {
			before()
		}
		if s.due(simView) {
			s.gossip()
		}
		s.deliver()
		s.refund()
		s.arrive()
		for _, h := range s.hosts {
			if s.down(h) || s.frozen(h) {
				continue
			}
			if s.due(simTick) {
				s.send(h, h.node.Tick(s.now))
			}
			s.settleWaiting(h)
		}
	}
}

func (s *simulation) due(interval time.Duration) bool { return s.elapsed()%interval == 0 }

// gossip lets the hosts hear each other, each pair in its turn, and updates their views.
// Half of the pairs are entry nodes of each other, and heard at each view.
func (s *simulation) gossip() {
	turns := int(simGossip / simView)
	turn := int(s.elapsed() / simView)
	for _, h := range s.hosts {
		if s.down(h) || s.frozen(h) {
			continue
		}
		list := make([]quota.Member, 0, len(s.hosts))
		for j, other := range s.hosts {
			if j == h.index {
				continue
			}
			frequent := (h.index+j)%2 == 0
			joined := s.now.Sub(other.downUntil) < simStep || s.now.Sub(h.downUntil) < simView
			if !s.down(other) && !s.frozen(other) && s.reaches(j, h.index) && (frequent || joined || (turn+j+h.index)%turns == 0) {
				h.heard[j] = s.now
			}
			timeout := simSettle
			if frequent {
				timeout = 900 * time.Millisecond
			}
			list = append(list, quota.Member{Host: other.name, Silent: s.now.Sub(h.heard[j]) > timeout, Heard: h.heard[j]})
		}
		h.node.SetMembers(list, simSettle, true)
	}
}

func (s *simulation) send(h *simHost, out []quota.Outgoing) {
	for _, o := range out {
		var to int
		_, _ = fmt.Sscanf(o.Host, "host-%d", &to)
		s.post(h.index, to, o.Message)
	}
}

func (s *simulation) post(from, to int, m quota.Message) {
	s.messages++
	if s.reaches(from, to) && s.rng.Float64() >= s.loss {
		delay := simDelay + time.Duration(s.rng.Int64N(int64(simDelay)))
		s.flights = append(s.flights, flight{at: s.now.Add(delay), from: from, to: to, message: m})
	}
}

// deliver hands over the datagrams that have arrived. A frozen host reads them when it
// goes on, and one that is down never.
func (s *simulation) deliver() {
	flights := s.flights
	s.flights = nil
	for _, f := range flights {
		h := s.hosts[f.to]
		switch {
		case s.down(h):
		case f.at.After(s.now) || s.frozen(h):
			s.flights = append(s.flights, f)
		default:
			if reply, ok := h.node.Handle(s.now, f.message); ok {
				s.post(f.to, f.from, reply)
			}
		}
	}
}

// arrive lets callers send requests for one step.
func (s *simulation) arrive() {
	for _, o := range s.orgs {
		for n := s.poisson(o.usual * o.factor * simStep.Seconds()); n > 0; n-- {
			h := s.hosts[s.rng.IntN(len(s.hosts))]
			if len(o.homes) > 0 {
				h = s.hosts[o.homes[s.rng.IntN(len(o.homes))]]
			}
			if s.down(h) || s.frozen(h) {
				continue
			}
			o.asked++
			if s.admit != nil {
				s.count(h, o, s.admit(h.index, o), time.Time{})
				continue
			}
			d := h.node.Take(s.now, o.name)
			if d.Verdict == quota.Waiting {
				h.waiting = append(h.waiting, waiter{org: o, since: s.now})
				s.send(h, h.node.Poll(s.now))
				continue
			}
			s.count(h, o, d.Verdict == quota.Admitted, d.Expires)
		}
	}
}

func (s *simulation) count(h *simHost, o *simOrg, admitted bool, expires time.Time) {
	switch {
	case !admitted:
		o.refused++
	case s.refuseAfter > 0:
		s.refunds = append(s.refunds, refund{at: s.now.Add(s.refuseAfter), expires: expires, host: h, org: o})
	default:
		o.admitted = append(o.admitted, s.now)
	}
}

// refund gives back the tokens of requests that upstreams refused.
func (s *simulation) refund() {
	for len(s.refunds) > 0 && !s.refunds[0].at.After(s.now) {
		s.refunds[0].host.node.Refund(s.now, s.refunds[0].org.name, s.refunds[0].expires)
		s.refunds = s.refunds[1:]
	}
}

func (s *simulation) settleWaiting(h *simHost) {
	left := h.waiting[:0]
	for _, w := range h.waiting {
		d := h.node.Retry(s.now, w.org.name)
		if d.Verdict == quota.Waiting && s.now.Sub(w.since) >= simMaxWait {
			d = h.node.GiveUp(s.now, w.org.name)
		}
		if d.Verdict == quota.Waiting {
			left = append(left, w)
			continue
		}
		s.count(h, w.org, d.Verdict == quota.Admitted, d.Expires)
	}
	h.waiting = left
}

func (s *simulation) poisson(mean float64) int {
	limit, n, p := math.Exp(-mean), 0, s.rng.Float64()
	for p > limit {
		n++
		p *= s.rng.Float64()
	}
	return n
}

// excess returns by how many requests the fullest window of an organisation that lies after
// from exceeds what its limit allows, 0 if none does.
func (s *simulation) excess(o *simOrg, from time.Time) float64 {
	worst, first := 0.0, 0
	times := o.admitted[sort.Search(len(o.admitted), func(i int) bool { return !o.admitted[i].Before(from) }):]
	for last, at := range times {
		for at.Sub(times[first]) > s.bounds.Window {
			first++
		}
		worst = max(worst, float64(last-first+1)-s.bounds.Allowed(o.limit))
	}
	return worst
}

// worstExcess returns the greatest excess of all organisations.
func (s *simulation) worstExcess() float64 {
	worst := 0.0
	for _, o := range s.orgs {
		worst = max(worst, s.excess(o, s.start))
	}
	return worst
}

// refusedShare returns the share of the requests that were refused of the organisations
// that send as usual.
func (s *simulation) refusedShare() float64 {
	asked, refused := 0, 0
	for _, o := range s.orgs {
		if o.factor == 1 {
			asked, refused = asked+o.asked, refused+o.refused
		}
	}
	return float64(refused) / float64(asked)
}

// reset forgets the counts, but not the history.
func (s *simulation) reset() {
	for _, o := range s.orgs {
		o.asked, o.refused = 0, 0
	}
	s.messages = 0
}

// ownerOf returns the host whose ledger grants an organisation's tokens, by its reports.
func (s *simulation) ownerOf(o *simOrg) *simHost {
	for _, h := range s.hosts {
		for _, r := range h.node.TakeReports(s.now) {
			if r.Organisation == o.name && r.Owner != "" && r.Owner != h.name {
				var owner int
				_, _ = fmt.Sscanf(r.Owner, "host-%d", &owner)
				return s.hosts[owner]
			}
		}
	}
	return nil
}
