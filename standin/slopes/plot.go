package main

import (
	"fmt"
	"html"
	"math"
	"strings"
)

// Size of a plot and of its margins, in pixels.
const (
	plotWidth  = 480
	plotHeight = 300
	plotMargin = 60
)

// drawPlot returns an SVG plot of the figures' values over their sizes. The axis of
// sizes is logarithmic; the axis of values is linear and begins at 0.
func drawPlot(name string, figures []figure) string {
	figures = sortedBySize(figures)
	maxValue := 0.0
	for _, f := range figures {
		maxValue = math.Max(maxValue, f.value)
	}
	if maxValue == 0 {
		maxValue = 1
	}
	minLog := math.Log10(float64(figures[0].size))
	maxLog := math.Log10(float64(figures[len(figures)-1].size))
	x := func(size int) float64 {
		return plotMargin + (math.Log10(float64(size))-minLog)/math.Max(maxLog-minLog, 1e-9)*(plotWidth-2*plotMargin)
	}
	y := func(value float64) float64 {
		return plotHeight - plotMargin - value/maxValue*(plotHeight-2*plotMargin)
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n",
		plotWidth, plotHeight)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/>`+"\n")
	fmt.Fprintf(&b, `<text x="%d" y="25" font-size="14">%s, %s</text>`+"\n",
		plotMargin, html.EscapeString(name), html.EscapeString(figures[0].unit))
	fmt.Fprintf(&b, `<path d="M%d %d V%d H%d" stroke="black" fill="none"/>`+"\n",
		plotMargin, plotMargin, plotHeight-plotMargin, plotWidth-plotMargin)
	var points []string
	for _, f := range figures {
		points = append(points, fmt.Sprintf("%.1f,%.1f", x(f.size), y(f.value)))
		fmt.Fprintf(&b, `<circle cx="%.1f" cy="%.1f" r="3"/>`, x(f.size), y(f.value))
		fmt.Fprintf(&b, `<text x="%.1f" y="%.1f" text-anchor="middle">%.4g</text>`, x(f.size), y(f.value)-7, f.value)
		fmt.Fprintf(&b, `<text x="%.1f" y="%d" text-anchor="middle">%d</text>`+"\n",
			x(f.size), plotHeight-plotMargin+16, f.size)
	}
	fmt.Fprintf(&b, `<polyline points="%s" fill="none" stroke="steelblue"/>`+"\n", strings.Join(points, " "))
	fmt.Fprintf(&b, `<text x="%d" y="%d" text-anchor="middle">members or nodes</text>`+"\n</svg>\n",
		plotWidth/2, plotHeight-15)
	return b.String()
}
