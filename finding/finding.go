// Package finding collects what is wrong with an input, so that all of it is
// reported at once and each part names its place.
//
// A checker adds findings to a List while it goes on, and returns List.Err at
// its end. The package does no I/O. A List is not safe for concurrent use.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one thing that is wrong, and where.
type Finding struct {
	File    string `json:"file,omitempty"`  // name of the input, "" if it has none
	Line    int    `json:"line,omitempty"`  // counted from 1, 0 if unknown
	Field   string `json:"field,omitempty"` // path of the field, flag or variable
	Message string `json:"message"`         // what is wrong and what is expected
}

// String returns "file:line: field: message" without the parts that are unset.
func (f Finding) String() string {
	var text strings.Builder
	switch {
	case f.File != "" && f.Line > 0:
		fmt.Fprintf(&text, "%s:%d: ", f.File, f.Line)
	case f.File != "":
		fmt.Fprintf(&text, "%s: ", f.File)
	case f.Line > 0:
		fmt.Fprintf(&text, "line %d: ", f.Line)
	}
	if f.Field != "" {
		fmt.Fprintf(&text, "%s: ", f.Field)
	}
	text.WriteString(f.Message)
	return text.String()
}
