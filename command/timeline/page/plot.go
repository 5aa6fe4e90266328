package page

import (
	"fmt"
	"html"
	"math"
	"strings"
	"time"
)

// Layout of the drawing. Sizes are in pixels of the SVG view box.
const (
	width        = 1080
	panelHeight  = 150
	panelGap     = 52
	marginLeft   = 64
	marginRight  = 24
	marginTop    = 46
	axisHeight   = 34
	gridLines    = 4
	maxTimeTicks = 8
	legendStep   = 130
)

// panel is one chart. All panels share the time axis.
type panel struct {
	title string
	lines []series
	top   float64 // upper end of the scale, 0 to fit it to the data
	note  string  // shown if there are no lines
}

// plot draws panels below each other and marks over all of them.
type plot struct {
	span       span
	panels     []panel
	colours    palette
	marks      []mark
	incomplete time.Time // time before which events of some nodes were dropped; zero if none were
	out        strings.Builder
}

// svg returns the drawing as an SVG element.
func (p *plot) svg() string {
	height := marginTop + len(p.panels)*(panelHeight+panelGap) - panelGap + axisHeight
	fmt.Fprintf(&p.out, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %d %d" role="img" aria-label="Timeline of all nodes">`, width, height)
	for i, panel := range p.panels {
		p.drawPanel(panel, float64(marginTop+i*(panelHeight+panelGap)))
	}
	bottom := float64(marginTop+len(p.panels)*(panelHeight+panelGap)) - panelGap
	p.drawIncomplete(bottom)
	p.drawMarks(bottom)
	p.drawTimeAxis(bottom)
	p.out.WriteString("</svg>")
	return p.out.String()
}

func (p *plot) x(at time.Time) float64 {
	share := float64(at.Sub(p.span.from)) / float64(p.span.to.Sub(p.span.from))
	return marginLeft + min(max(share, 0), 1)*(width-marginLeft-marginRight)
}

func (p *plot) drawPanel(panel panel, y float64) {
	p.text(marginLeft, y-10, "start", "title", panel.title)
	top := panel.top
	if top == 0 {
		top = niceTop(panel.lines)
	}
	for i := range gridLines + 1 {
		lineY := y + panelHeight - float64(i)*panelHeight/gridLines
		fmt.Fprintf(&p.out, `<line x1="%d" x2="%d" y1="%.1f" y2="%.1f" class="grid"/>`, marginLeft, width-marginRight, lineY, lineY)
		p.text(marginLeft-8, lineY+4, "end", "tick", formatNumber(top*float64(i)/gridLines))
	}
	if len(panel.lines) == 0 {
		p.text(width/2, y+panelHeight/2, "middle", "tick", panel.note)
		return
	}
	for i, line := range panel.lines {
		colour := p.colours.of(line.name)
		p.drawLine(line, colour, y, top)
		x := float64(width - marginRight - (len(panel.lines)-i)*legendStep)
		fmt.Fprintf(&p.out, `<rect x="%.1f" y="%.1f" width="14" height="4" fill="%s"/>`, x, y-15, colour)
		p.text(x+20, y-10, "start", "tick", truncate(line.name))
	}
}

func (p *plot) drawLine(line series, colour string, y, top float64) {
	var points strings.Builder
	for _, point := range line.points {
		pointY := y + panelHeight*(1-min(point.value/top, 1))
		fmt.Fprintf(&points, "%.1f,%.1f ", p.x(point.at), pointY)
	}
	fmt.Fprintf(&p.out, `<polyline points="%s" fill="none" stroke="%s" stroke-width="1.8"><title>%s</title></polyline>`,
		strings.TrimSpace(points.String()), colour, html.EscapeString(line.name))
}

// drawIncomplete shades the time in which events of some nodes were dropped.
func (p *plot) drawIncomplete(bottom float64) {
	if p.incomplete.IsZero() || !p.incomplete.After(p.span.from) {
		return
	}
	fmt.Fprintf(&p.out, `<rect x="%d" y="%d" width="%.1f" height="%.1f" class="incomplete"><title>some nodes have lost their events of this time</title></rect>`,
		marginLeft, marginTop, p.x(p.incomplete)-marginLeft, bottom-marginTop)
}

func (p *plot) drawMarks(bottom float64) {
	for i, m := range p.marks {
		x := p.x(m.at)
		fmt.Fprintf(&p.out, `<line x1="%.1f" x2="%.1f" y1="%d" y2="%.1f" stroke="%s" stroke-dasharray="4 3"><title>%s</title></line>`,
			x, x, marginTop-18, bottom, markColour(m.kind), html.EscapeString(m.text))
		fmt.Fprintf(&p.out, `<text x="%.1f" y="%.1f" text-anchor="middle" class="mark" fill="%s">%d</text>`,
			x, float64(marginTop-22-(i%2)*11), markColour(m.kind), i+1)
	}
}

func (p *plot) drawTimeAxis(bottom float64) {
	total := p.span.to.Sub(p.span.from)
	step := tickStep(total)
	for at := p.span.from.Truncate(step); !at.After(p.span.to); at = at.Add(step) {
		if at.Before(p.span.from) {
			continue
		}
		fmt.Fprintf(&p.out, `<line x1="%.1f" x2="%.1f" y1="%.1f" y2="%.1f" class="axis"/>`, p.x(at), p.x(at), bottom, bottom+5)
		p.text(p.x(at), bottom+19, "middle", "tick", at.UTC().Format(tickLayout(step)))
	}
}

func (p *plot) text(x, y float64, anchor, class, text string) {
	fmt.Fprintf(&p.out, `<text x="%.1f" y="%.1f" text-anchor="%s" class="%s">%s</text>`, x, y, anchor, class, html.EscapeString(text))
}

// tickStep returns the shortest step that results in about maxTimeTicks ticks or
// fewer: one of bucketSteps, or a multiple of the longest.
func tickStep(total time.Duration) time.Duration {
	for _, step := range bucketSteps {
		if total/step <= maxTimeTicks {
			return step
		}
	}
	return bucketSteps[len(bucketSteps)-1] * time.Duration(1+total/bucketSteps[len(bucketSteps)-1]/maxTimeTicks)
}

// tickLayout returns the format of the ticks' times, with fractions of a second if
// the step is short.
func tickLayout(step time.Duration) string {
	if step < time.Second {
		return "15:04:05.00"
	}
	return "15:04:05"
}

// scaleTops are the round upper ends of scales, to be multiplied by a power of ten.
var scaleTops = []float64{1, 1.2, 1.6, 2, 2.4, 3, 4, 5, 6, 8, 10}

// niceTop returns a round upper end of the scale that no value exceeds.
func niceTop(lines []series) float64 {
	highest := 0.0
	for _, line := range lines {
		for _, point := range line.points {
			highest = max(highest, point.value)
		}
	}
	if highest <= 0 {
		return 1
	}
	power := math.Pow(10, math.Floor(math.Log10(highest)))
	for _, top := range scaleTops {
		if highest <= top*power {
			return top * power
		}
	}
	return 10 * power
}

// formatNumber returns a value of the scale as text without trailing zeros.
func formatNumber(value float64) string {
	return strings.TrimSuffix(strings.TrimRight(fmt.Sprintf("%.2f", value), "0"), ".")
}

func truncate(name string) string {
	const maxRunes = 15
	if runes := []rune(name); len(runes) > maxRunes {
		return string(runes[:maxRunes]) + "…"
	}
	return name
}
