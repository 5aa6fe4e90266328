// Package page renders a timeline as one self-contained HTML page: plots in SVG, a
// list of faults and changes, and a table of events with a filter.
//
// The plots are rendered here and need no script. A short script in the page filters
// the events.
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

// maxEvents is the largest number of events in the table; older ones are left out.
const maxEvents = 50_000

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("page").Parse(pageSource))

// content is the data of the template.
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
	Omitted int // number of marks that aren't drawn
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

// row is an event in the table. An array keeps the JSON in the page small.
type row [8]any

const clockLayout = "15:04:05.000"

// Write renders events that are in causal order. Older events of the lossy nodes
// were dropped, so the page marks the time before their first events as incomplete.
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
	drawn := all[:min(len(all), maxMarks)]
	c.Omitted = len(all) - len(drawn)
	byClass, byService := classPanels(events, s), servicePanels(events, s)
	p := plot{
		span: s, panels: append(byClass, byService...), colours: newPalette(byClass, byService),
		marks: drawn, incomplete: completeSince(events, lossy),
	}
	c.Plot = template.HTML(p.svg())
	for i, m := range drawn {
		c.Marks = append(c.Marks, markRow{i + 1, m.at.UTC().Format(clockLayout), m.text, m.nodes, markColour(m.kind)})
	}
	for _, e := range events[max(len(events)-maxEvents, 0):] {
		c.Rows = append(c.Rows, newRow(&e))
	}
	c.Listed = len(c.Rows)
}

func classPanels(events []timeline.Event, s span) []panel {
	requests := requestsOf(events)
	panels := []panel{
		{title: "Root requests completed per second", lines: requestRates(requests, s, completed), note: "no completed requests"},
		{title: "Root requests refused per second", lines: requestRates(requests, s, refused), note: "nothing refused"},
	}
	if lines := requestRates(requests, s, failed); len(lines) > 0 {
		panels = append(panels, panel{title: "Root requests failed at a target per second", lines: lines})
	}
	return panels
}

// servicePanels returns the panels by service. A panel without data is left out.
func servicePanels(events []timeline.Event, s span) []panel {
	all := []panel{
		{title: "Concurrency limit, sum over targets", lines: sumByService(events, s, timeline.LimitChanged)},
		{title: "Share admitted by the strictest target", lines: minByService(events, s, timeline.LevelChanged), top: 1},
	}
	return slices.DeleteFunc(all, func(p panel) bool { return len(p.lines) == 0 })
}

func newRow(e *timeline.Event) row {
	return row{
		e.Time.UTC().Format(clockLayout), string(e.Node), e.Kind.String(), string(e.Request),
		e.Service + operationSuffix(e.Operation), e.Class, e.Detail, e.Value,
	}
}

// completeSince returns the time since which no node has dropped events. It is zero
// if no node has.
func completeSince(events []timeline.Event, lossy []fleet.InstanceID) time.Time {
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

func operationSuffix(operation string) string {
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
