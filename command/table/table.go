// Package table prints tables of text with aligned columns.
package table

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// columnGap is the number of spaces between two columns.
const columnGap = 2

// Table is a table with a header. The zero value is an empty one.
type Table struct {
	header []string
	rows   [][]string
}

// New returns a table with the given names of columns.
func New(header ...string) *Table { return &Table{header: header} }

// Row adds a row; each cell is printed as by fmt.Sprint, an empty one as "-".
func (t *Table) Row(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = clean(fmt.Sprint(cell))
	}
	t.rows = append(t.rows, row)
}

// Len returns the number of rows.
func (t *Table) Len() int { return len(t.rows) }

// Write prints the table.
func (t *Table) Write(w io.Writer) error {
	writer := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	for _, row := range append([][]string{t.header}, t.rows...) {
		if _, err := fmt.Fprintln(writer, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return writer.Flush()
}

// clean keeps control characters of a node's answer from the terminal.
func clean(cell string) string {
	if cell == "" {
		return "-"
	}
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return ' '
		}
		return r
	}, cell)
}
