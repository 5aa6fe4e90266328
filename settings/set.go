package settings

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/gypsumford/gypsumford/finding"
)

// VariablePrefix is the prefix of the name of each environment variable.
const VariablePrefix = "GYPSUM_"

// Exit statuses that Report returns.
const (
	ExitHelp  = 0 // help was requested and printed
	ExitUsage = 2 // settings or arguments are invalid
)

// Set holds the settings and arguments of a program or of one of its commands.
// Declare them, call Parse, then read the values through the pointers that the
// declarations returned. A Set is not safe for concurrent use until Parse has
// returned.
type Set struct {
	program   string
	synopsis  string
	details   string
	getenv    func(string) string
	settings  []*setting
	arguments []*argument
}

// setting is one flag with its environment variable.
type setting struct {
	name        string
	kind        string // kind of value that the help states, such as "duration"
	usage       string
	defaultText string // default value as text, "" if there is none
	text        string // value of the flag
	given       bool   // the flag is on the command line
	isBool      bool
	assign      func(text string) error // parses the text, checks the value and stores it
}

// argument is one positional argument, such as a file name.
type argument struct {
	name  string
	usage string
	value string
}

// New returns an empty set for the named program. Environment variables are read
// with getenv, usually os.Getenv.
func New(program string, getenv func(string) string) *Set {
	return &Set{program: program, getenv: getenv}
}

// Describe sets the synopsis, which is one line, and the details, such as
// examples, that the help shows.
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

// Argument declares the next positional argument. It is required.
func (s *Set) Argument(name, usage string) *string {
	a := &argument{name: name, usage: usage}
	s.arguments = append(s.arguments, a)
	return &a.value
}

// Parse reads the command line and the environment variables and sets the values.
// It returns flag.ErrHelp if help is requested, and a *finding.List if anything is
// invalid.
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

// parseFlags reads the flags and returns the positional arguments, which may stand
// between flags. It adds a finding for each invalid flag and continues after it.
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

// skipValue drops the first argument if it may be the value of the unknown flag
// before it.
func skipValue(args []string) []string {
	if len(args) > 0 && !strings.HasPrefix(args[0], "-") {
		return args[1:]
	}
	return args
}

// terminated reports whether parsing of flags stopped at "--".
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

// resolve sets the value from the first of these that is set: the flag, the
// environment variable, the default.
func (s *Set) resolve(setting *setting, findings *finding.List) {
	text, place := setting.defaultText, "-"+setting.name+" or "+Variable(setting.name)
	switch variable := s.getenv(Variable(setting.name)); {
	case setting.given:
		text, place = setting.text, "-"+setting.name
	case variable != "":
		text, place = variable, Variable(setting.name)
	}
	if err := setting.assign(text); err != nil {
		findings.Add(finding.Finding{Field: place, Message: err.Error()})
	}
}

// Report prints the help if err is flag.ErrHelp, and the findings in err
// otherwise. It returns the exit status for the program.
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

// rawValue is the flag.Value of a setting. It accepts any text, which is parsed
// after all flags have been read.
type rawValue setting

// String implements flag.Value.
func (v *rawValue) String() string { return v.text }

// Set implements flag.Value. It stores the text as it is.
func (v *rawValue) Set(text string) error {
	v.text, v.given = text, true
	return nil
}

// IsBoolFlag tells package flag whether the flag may stand without a value.
func (v *rawValue) IsBoolFlag() bool { return v.isBool }
