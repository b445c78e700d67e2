package node

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/banyancross/banyancross/control"
	"github.com/banyancross/banyancross/membership"
	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/totals"
)

const (
	countsKeyPrefix = "banyancross/totals/"
	closedKeySuffix = "/closed"
	// reportInterval is the mean time between two reports to the relays.
	reportInterval = 5 * time.Second
	// writeInterval is the mean time between two writes of a relay.
	writeInterval = 10 * time.Second
	// reportLag is how old the counts of a day that is not over may be.
	reportLag = time.Minute
	// closeDelay is how long after its end a day may be closed when all counts
	// are complete.
	closeDelay = 2 * time.Minute
	// closeLimit is how long after its end a day is closed in any case.
	closeLimit = 30 * time.Minute
	// maxWriteAttempts bounds the tries of one write of counts.
	maxWriteAttempts = 5
)

// relay holds the counts that this node writes for its failure domain.
type relay struct {
	mu    sync.Mutex
	days  map[string]*totals.Day
	dirty map[string]bool
}

func newRelay() *relay {
	return &relay{days: map[string]*totals.Day{}, dirty: map[string]bool{}}
}

// take merges reports.
func (r *relay) take(reports []totals.DayReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, report := range reports {
		if r.day(report.Day).Merge(report.Report) {
			r.dirty[report.Day] = true
		}
	}
}

func (r *relay) day(name string) *totals.Day {
	day, ok := r.days[name]
	if !ok {
		day = &totals.Day{}
		r.days[name] = day
	}
	return day
}

// pending returns copies of the days that changed since they were written.
func (r *relay) pending() map[string]totals.Day {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := map[string]totals.Day{}
	for name := range r.dirty {
		found[name] = r.days[name].Clone()
	}
	r.dirty = map[string]bool{}
	return found
}

// failed marks a day to be written again.
func (r *relay) failed(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dirty[name] = true
}

// forget drops days before the named one.
func (r *relay) forget(before string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.days {
		if name < before {
			delete(r.days, name)
			delete(r.dirty, name)
		}
	}
}

func (n *Node) today() string {
	return n.clock.Now().In(n.settings.Location()).Format(totals.DayLayout)
}

// report gives this node's counts to the relays of its failure domain.
func (n *Node) report(ctx context.Context) {
	reports := n.counter.Reports(n.clock.Now(), n.today())
	for _, member := range n.view.Snapshot().Relays(n.settings.FailureDomain(), relays) {
		if member.Host == n.settings.Host() {
			n.relay.take(reports)
			continue
		}
		message := n.message(control.DailyTotals)
		message.DailyTotals = reports
		if _, err := n.peers.Request(ctx, member.Address, message); err != nil {
			_ = level.Debug(n.logger).Log("event", "counts-not-sent", "relay", member.Host, "err", err)
		}
	}
}

// relayWrite writes what this node holds as a relay, and closes days that are
// over.
func (n *Node) relayWrite(ctx context.Context) {
	now := n.clock.Now()
	if n.isRelay() {
		n.expectReports()
	}
	for name, day := range n.relay.pending() {
		if !n.writeDay(ctx, name, day) {
			n.relay.failed(name)
		}
	}
	n.relay.forget(now.In(n.settings.Location()).AddDate(0, 0, -3).Format(totals.DayLayout))
	if n.isRelay() {
		n.closeDay(ctx, now)
	}
}

// expectReports notes every incarnation of the failure domain that has been
// seen, so that one which vanishes before its first report is missed.
func (n *Node) expectReports() {
	today := n.today()
	snapshot := n.view.Snapshot()
	var expected []totals.DayReport
	for _, member := range snapshot.Members() {
		if member.FailureDomain == n.settings.FailureDomain() && member.Status <= membership.Suspect {
			expected = append(expected, expectedReport(today, member.Host, member.Incarnation))
		}
	}
	for _, former := range snapshot.FormerIncarnations() {
		replaced := former.Ended.In(n.settings.Location()).Format(totals.DayLayout)
		if former.FailureDomain == n.settings.FailureDomain() && replaced == today {
			expected = append(expected, expectedReport(today, former.Host, former.Incarnation))
		}
	}
	n.relay.take(expected)
}

