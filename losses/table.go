package losses

import (
	"fmt"
	"io"
	"path/filepath"
	"sort"
	"strings"
	"text/tabwriter"
)

// Day holds the report of a day and the causes found in its logs.
type Day struct {
	name   string
	report *report
	// causes is nil when there is no log.
	causes *causes
}

// ReadDay reads the report of a day, and the logs of its nodes unless log is
// empty.
func ReadDay(name, log string) (*Day, error) {
	r, err := readReport(name)
	if err != nil {
		return nil, err
	}
	d := &Day{name: strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)), report: r}
	if log != "" {
		if d.causes, err = readCauses(log); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// minLoss is the least value that, on any day, makes a row part of the table.
const minLoss = 0.0005

// row holds the values of a row by the name of the day; a missing value is 0.
type row map[string]float64

// section is a part of the table with rows by name, sorted by their sums.
type section struct {
	title string
	rows  map[string]row
}

func newSection(title string) *section { return &section{title: title, rows: map[string]row{}} }

func (s *section) add(name, day string, value float64) {
	if s.rows[name] == nil {
		s.rows[name] = row{}
	}
	s.rows[name][day] += value
}

// names returns the names of the rows that reach minLoss, the largest sum
// first.
func (s *section) names() []string {
	sums := map[string]float64{}
	var names []string
	for name, values := range s.rows {
		include := false
		for _, value := range values {
			sums[name] += value
			include = include || value >= minLoss
		}
		if include {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		if sums[names[i]] != sums[names[j]] {
			return sums[names[i]] > sums[names[j]]
		}
		return names[i] < names[j]
	})
	return names
}

// Print writes a table with a column for each day.
func Print(w io.Writer, days []*Day) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	line := func(cells ...string) { _, _ = fmt.Fprintln(tw, strings.Join(cells, "\t")+"\t") }
	titles := []string{"day"}
	worths := []string{"worth"}
	for _, d := range days {
		titles = append(titles, d.name)
		worths = append(worths, fmt.Sprintf("%.3f", *d.report.Worth))
	}
	line(titles...)
	line(worths...)
	for _, s := range sections(days) {
		line("")
		line(s.title)
		for _, name := range s.names() {
			cells := []string{name}
			for _, d := range days {
				cells = append(cells, fmt.Sprintf("%.3f", s.rows[name][d.name]))
			}
			line(cells...)
		}
	}
	return tw.Flush()
}

func sections(days []*Day) []*section {
	parts := newSection("lost, of the owed worth")
	prices := newSection("prices, of the owed worth")
	outcomes := newSection("of the requests of a kind")
	late := newSection("late, by cause, of the logged ones")
	failed := newSection("not served, by reason, of the logged ones")
	transfers := newSection("megabytes between failure domains")
	for _, d := range days {
		for _, p := range d.report.Parts {
			parts.add(p.name, d.name, p.weight*(1-p.earned))
		}
		for _, p := range d.report.Prices {
			prices.add(p.name, d.name, p.cost)
		}
		for _, c := range d.report.Classes {
			owed := float64(max(c.Requests-c.NotOwed, 1))
			outcomes.add(c.Name+" late", d.name, float64(c.Late)/owed)
			outcomes.add(c.Name+" refused", d.name, float64(c.Refused)/owed)
			outcomes.add(c.Name+" failed", d.name, float64(c.Failed)/owed)
		}
		if d.causes != nil {
			addShares(late, d.name, d.causes.late)
			addShares(failed, d.name, d.causes.failed)
			for name, megabytes := range d.causes.transfers {
				transfers.add(name, d.name, megabytes)
			}
		}
	}
	return []*section{parts, prices, outcomes, late, failed, transfers}
}

// addShares adds counts as shares of their sum.
func addShares(s *section, day string, counts map[string]int) {
	all := 0
	for _, count := range counts {
		all += count
	}
	for name, count := range counts {
		s.add(name, day, float64(count)/float64(all))
	}
}
