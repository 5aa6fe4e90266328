// Package table prints tables of text with aligned columns.
package table

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"unicode"
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
		if row[i] = Printable(fmt.Sprint(cell)); row[i] == "" {
			row[i] = "-"
		}
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

// Printable replaces control characters, so that the answer of a node can't
// command the terminal.
func Printable(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return ' '
		}
		return r
	}, text)
}
