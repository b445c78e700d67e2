package capacity

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Point is a measurement Y at X.
type Point struct {
	X float64
	Y float64
}

// Series holds the measurements of a quantity against another. Unit is that of Y.
type Series struct {
	Name   string
	XLabel string
	Unit   string
	Points []Point
}

func (s *Series) add(x, y float64) { s.Points = append(s.Points, Point{X: x, Y: y}) }

// Fit returns the least-squares line through the points.
func (s *Series) Fit() (slope, intercept float64) {
	n := float64(len(s.Points))
	var sx, sy, sxx, sxy float64
	for _, p := range s.Points {
		sx += p.X
		sy += p.Y
		sxx += p.X * p.X
		sxy += p.X * p.Y
	}
	divisor := n*sxx - sx*sx
	if divisor == 0 {
		return 0, sy / max(n, 1)
	}
	slope = (n*sxy - sx*sy) / divisor
	return slope, (sy - slope*sx) / n
}

// Print writes the series as a table, one a line, with their fits.
func Print(w io.Writer, all []*Series) error {
	writer := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(writer, "quantity\tunit\tagainst\tpoints\tslope\tintercept")
	for _, s := range all {
		points := ""
		for i, p := range s.Points {
			if i > 0 {
				points += " "
			}
			points += fmt.Sprintf("%g:%.4g", p.X, p.Y)
		}
		slope, intercept := s.Fit()
		_, _ = fmt.Fprintf(writer, "%s\t%s\t%s\t%s\t%.4g\t%.4g\n", s.Name, s.Unit, s.XLabel, points, slope, intercept)
	}
	return writer.Flush()
}
