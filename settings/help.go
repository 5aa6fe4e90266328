package settings

import (
	"fmt"
	"strings"
)

// precedence is the text on flags and variables in the help of each program.
const precedence = "A flag takes precedence over its environment variable, the variable over the default.\n" +
	"An empty variable counts as unset."

// Help returns the help text: synopsis, usage, arguments, each flag with its
// variable and default, and the details given to Describe.
func (s *Set) Help() string {
	var text strings.Builder
	if s.synopsis != "" {
		fmt.Fprintf(&text, "%s: %s\n\n", s.program, s.synopsis)
	}
	fmt.Fprintf(&text, "Usage: %s%s\n", s.program, s.usageLine())
	s.writeArguments(&text)
	s.writeFlags(&text)
	if s.details != "" {
		fmt.Fprintf(&text, "\n%s\n", s.details)
	}
	return text.String()
}

func (s *Set) usageLine() string {
	var line strings.Builder
	if len(s.settings) > 0 {
		line.WriteString(" [flags]")
	}
	for _, a := range s.arguments {
		line.WriteString(" " + a.name)
	}
	return line.String()
}

func (s *Set) writeArguments(text *strings.Builder) {
	if len(s.arguments) == 0 {
		return
	}
	text.WriteString("\nArguments:\n")
	for _, a := range s.arguments {
		fmt.Fprintf(text, "  %s\n        %s\n", a.name, a.usage)
	}
}

func (s *Set) writeFlags(text *strings.Builder) {
	if len(s.settings) == 0 {
		return
	}
	text.WriteString("\nFlags:\n")
	for _, setting := range s.settings {
		fmt.Fprintf(text, "  -%s %s\n", setting.name, setting.kind)
		fmt.Fprintf(text, "        %s\n", setting.usage)
		fmt.Fprintf(text, "        variable %s, %s\n", Variable(setting.name), setting.describeDefault())
	}
	fmt.Fprintf(text, "\n%s\n", precedence)
}

// describeDefault returns the default as the help states it. A setting whose
// default is invalid is required.
func (setting *setting) describeDefault() string {
	if setting.assign(setting.defaultText) != nil {
		return "required"
	}
	if setting.defaultText == "" {
		return "no default"
	}
	return "default " + setting.defaultText
}
