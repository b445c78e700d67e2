package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"github.com/banyancross/banyancross/ingress"
	"github.com/banyancross/banyancross/organisation"
	"github.com/banyancross/banyancross/quota"
)

const (
	// quotaTick is the pause between the steps of the quotas while there are any: about
	// the time after which a lost ask is repeated.
	quotaTick = 25 * time.Millisecond
	// memberTicks is the number of ticks after which the quotas get the view of the fleet.
	memberTicks = 4
	// maxQuotaWait is how long a request waits for an answer of the owner: that of an ask
	// that is repeated twice. It is below an eighth of most latency objectives.
	maxQuotaWait = 60 * time.Millisecond
	// settleIntervals is the number of gossip intervals after which a node that is cut off
	// has noticed it.
	settleIntervals = 2
	// maxQuotaSeries is the number of organisations with gauges of their own.
	maxQuotaSeries = 20
	// restSeries names the gauges of all other organisations.
	restSeries = "rest"
)

// quotas connects the node's quota to the datagrams and the view; it implements
// ingress.Quota.
type quotas struct {
	sidecar *Sidecar
	node    *quota.Node
	// directory is the one whose limits the node has.
	directory atomic.Pointer[organisation.Directory]
	// active means that the loop runs; wake starts it.
	active atomic.Bool
	wake   chan struct{}

	mu sync.Mutex
	// answered is closed when waiting requests may be decided.
	answered chan struct{}
	// totals holds the counts since the start by series. Only the gauges' loop uses it.
	totals map[string]quota.Usage
}

func newQuotas(s *Sidecar) *quotas {
	conf := s.settings.Load()
	return &quotas{
		sidecar: s, wake: make(chan struct{}, 1), answered: make(chan struct{}), totals: map[string]quota.Usage{},
		node: quota.NewNode(conf.Host(), s.incarnation.Load(), quota.Bounds{
			Window: conf.QuotaWindow(), Overage: conf.QuotaOverage(), Slack: conf.QuotaSlack(),
		}),
	}
}

// Admit implements ingress.Quota.
func (q *quotas) Admit(ctx context.Context, organisation string) ingress.QuotaDecision {
	q.activate()
	clock := q.sidecar.clock
	d := q.node.Take(clock.Now(), organisation)
	if d.Verdict != quota.Waiting {
		return newQuotaDecision(d)
	}
	timeout := clock.After(maxQuotaWait)
	q.send(q.node.Poll(clock.Now()))
	for d.Verdict == quota.Waiting {
		answered := q.nextAnswer()
		if d = q.node.Retry(clock.Now(), organisation); d.Verdict != quota.Waiting {
			break
		}
		select {
		case <-answered:
		case <-timeout:
			d = q.node.GiveUp(clock.Now(), organisation)
		case <-ctx.Done():
			d = q.node.GiveUp(clock.Now(), organisation)
		case <-q.sidecar.tomb.Dying():
			d = q.node.GiveUp(clock.Now(), organisation)
		}
	}
	return newQuotaDecision(d)
}

func newQuotaDecision(d quota.Decision) ingress.QuotaDecision {
	return ingress.QuotaDecision{Admitted: d.Verdict == quota.Admitted, Beyond: d.Verdict == quota.Refused, RetryAfter: d.RetryAfter, Expires: d.Expires}
}

// Refund implements ingress.Quota.
func (q *quotas) Refund(organisation string, expires time.Time) {
	q.node.Refund(q.sidecar.clock.Now(), organisation, expires)
}

// activate brings the limits up to date, and the view if the loop does not run.
func (q *quotas) activate() {
	q.updateLimits()
	if q.active.Load() {
		return
	}
	q.updateMembers()
	notify(q.wake)
}

