package losses

import (
	"fmt"
	"io"
	"path/filepath"
	"sort"
	"strings"
	"text/tabwriter"
)

// Day is what one day lost.
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

// minLoss is the least loss on some day that gets a row.
const minLoss = 0.0005

// row is a named figure of each day; days without it have none.
type row map[string]float64

// section is a part of the table whose rows are ordered by their sum.
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

// names returns the rows that say something, the largest first.
func (s *section) names() []string {
	sums := map[string]float64{}
	var names []string
	for name, values := range s.rows {
		large := false
		for _, value := range values {
			sums[name] += value
			large = large || value >= minLoss
		}
		if large {
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

// Print writes the table of several days.
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
	endings := newSection("of the requests of a kind")
	late := newSection("late, by cause, of the logged ones")
	failed := newSection("not served, by reason, of the logged ones")
	for _, d := range days {
		for _, p := range d.report.Parts {
			parts.add(p.name, d.name, p.weight*(1-p.earned))
		}
		for _, p := range d.report.Prices {
			prices.add(p.name, d.name, p.cost)
		}
		for _, c := range d.report.Classes {
			owed := float64(max(c.Asked-c.NotOwed, 1))
			endings.add(c.Name+" late", d.name, float64(c.Late)/owed)
			endings.add(c.Name+" refused", d.name, float64(c.Refused)/owed)
			endings.add(c.Name+" failed", d.name, float64(c.Failed)/owed)
		}
		if d.causes != nil {
			addShares(late, d.name, d.causes.late)
			addShares(failed, d.name, d.causes.failed)
		}
	}
	return []*section{parts, prices, endings, late, failed}
}

func addShares(s *section, day string, counts map[string]int) {
	all := 0
	for _, count := range counts {
		all += count
	}
	for name, count := range counts {
		s.add(name, day, float64(count)/float64(all))
	}
}
