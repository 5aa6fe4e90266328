package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/gypsumford/gypsumford/standin/load"
	"github.com/gypsumford/gypsumford/standin/scenario"
)

// maxLate is the share of late requests above which the source is said to have
// been the bottleneck.
const maxLate = 0.02

// Line is one figure of a scenario.
type Line struct {
	Scenario string   `json:"scenario"`
	Figure   string   `json:"figure"`
	With     *float64 `json:"with"`
	Without  *float64 `json:"without"`
	Unit     string   `json:"unit"`
}

// String returns the line as it is printed.
func (l Line) String() string {
	return fmt.Sprintf("figure=%s with=%s without=%s unit=%s", l.Figure, number4(l.With), number4(l.Without), l.Unit)
}

func number4(x *float64) string {
	if x == nil {
		return "-"
	}
	return fmt.Sprintf("%.4g", *x)
}

// Lines returns the scenario's figures. Either run may be nil.
func Lines(s *scenario.Scenario, with, without *Result) []Line {
	var lines []Line
	for _, figure := range s.Figures {
		line := Line{Scenario: s.Name, Figure: figure.Name, Unit: figure.Unit}
		if with != nil {
			value := Value(figure.Value, with, without)
			line.With = &value
		}
		if without != nil {
			value := Value(figure.Value, without, without)
			line.Without = &value
		}
		lines = append(lines, line)
	}
	return lines
}

// WriteLines writes the figures as JSON.
func WriteLines(path string, lines []Line) error {
	text, err := json.MarshalIndent(lines, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// PrintTable prints what was offered, whole and refused by phase and class.
func PrintTable(w io.Writer, title string, r *Result) {
	_, _ = fmt.Fprintf(w, "%s\n", title)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "  phase\tclass\toffered/s\twhole/s\twhole at first ask\trefused\tother\tp50 ms\tp99 ms")
	for _, phase := range r.Scenario.Phases {
		for _, class := range r.Scenario.Classes {
			m := scenario.Measure{Phase: phase.Name, Classes: []string{class}}
			if r.countStarted(m, anyRecord) == 0 {
				continue
			}
			refused := r.share(m, isRefused)
			_, _ = fmt.Fprintf(table, "  %s\t%s\t%.1f\t%.1f\t%.2f%%\t%.2f%%\t%.2f%%\t%.1f\t%.1f\n", phase.Name, class,
				r.perSecond(m, r.countStarted(m, anyRecord)), r.perSecond(m, r.countEnded(m, isWhole)),
				100*r.share(m, (*load.Record).FirstCallSucceeded), 100*refused,
				100*(1-refused-r.share(m, isWhole)), r.latency(m, 50, isAnswered), r.latency(m, 99, isAnswered))
		}
	}
	_ = table.Flush()
	for _, class := range r.Scenario.Classes {
		if counts := r.askCounts(class); len(counts) > 0 {
			_, _ = fmt.Fprintf(w, "  asks of %s: %s\n", class, strings.Join(counts, ", "))
		}
	}
	if r.Late > maxLate {
		_, _ = fmt.Fprintf(w, "  The load source was itself a bottleneck: %.1f%% of requests were sent late.\n", 100*r.Late)
	}
	if len(r.Died) > 0 {
		_, _ = fmt.Fprintf(w, "  Processes that ended by themselves: %s\n", strings.Join(r.Died, ", "))
	}
}

// askCounts returns the results of a class's asks, refusals by reason.
func (r *Result) askCounts(class string) []string {
	counts := map[string]int{}
	for _, record := range r.Records {
		if record.Stream.Class != class {
			continue
		}
		for _, ask := range record.Calls {
			name := ask.Result.String()
			if ask.Reason != "" {
				name += " (" + ask.Reason + ")"
			}
			counts[name]++
		}
	}
	var texts []string
	for name, n := range counts {
		texts = append(texts, fmt.Sprintf("%d %s", n, name))
	}
	sort.Strings(texts)
	return texts
}

// PrintPromises prints each promise and reports whether all are kept.
func PrintPromises(w io.Writer, r *Result) bool {
	kept := len(r.Died) == 0
	for _, promise := range r.Scenario.Promises {
		value := Value(promise.Value, r, nil)
		ok := holds(promise, value)
		kept = kept && ok
		_, _ = fmt.Fprintf(w, "  %-8s %s: %.4g (promised %s %.4g)\n", verdict(ok), promise.Name, value, promise.Sign, promise.Bound)
	}
	return kept
}

func verdict(ok bool) string {
	if ok {
		return "kept"
	}
	return "BROKEN"
}

func holds(p scenario.Promise, value float64) bool {
	switch p.Sign {
	case "<=":
		return value <= p.Bound
	case ">=":
		return value >= p.Bound
	default:
		return value == p.Bound
	}
}