func expectedReport(day, host, incarnation string) totals.DayReport {
	return totals.DayReport{Day: day, Report: totals.Report{Host: host, Incarnation: incarnation}}
}

func (n *Node) countsKey(day, failureDomain string) string {
	return countsKeyPrefix + day + "/" + failureDomain
}

// writeDay merges the counts into the platform's value. Merging again after a
// lost answer changes nothing.
func (n *Node) writeDay(ctx context.Context, name string, day totals.Day) bool {
	key := n.countsKey(name, n.settings.FailureDomain())
	for range maxWriteAttempts {
		entry, err := n.store.Get(ctx, key)
		if err != nil {
			return false
		}
		merged, err := totals.DecodeDay(entry.Value())
		if err != nil {
			_ = level.Error(n.logger).Log("event", "counts-unreadable", "key", key, "err", err)
			return false
		}
		merged.FailureDomain = n.settings.FailureDomain()
		if !merged.MergeDay(day) {
			return true
		}
		data, err := merged.Encode()
		if err != nil {
			return false
		}
		err = n.store.Put(ctx, key, data, entry.Version())
		if err == nil {
			return true
		}
		if platform.KindOf(err) != platform.KindConflict {
			return false
		}
	}
	return false
}

// Totals returns the totals of a day: the closed ones if it is closed, else
// those reported so far.
func (n *Node) Totals(ctx context.Context, day string) (*totals.Summary, error) {
	end, err := totals.EndOfDay(day, n.settings.Location())
	if err != nil {
		return nil, err
	}
	entry, err := n.store.Get(ctx, countsKeyPrefix+day+closedKeySuffix)
	if err != nil {
		return nil, err
	}
	if entry.Version() != 0 {
		return totals.DecodeSummary(entry.Value())
	}
	return n.summarize(ctx, day, end), nil
}

// summarize adds up the values of the failure domains that are known.
func (n *Node) summarize(ctx context.Context, day string, end time.Time) *totals.Summary {
	var days []totals.Day
	var absent []string
	for _, failureDomain := range n.view.Snapshot().FailureDomains() {
		entry, err := n.store.Get(ctx, n.countsKey(day, failureDomain))
		if err != nil {
			absent = append(absent, failureDomain)
			continue
		}
		value, err := totals.DecodeDay(entry.Value())
		if err != nil {
			absent = append(absent, failureDomain)
			continue
		}
		days = append(days, value)
	}
	scope := totals.Scope{Day: day, Through: end, DayEnded: true}
	if now := n.clock.Now(); now.Before(end) {
		scope.Through = now.Add(-reportLag)
		scope.DayEnded = false
	}
	return totals.Summarize(scope, days, absent)
}

// closeDay closes yesterday once its counts are complete or long overdue. The
// first write wins and is never changed.
func (n *Node) closeDay(ctx context.Context, now time.Time) {
	day := now.In(n.settings.Location()).AddDate(0, 0, -1).Format(totals.DayLayout)
	end, err := totals.EndOfDay(day, n.settings.Location())
	if err != nil || now.Before(end.Add(closeDelay)) {
		return
	}
	key := countsKeyPrefix + day + closedKeySuffix
	entry, err := n.store.Get(ctx, key)
	if err != nil || entry.Version() != 0 {
		return
	}
	summary := n.summarize(ctx, day, end)
	if !summary.Trusted() && now.Before(end.Add(closeLimit)) {
		return
	}
	if len(summary.Rows) == 0 {
		return
	}
	summary.Closed = now
	data, err := summary.Encode()
	if err != nil {
		return
	}
	if err := n.store.Put(ctx, key, data, 0); err == nil {
		_ = level.Info(n.logger).Log("event", "day-closed", "day", day, "trusted", summary.Trusted())
	}
}

// FlushCounts reports and writes the counts now, in place of at the next
// interval.
func (n *Node) FlushCounts(ctx context.Context) {
	n.report(ctx)
	n.relayWrite(ctx)
}
