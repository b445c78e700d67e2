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
	// reportInterval is the mean time between two reports of a node to the relays.
	reportInterval = 5 * time.Second
	// writeInterval is the mean time between two writes of a relay to the
	// platform.
	writeInterval = 10 * time.Second
	// maxReportAge is how old a node's counts may be in the totals of a day that
	// has not ended.
	maxReportAge = time.Minute
	// minCloseDelay is the least time from the end of a day until it is closed,
	// which requires that its totals are trusted.
	minCloseDelay = 2 * time.Minute
	// maxCloseDelay is the time from the end of a day until it is closed even
	// though its totals are not trusted.
	maxCloseDelay = 30 * time.Minute
	// maxWriteAttempts limits the compare-and-swap attempts of one write.
	maxWriteAttempts = 5
)

// domainCounts holds the reports that this node writes to the platform for its
// failure domain.
type domainCounts struct {
	mu   sync.Mutex
	days map[string]*totals.Day
	// dirty holds the days that changed since they were last written.
	dirty map[string]bool
}

func newDomainCounts() *domainCounts {
	return &domainCounts{days: map[string]*totals.Day{}, dirty: map[string]bool{}}
}

// merge adds reports and marks the days that they change.
func (c *domainCounts) merge(reports []totals.DayReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, report := range reports {
		if c.day(report.Day).Merge(report.Report) {
			c.dirty[report.Day] = true
		}
	}
}

func (c *domainCounts) day(name string) *totals.Day {
	day, ok := c.days[name]
	if !ok {
		day = &totals.Day{}
		c.days[name] = day
	}
	return day
}

// takeDirty returns copies of the days that changed since they were written, and
// clears their marks.
func (c *domainCounts) takeDirty() map[string]totals.Day {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := map[string]totals.Day{}
	for name := range c.dirty {
		changed[name] = c.days[name].Clone()
	}
	c.dirty = map[string]bool{}
	return changed
}

// markDirty marks a day to be written again.
func (c *domainCounts) markDirty(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dirty[name] = true
}

// dropBefore removes the days before the one called oldest.
func (c *domainCounts) dropBefore(oldest string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.days {
		if name < oldest {
			delete(c.days, name)
			delete(c.dirty, name)
		}
	}
}

func (n *Node) today() string {
	return n.clock.Now().In(n.settings.Location()).Format(totals.DayLayout)
}

// sendReports sends this node's counts to the relays of its failure domain.
func (n *Node) sendReports(ctx context.Context) {
	reports := n.counter.Reports(n.clock.Now(), n.today())
	for _, member := range n.view.Snapshot().Relays(n.settings.FailureDomain(), relaysPerDomain) {
		if member.Host == n.settings.Host() {
			n.domainCounts.merge(reports)
			continue
		}
		message := n.newMessage(control.DailyTotals)
		message.DailyTotals = reports
		if _, err := n.peers.Request(ctx, member.Address, message); err != nil {
			_ = level.Debug(n.logger).Log("event", "counts-not-sent", "relay", member.Host, "err", err)
		}
	}
}

// writeCounts writes the changed days to the platform, discards days of more than
// three days ago and, on a relay, closes yesterday.
func (n *Node) writeCounts(ctx context.Context) {
	now := n.clock.Now()
	if n.isRelay() {
		n.addExpectedReports()
	}
	for name, day := range n.domainCounts.takeDirty() {
		if !n.writeDay(ctx, name, day) {
			n.domainCounts.markDirty(name)
		}
	}
	n.domainCounts.dropBefore(now.In(n.settings.Location()).AddDate(0, 0, -3).Format(totals.DayLayout))
	if n.isRelay() {
		n.closeDay(ctx, now)
	}
}

// addExpectedReports adds an empty report for each incarnation of the failure
// domain in the membership view, so that an incarnation that fails before its
// first report is listed as missing.
func (n *Node) addExpectedReports() {
	today := n.today()
	snapshot := n.view.Snapshot()
	var expected []totals.DayReport
	for _, member := range snapshot.Members() {
		if member.FailureDomain == n.settings.FailureDomain() && member.Status <= membership.Suspect {
			expected = append(expected, expectedReport(today, member.Host, member.Incarnation))
		}
	}
	for _, former := range snapshot.FormerIncarnations() {
		ended := former.Ended.In(n.settings.Location()).Format(totals.DayLayout)
		if former.FailureDomain == n.settings.FailureDomain() && ended == today {
			expected = append(expected, expectedReport(today, former.Host, former.Incarnation))
		}
	}
	n.domainCounts.merge(expected)
}

func expectedReport(day, host, incarnation string) totals.DayReport {
	return totals.DayReport{Day: day, Report: totals.Report{Host: host, Incarnation: incarnation}}
}

func (n *Node) countsKey(day, failureDomain string) string {
	return countsKeyPrefix + day + "/" + failureDomain
}

// writeDay merges a day into the platform's value. The merge is idempotent, so
// it may be repeated after a write whose response was lost.
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
		err = n.store.Put(ctx, key, data, entry)
		if err == nil {
			return true
		}
		if platform.KindOf(err) != platform.KindConflict {
			return false
		}
	}
	return false
}

// Totals returns the totals of a day: the stored summary if the day is closed,
// else a summary of the reports so far.
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

// summarize adds up the stored counts of all failure domains in the membership
// view.
func (n *Node) summarize(ctx context.Context, day string, end time.Time) *totals.Summary {
	var days []totals.Day
	var missing []string
	for _, failureDomain := range n.view.Snapshot().FailureDomains() {
		entry, err := n.store.Get(ctx, n.countsKey(day, failureDomain))
		if err != nil {
			missing = append(missing, failureDomain)
			continue
		}
		value, err := totals.DecodeDay(entry.Value())
		if err != nil {
			missing = append(missing, failureDomain)
			continue
		}
		days = append(days, value)
	}
	scope := totals.Scope{Day: day, Through: end, DayEnded: true}
	if now := n.clock.Now(); now.Before(end) {
		scope.Through = now.Add(-maxReportAge)
		scope.DayEnded = false
	}
	return totals.Summarize(scope, days, missing)
}

// closeDay stores yesterday's summary once it is trusted, or untrusted after
// maxCloseDelay. The first write wins; a stored summary is never changed.
func (n *Node) closeDay(ctx context.Context, now time.Time) {
	day := now.In(n.settings.Location()).AddDate(0, 0, -1).Format(totals.DayLayout)
	end, err := totals.EndOfDay(day, n.settings.Location())
	if err != nil || now.Before(end.Add(minCloseDelay)) {
		return
	}
	key := countsKeyPrefix + day + closedKeySuffix
	entry, err := n.store.Get(ctx, key)
	if err != nil || entry.Version() != 0 {
		return
	}
	summary := n.summarize(ctx, day, end)
	if !summary.Trusted() && now.Before(end.Add(maxCloseDelay)) {
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
	if err := n.store.Put(ctx, key, data, entry); err == nil {
		_ = level.Info(n.logger).Log("event", "day-closed", "day", day, "trusted", summary.Trusted())
	}
}

// FlushCounts sends and writes the counts immediately instead of at the next
// interval.
func (n *Node) FlushCounts(ctx context.Context) {
	n.sendReports(ctx)
	n.writeCounts(ctx)
}
