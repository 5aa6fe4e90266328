package finding

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// MaxFindings is the number of findings that a List stores. Further ones are only
// counted, so that a hostile input can't exhaust memory.
const MaxFindings = 1000

// List collects findings. Its zero value is empty and ready for use.
type List struct {
	findings []Finding
	omitted  int
}

// Add adds a finding.
func (l *List) Add(f Finding) {
	if len(l.findings) >= MaxFindings {
		l.omitted++
		return
	}
	l.findings = append(l.findings, f)
}

// Addf adds a finding whose message is formatted as by fmt.Sprintf.
func (l *List) Addf(file string, line int, field, format string, args ...any) {
	l.Add(Finding{File: file, Line: line, Field: field, Message: fmt.Sprintf(format, args...)})
}

// Len returns the number of findings, those beyond MaxFindings included.
func (l *List) Len() int { return len(l.findings) + l.omitted }

// Findings returns the stored findings, sorted by file, line and field.
func (l *List) Findings() []Finding {
	sorted := slices.Clone(l.findings)
	slices.SortStableFunc(sorted, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Field, b.Field),
		)
	})
	return sorted
}

// Err returns the list as an error of type *List, or nil if the list is empty.
func (l *List) Err() error {
	if l.Len() == 0 {
		return nil
	}
	return l
}

// Error returns the same text as String.
func (l *List) Error() string { return l.String() }

// String returns the findings in the order of Findings, one per line, without a
// line end after the last.
func (l *List) String() string {
	lines := make([]string, 0, len(l.findings)+1)
	for _, f := range l.Findings() {
		lines = append(lines, f.String())
	}
	if l.omitted > 0 {
		lines = append(lines, fmt.Sprintf("and %d more findings", l.omitted))
	}
	return strings.Join(lines, "\n")
}
