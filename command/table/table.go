// Package table prints text tables with aligned columns.
package table

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"unicode"
)

// columnGap is the least number of spaces between two columns.
const columnGap = 2

// Table is a table with a header. The zero value is an empty table.
type Table struct {
	header []string
	rows   [][]string
}

// New returns an empty table with the given column names.
func New(header ...string) *Table { return &Table{header: header} }

// Row adds a row. Cells are formatted as by fmt.Sprint, and empty ones as "-".
func (t *Table) Row(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		if row[i] = Printable(fmt.Sprint(cell)); row[i] == "" {
			row[i] = "-"
		}
	}
	t.rows = append(t.rows, row)
}

// Len returns the number of rows, without the header.
func (t *Table) Len() int { return len(t.rows) }

// Write writes the table, the header first.
func (t *Table) Write(w io.Writer) error {
	writer := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	for _, row := range append([][]string{t.header}, t.rows...) {
		if _, err := fmt.Fprintln(writer, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return writer.Flush()
}

// Printable replaces control characters by spaces, so that text from a node can't
// send escape sequences to the terminal.
func Printable(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return ' '
		}
		return r
	}, text)
}
