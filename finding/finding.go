// Package finding collects the faults in an input, such as a document or a
// command line, so that they are reported together, each with its location.
//
// A checker adds a finding to a List for each fault, continues, and returns
// List.Err at the end. The package does no I/O. A List is not safe for concurrent
// use.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one fault in an input and its location.
type Finding struct {
	File    string `json:"file,omitempty"`  // name of the input, "" if it has none
	Line    int    `json:"line,omitempty"`  // line number from 1, 0 if unknown
	Field   string `json:"field,omitempty"` // path of the field, or name of the flag or variable
	Message string `json:"message"`         // what is wrong, and what is expected
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