// updateLimits passes the limits of the configuration in force to the node.
func (q *quotas) updateLimits() {
	table := q.sidecar.table.Load()
	if table == nil || table.Organisations() == q.directory.Load() {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	directory := q.sidecar.table.Load().Organisations()
	if directory != q.directory.Load() {
		q.node.SetLimits(limitsOf(directory))
		q.directory.Store(directory)
	}
}

// limitsOf returns the limits of organisations by name.
func limitsOf(directory *organisation.Directory) map[string]quota.Limit {
	limits := map[string]quota.Limit{}
	for _, name := range directory.Names() {
		if o, ok := directory.Named(name); ok && o.Quota().Limited() {
			limits[name] = quota.Limit{Rate: o.Quota().Rate, Burst: o.Quota().Burst}
		}
	}
	return limits
}

// updateMembers passes the view to the node.
func (q *quotas) updateMembers() {
	s := q.sidecar
	peers := s.view.Peers()
	list := make([]quota.Member, len(peers))
	for i := range peers {
		b := peers[i].Beacon()
		list[i] = quota.Member{Host: b.Host, Silent: peers[i].Silent(), Stopping: b.Stopping, Heard: peers[i].LastReceived()}
	}
	alone := s.fleetRead.Load() && s.remainingJoinWait() <= 0 && !s.view.HasLive(s.settings.Load().Host())
	q.node.SetMembers(list, settleIntervals*gossipInterval(len(peers)), s.settled.Load() || alone)
}

// run drives the quotas while there are any.
func (q *quotas) run() error {
	s := q.sidecar
	for {
		select {
		case <-s.tomb.Dying():
			return nil
		case <-q.wake:
		}
		for !q.node.Idle() {
			q.active.Store(true)
			for tick := 0; !q.node.Idle(); tick++ {
				if tick%memberTicks == 0 {
					q.activate()
					q.updateMembers()
				}
				q.send(q.node.Tick(s.clock.Now()))
				q.notifyAnswer()
				if !s.sleep(quotaTick) {
					return nil
				}
			}
			// A request may have come since the check, and found the loop active.
			q.active.Store(false)
		}
	}
}

// send sends the messages of the node.
func (q *quotas) send(messages []quota.Outgoing) {
	for _, out := range messages {
		q.sendMessage(out.Host, out.Message)
	}
}

func (q *quotas) sendMessage(host string, m quota.Message) {
	peer, ok := q.sidecar.view.Peer(host)
	if !ok {
		return
	}
	data, err := m.Encode()
	if err != nil {
		_ = level.Error(q.sidecar.logger).Log("event", "quota-failed", "err", err)
		return
	}
	q.sidecar.sendDatagram(peer.Beacon(), transferQuotas, data)
}

// handle processes a datagram of another node.
func (q *quotas) handle(data []byte) {
	m, err := quota.Decode(data)
	if err != nil {
		_ = level.Warn(q.sidecar.logger).Log("event", "quota-skipped", "err", err)
		return
	}
	q.activate()
	if reply, ok := q.node.Handle(q.sidecar.clock.Now(), m); ok {
		q.sendMessage(m.Host, reply)
	}
	if m.Answer {
		q.notifyAnswer()
	}
}

// nextAnswer returns a channel that is closed when waiting requests may be decided.
func (q *quotas) nextAnswer() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.answered
}

func (q *quotas) notifyAnswer() {
	q.mu.Lock()
	defer q.mu.Unlock()
	close(q.answered)
	q.answered = make(chan struct{})
}

// report updates the gauges, and logs the organisations of which requests were refused
// since the latest report.
func (q *quotas) report() {
	s := q.sidecar
	s.gauge("quota_outstanding_tokens", q.node.Outstanding())
	changed := map[string]bool{}
	for _, r := range q.node.TakeReports(s.clock.Now()) {
		series := r.Organisation
		if _, ok := q.totals[series]; !ok && len(q.totals) >= maxQuotaSeries {
			series = restSeries
		}
		changed[series] = true
		total := q.totals[series]
		total.Add(r.Usage)
		q.totals[series] = total
		if r.Usage.Refused+r.Usage.Unanswered > 0 {
			_ = level.Info(s.logger).Log("event", "quota", "organisation", r.Organisation, "rate", r.Limit.Rate, "burst", r.Limit.Burst,
				"asked", r.Usage.Asked, "admitted", r.Usage.Admitted, "refused", r.Usage.Refused, "unanswered", r.Usage.Unanswered, "tokens", r.Tokens,
				"owner", r.Owner, "answered-ms", r.Age.Milliseconds())
		}
	}
	for series := range changed {
		total := q.totals[series]
		s.organisationGauge(series, "quota_asked", float64(total.Asked))
		s.organisationGauge(series, "quota_admitted", float64(total.Admitted))
		s.organisationGauge(series, "quota_refused", float64(total.Refused))
		s.organisationGauge(series, "quota_unanswered", float64(total.Unanswered))
	}
}
