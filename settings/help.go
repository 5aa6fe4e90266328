package settings

import (
	"fmt"
	"strings"
)

// precedence is stated in the help of each program.
const precedence = "A flag goes before its environment variable, the variable before the default.\n" +
	"An empty variable counts as unset."

// Help returns the help text: purpose, arguments, each flag with its variable
// and default, and the further text of Describe.
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

// describeDefault returns "required" if the default isn't accepted.
func (setting *setting) describeDefault() string {
	if setting.resolve(setting.fallback) != nil {
		return "required"
	}
	if setting.fallback == "" {
		return "no default"
	}
	return "default " + setting.fallback
}
