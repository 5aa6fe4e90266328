package settings

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/gypsumford/gypsumford/finding"
)

// VariablePrefix begins the name of each environment variable.
const VariablePrefix = "GYPSUM_"

// Exit statuses that Report returns.
const (
	ExitHelp  = 0 // help was asked for and printed
	ExitUsage = 2 // the settings are wrong
)

// Set is the settings of one program or of one of its commands. Declare the
// settings, call Parse, then read the values. A Set is not safe for concurrent
// use until Parse has returned.
type Set struct {
	program   string
	synopsis  string
	details   string
	getenv    func(string) string
	settings  []*setting
	arguments []*argument
}

// setting is one flag with its variable.
type setting struct {
	name     string
	kind     string // word for the value in the help, such as "duration"
	usage    string
	fallback string // default as text, "" if there is none
	text     string // value of the flag
	given    bool   // the flag was given
	isBool   bool
	resolve  func(text string) error // parses and checks the text, keeps the value
}

// argument is one argument without a flag, such as a file name.
type argument struct {
	name  string
	usage string
	value string
}

// New returns an empty set for the named program. The variables are read
// through getenv, usually os.Getenv.
func New(program string, getenv func(string) string) *Set {
	return &Set{program: program, getenv: getenv}
}

// Describe sets the one-line purpose and the further text, such as examples,
// that the help shows.
func (s *Set) Describe(synopsis, details string) {
	s.synopsis = synopsis
	s.details = strings.TrimRight(details, "\n")
}

// Variable returns the name of the environment variable of a flag.
func Variable(flagName string) string {
	return VariablePrefix + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}

// Names returns the names of the flags in the order of their declaration.
func (s *Set) Names() []string {
	names := make([]string, 0, len(s.settings))
	for _, setting := range s.settings {
		names = append(names, setting.name)
	}
	return names
}

// Argument declares the next required argument that has no flag.
func (s *Set) Argument(name, usage string) *string {
	a := &argument{name: name, usage: usage}
	s.arguments = append(s.arguments, a)
	return &a.value
}

// Parse reads the arguments and the variables. It returns flag.ErrHelp when
// help was asked for, and a *finding.List with all that is wrong otherwise.
func (s *Set) Parse(args []string) error {
	var findings finding.List
	positional, err := s.parseFlags(args, &findings)
	if err != nil {
		return err
	}
	s.assignArguments(positional, &findings)
	for _, setting := range s.settings {
		s.resolve(setting, &findings)
	}
	return findings.Err()
}

// parseFlags goes on after a flag that is wrong and after an argument without
// a flag, and returns the latter.
func (s *Set) parseFlags(args []string, findings *finding.List) ([]string, error) {
	flags := s.flagSet()
	var positional []string
	for len(args) > 0 {
		err := flags.Parse(args)
		if errors.Is(err, flag.ErrHelp) {
			return nil, flag.ErrHelp
		}
		rest := flags.Args()
		if err != nil {
			findings.Add(finding.Finding{Message: err.Error()})
			args = skipValue(rest)
			continue
		}
		if len(rest) == 0 {
			break
		}
		if terminated(args, rest) {
			return append(positional, rest...), nil
		}
		positional = append(positional, rest[0])
		args = rest[1:]
	}
	return positional, nil
}

func (s *Set) flagSet() *flag.FlagSet {
	flags := flag.NewFlagSet(s.program, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.Usage = func() {}
	for _, setting := range s.settings {
		flags.Var((*rawValue)(setting), setting.name, setting.usage)
	}
	return flags
}

// skipValue drops what may be the value of a flag that nobody knows.
func skipValue(args []string) []string {
	if len(args) > 0 && !strings.HasPrefix(args[0], "-") {
		return args[1:]
	}
	return args
}

// terminated reports whether the parsing ended at "--".
func terminated(args, rest []string) bool {
	consumed := len(args) - len(rest)
	return consumed > 0 && args[consumed-1] == "--"
}

func (s *Set) assignArguments(values []string, findings *finding.List) {
	for i, a := range s.arguments {
		if i < len(values) {
			a.value = values[i]
			continue
		}
		findings.Add(finding.Finding{Field: a.name, Message: "missing: " + a.usage})
	}
	for _, extra := range values[min(len(s.arguments), len(values)):] {
		findings.Addf("", 0, "", "unexpected argument %q", extra)
	}
}

// resolve takes the flag, the variable or the default, in this order.
func (s *Set) resolve(setting *setting, findings *finding.List) {
	text, place := setting.fallback, "-"+setting.name+" or "+Variable(setting.name)
	switch variable := s.getenv(Variable(setting.name)); {
	case setting.given:
		text, place = setting.text, "-"+setting.name
	case variable != "":
		text, place = variable, Variable(setting.name)
	}
	if err := setting.resolve(text); err != nil {
		findings.Add(finding.Finding{Field: place, Message: err.Error()})
	}
}

// Report prints the help if err is flag.ErrHelp, and the findings otherwise,
// and returns the program's exit status.
func (s *Set) Report(err error, stdout, stderr io.Writer) int {
	if errors.Is(err, flag.ErrHelp) {
		_, _ = io.WriteString(stdout, s.Help())
		return ExitHelp
	}
	_, _ = fmt.Fprintf(stderr, "%s: wrong usage or settings:\n", s.program)
	for line := range strings.Lines(err.Error()) {
		_, _ = fmt.Fprintf(stderr, "  %s\n", strings.TrimRight(line, "\n"))
	}
	_, _ = fmt.Fprintf(stderr, "Run '%s -help' for the flags and their variables.\n", s.program)
	return ExitUsage
}

// rawValue takes any text for a flag; it is parsed when all flags are read.
type rawValue setting

// String returns the text, as flag.Value asks.
func (v *rawValue) String() string { return v.text }

// Set keeps the text, as flag.Value asks.
func (v *rawValue) Set(text string) error {
	v.text, v.given = text, true
	return nil
}

// IsBoolFlag lets a boolean flag stand without a value.
func (v *rawValue) IsBoolFlag() bool { return v.isBool }
