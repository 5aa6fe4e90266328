package timeline

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/command/table"
	events "github.com/gypsumford/gypsumford/timeline"
)

// clockLayout is the time of day in microseconds, by the wall clock of the node.
const clockLayout = "15:04:05.000000"

// writeText prints one event per line: time, node, kind, request, subject, detail
// and value.
func writeText(w io.Writer, list []events.Event) error {
	buffered := bufio.NewWriter(w)
	for i := range list {
		_, _ = fmt.Fprintln(buffered, formatEvent(&list[i]))
	}
	return errors.Wrap(buffered.Flush(), "write the output")
}

func formatEvent(e *events.Event) string {
	parts := []string{
		e.Time.Format(clockLayout),
		fmt.Sprintf("%-16s", table.Printable(string(e.Node))),
		fmt.Sprintf("%-15s", e.Kind),
	}
	for _, part := range []string{string(e.Request), subject(e), e.Detail} {
		if part != "" {
			parts = append(parts, table.Printable(part))
		}
	}
	if e.Value != 0 {
		parts = append(parts, strconv.FormatFloat(e.Value, 'g', 6, 64))
	}
	return strings.Join(parts, "  ")
}

// subject returns the service, operation and class of an event as text.
func subject(e *events.Event) string {
	text := e.Service
	if e.Operation != "" {
		text += "/" + e.Operation
	}
	if e.Class != "" {
		text += " (" + e.Class + ")"
	}
	return text
}
