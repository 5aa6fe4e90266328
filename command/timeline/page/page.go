// Package page renders a time line as one HTML page that needs nothing else:
// plots drawn in SVG, a list of faults and changes, and the events with a filter.
//
// The plots are drawn here, so they are there without scripts too; a short
// script in the page filters the list of events.
package page

import (
	_ "embed"
	"html/template"
	"io"
	"slices"
	"time"

	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/timeline"
)

// mostEvents is the number of events that the page lists, the last ones.
const mostEvents = 50_000

//go:embed page.html
var source string

var pageTemplate = template.Must(template.New("page").Parse(source))

// content is what the template shows.
type content struct {
	Total   int
	Listed  int
	Nodes   int
	From    string
	To      string
	Bucket  string
	Lossy   int
	Plot    template.HTML
	Marks   []markRow
	Omitted int // marks that aren't drawn
	Rows    []row
}

// markRow is a mark in the list below the plots.
type markRow struct {
	Number int
	Clock  string
	Text   string
	Nodes  int
	Colour string
}

// row is an event in the list, as an array to keep the page small.
type row [8]any

const clockLayout = "15:04:05.000"

// Write renders events that are in causal order. The lossy nodes have lost older
// events, so the page marks the time before their first one as incomplete.
func Write(w io.Writer, events []timeline.Event, lossy []fleet.InstanceID) error {
	c := content{Total: len(events), Lossy: len(lossy), Nodes: countNodes(events)}
	if len(events) > 0 {
		c.fill(events, lossy)
	}
	return pageTemplate.Execute(w, c)
}

func (c *content) fill(events []timeline.Event, lossy []fleet.InstanceID) {
	s := spanOf(events)
	c.From, c.To = s.from.UTC().Format(time.RFC3339), s.to.UTC().Format(time.RFC3339)
	c.Bucket = s.bucket.String()
	all := marks(events)
	drawn := all[:min(len(all), mostMarks)]
	c.Omitted = len(all) - len(drawn)
	byClass, byService := classPanels(events, s), servicePanels(events, s)
	p := plot{
		span: s, panels: append(byClass, byService...), colours: newPalette(byClass, byService),
		marks: drawn, incomplete: completeFrom(events, lossy),
	}
	c.Plot = template.HTML(p.svg())
	for i, m := range drawn {
		c.Marks = append(c.Marks, markRow{i + 1, m.at.UTC().Format(clockLayout), m.text, m.nodes, markColour(m.kind)})
	}
	for _, e := range events[max(len(events)-mostEvents, 0):] {
		c.Rows = append(c.Rows, newRow(&e))
	}
	c.Listed = len(c.Rows)
}

func classPanels(events []timeline.Event, s span) []panel {
	requests := requestsOf(events)
	panels := []panel{
		{title: "Whole requests completed a second", lines: requestRates(requests, s, completed), note: "no completed requests"},
		{title: "Whole requests refused a second", lines: requestRates(requests, s, refused), note: "nothing refused"},
	}
	if lines := requestRates(requests, s, failed); len(lines) > 0 {
		panels = append(panels, panel{title: "Whole requests that failed at a target a second", lines: lines})
	}
	return panels
}

// servicePanels leaves out what didn't change.
func servicePanels(events []timeline.Event, s span) []panel {
	all := []panel{
		{title: "Concurrency limit, sum over targets", lines: sums(events, s, timeline.LimitChanged)},
		{title: "Share admitted by the strictest target", lines: lowest(events, s, timeline.LevelChanged), top: 1},
	}
	return slices.DeleteFunc(all, func(p panel) bool { return len(p.lines) == 0 })
}

func newRow(e *timeline.Event) row {
	return row{
		e.Time.UTC().Format(clockLayout), string(e.Node), e.Kind.String(), string(e.Request),
		e.Service + slash(e.Operation), e.Class, e.Detail, e.Value,
	}
}

// completeFrom returns the time from which no node has lost events.
func completeFrom(events []timeline.Event, lossy []fleet.InstanceID) time.Time {
	first := make(map[fleet.InstanceID]time.Time)
	for i := range events {
		e := &events[i]
		if at, seen := first[e.Node]; !seen || e.Time.Before(at) {
			first[e.Node] = e.Time
		}
	}
	var latest time.Time
	for _, node := range lossy {
		if at := first[node]; at.After(latest) {
			latest = at
		}
	}
	return latest
}

func countNodes(events []timeline.Event) int {
	nodes := make(map[fleet.InstanceID]bool)
	for i := range events {
		nodes[events[i].Node] = true
	}
	return len(nodes)
}

func slash(operation string) string {
	if operation == "" {
		return ""
	}
	return "/" + operation
}

func orDash(name string) string {
	if name == "" {
		return "-"
	}
	return name
}
