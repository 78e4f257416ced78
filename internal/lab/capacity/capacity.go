// Package capacity measures how the cost of operations grows with the size of the
// system. It fits a line to the measurements and extrapolates to the size that the
// system is designed for.
package capacity

import (
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"

	"github.com/samber/lo"
)

// Slope is a series of measurements of one cost at several sizes.
type Slope struct {
	// Name identifies the series and its plot.
	Name string
	// Size and Cost are the labels of the axes, with their units.
	Size, Cost string
	// Points holds the measurements.
	Points []Point
	// Target is the size that the system is designed for.
	Target float64
	// Logarithmic reports whether the cost is expected to grow with the base-2
	// logarithm of the size.
	Logarithmic bool
}

// Point is one measurement.
type Point struct {
	// Size is the size at which the cost was measured, in the unit of Slope.Size.
	Size float64
	// Cost is the measured cost, in the unit of Slope.Cost.
	Cost float64
}

// Line is a fitted line.
type Line struct {
	// Intercept is the cost at size 0 (if logarithmic, at size 1), Slope the cost of each
	// additional unit.
	Intercept, Slope float64
	// Error is the standard error of the slope.
	Error float64
	// Logarithmic reports whether the slope is the cost of each doubling of the size.
	Logarithmic bool
}

// Fit returns the least-squares line through the points. The standard error is 0 if
// there are fewer than three points.
func (s Slope) Fit() Line {
	n := float64(len(s.Points))
	var sx, sy, sxx, sxy float64
	l := Line{Logarithmic: s.Logarithmic}
	for _, p := range s.Points {
		x := l.x(p.Size)
		sx, sy = sx+x, sy+p.Cost
		sxx, sxy = sxx+x*x, sxy+x*p.Cost
	}
	d := n*sxx - sx*sx
	l.Slope = (n*sxy - sx*sy) / d
	l.Intercept = (sy - l.Slope*sx) / n
	var residuals float64
	for _, p := range s.Points {
		r := p.Cost - l.At(p.Size)
		residuals += r * r
	}
	if n > 2 {
		l.Error = math.Sqrt(residuals / (n - 2) * n / d)
	}
	return l
}

// At returns the cost of the line at the given size.
func (l Line) At(size float64) float64 {
	return l.Intercept + l.Slope*l.x(size)
}

func (l Line) x(size float64) float64 {
	if l.Logarithmic {
		return math.Log2(size)
	}
	return size
}

// WriteTable writes one line for each series: its points, the fitted line with the
// standard error of the slope, and the extrapolated cost at the target size.
func WriteTable(w io.Writer, slopes []Slope) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "slope\tcost\tof\tpoints\tintercept\tslope\t+-\tat target")
	for _, s := range slopes {
		l := s.Fit()
		points := lo.Map(s.Points, func(p Point, _ int) string { return fmt.Sprintf("%.0f:%.4g", p.Size, p.Cost) })
		sizeUnit := s.Size
		if s.Logarithmic {
			sizeUnit = "doubling of " + sizeUnit
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.2g\t%.4g at %.0f\n", s.Name, s.Cost, sizeUnit,
			strings.Join(points, " "), l.Intercept, l.Slope, l.Error, l.At(s.Target), s.Target)
	}
	return t.Flush()
}
