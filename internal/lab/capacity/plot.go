package capacity

import (
	"fmt"
	"io"
	"strings"
)

// Dimensions of a plot, in pixels.
const (
	width, height = 480, 300
	margin        = 50
)

// WritePlot writes the points and the fitted line as SVG.
func (s Slope) WritePlot(w io.Writer) error {
	maxSize, maxCost := 0.0, 0.0
	for _, p := range s.Points {
		maxSize, maxCost = max(maxSize, p.Size), max(maxCost, p.Cost)
	}
	maxCost = max(maxCost*1.1, 1e-9)
	x := func(size float64) float64 { return margin + size/maxSize*(width-2*margin) }
	y := func(cost float64) float64 { return height - margin - cost/maxCost*(height-2*margin) }
	l := s.Fit()
	var b strings.Builder
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(&b, format+"\n", args...) }
	p(`<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`, width, height)
	p(`<rect width="%d" height="%d" fill="white"/>`, width, height)
	p(`<text x="%d" y="20">%s</text>`, margin, s.Name)
	p(`<path d="M%d %d V%d H%d" fill="none" stroke="black"/>`, margin, margin, height-margin, width-margin)
	p(`<text x="%d" y="%d">%s, up to %.4g</text>`, width/2-60, height-15, s.Size, maxSize)
	p(`<text x="8" y="40">%s, up to %.4g</text>`, s.Cost, maxCost)
	const steps = 60
	var path []string
	for i := 1; i <= steps; i++ {
		size := maxSize * float64(i) / steps
		path = append(path, fmt.Sprintf("%.1f,%.1f", x(size), y(max(l.At(size), 0))))
	}
	p(`<polyline points="%s" fill="none" stroke="steelblue"/>`, strings.Join(path, " "))
	for _, q := range s.Points {
		p(`<circle cx="%.1f" cy="%.1f" r="4" fill="firebrick"/>`, x(q.Size), y(q.Cost))
	}
	p(`</svg>`)
	_, err := io.WriteString(w, b.String())
	return err
}
