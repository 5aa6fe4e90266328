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

// maxLateFraction is the fraction of requests sent late above which the report names
// the load source as a bottleneck.
const maxLateFraction = 0.02

// ReportLine is the value of one figure with and without the layer; a value is
// nil if there was no such run.
type ReportLine struct {
	Scenario string   `json:"scenario"`
	Figure   string   `json:"figure"`
	With     *float64 `json:"with"`
	Without  *float64 `json:"without"`
	Unit     string   `json:"unit"`
}

// String returns the line as it is printed.
func (l ReportLine) String() string {
	return fmt.Sprintf("figure=%s with=%s without=%s unit=%s", l.Figure, formatValue(l.With), formatValue(l.Without), l.Unit)
}

// formatValue returns the value with four significant digits, or "-" for nil.
func formatValue(x *float64) string {
	if x == nil {
		return "-"
	}
	return fmt.Sprintf("%.4g", *x)
}

// ReportLines returns the values of the scenario's figures. Either run may be nil.
func ReportLines(s *scenario.Scenario, with, without *Result) []ReportLine {
	var lines []ReportLine
	for _, figure := range s.Figures {
		line := ReportLine{Scenario: s.Name, Figure: figure.Name, Unit: figure.Unit}
		if with != nil {
			value := Evaluate(figure.Value, with, without)
			line.With = &value
		}
		if without != nil {
			value := Evaluate(figure.Value, without, without)
			line.Without = &value
		}
		lines = append(lines, line)
	}
	return lines
}

// WriteReport writes the lines to a file as JSON.
func WriteReport(path string, lines []ReportLine) error {
	text, err := json.MarshalIndent(lines, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// PrintTable prints a table of the requests by phase and class: rates, fractions by
// result, and latencies. Below it, it prints the results of each class's calls.
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
			refused := r.fraction(m, isRefused)
			_, _ = fmt.Fprintf(table, "  %s\t%s\t%.1f\t%.1f\t%.2f%%\t%.2f%%\t%.2f%%\t%.1f\t%.1f\n", phase.Name, class,
				r.perSecond(m, r.countStarted(m, anyRecord)), r.perSecond(m, r.countEnded(m, isCompleted)),
				100*r.fraction(m, (*load.Record).FirstCallSucceeded), 100*refused,
				100*(1-refused-r.fraction(m, isCompleted)), r.latency(m, 50, isNotRefused), r.latency(m, 99, isNotRefused))
		}
	}
	_ = table.Flush()
	for _, class := range r.Scenario.Classes {
		if counts := r.resultCounts(class); len(counts) > 0 {
			_, _ = fmt.Fprintf(w, "  asks of %s: %s\n", class, strings.Join(counts, ", "))
		}
	}
	if r.LateFraction > maxLateFraction {
		_, _ = fmt.Fprintf(w, "  The load source was itself a bottleneck: %.1f%% of requests were sent late.\n", 100*r.LateFraction)
	}
	if len(r.UnexpectedExits) > 0 {
		_, _ = fmt.Fprintf(w, "  Processes that exited unexpectedly: %s\n", strings.Join(r.UnexpectedExits, ", "))
	}
}

// resultCounts returns the number of the class's calls by result and reason.
func (r *Result) resultCounts(class string) []string {
	counts := map[string]int{}
	for _, record := range r.Records {
		if record.Stream.Class != class {
			continue
		}
		for _, call := range record.Calls {
			name := call.Result.String()
			if call.Reason != "" {
				name += " (" + call.Reason + ")"
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

// PrintPromises prints each promise with its value. It reports whether all are
// kept and no process exited unexpectedly.
func PrintPromises(w io.Writer, r *Result) bool {
	kept := len(r.UnexpectedExits) == 0
	for _, promise := range r.Scenario.Promises {
		value := Evaluate(promise.Value, r, nil)
		satisfied := holds(promise, value)
		kept = kept && satisfied
		_, _ = fmt.Fprintf(w, "  %-8s %s: %.4g (promised %s %.4g)\n", verdict(satisfied), promise.Name, value, promise.Comparison, promise.Bound)
	}
	return kept
}

func verdict(ok bool) string {
	if ok {
		return "kept"
	}
	return "BROKEN"
}

// holds reports whether the value satisfies the promise.
func holds(p scenario.Promise, value float64) bool {
	switch p.Comparison {
	case "<=":
		return value <= p.Bound
	case ">=":
		return value >= p.Bound
	default:
		return value == p.Bound
	}
}
