// Package command runs the subcommands of gypsumctl, which the code calls verbs.
// It selects the verb, prints help, and maps errors to exit statuses. Each verb is
// in a package below this one.
//
// Verbs print their result on standard output and notes on standard error.
package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/settings"
)

// Exit statuses of gypsumctl.
const (
	ExitDone    = 0 // the verb succeeded
	ExitFailure = 1 // the verb failed; a message on standard error says why
	ExitUsage   = 2 // flags, variables or arguments are invalid
)

// ErrUsage means that flags, variables or arguments are invalid and that this has
// been reported on standard error.
var ErrUsage = errors.New("wrong usage")

// Env is the environment of one run of the program.
type Env struct {
	Program string // name of the program in messages
	Stdin   io.Reader
	Stdout  io.Writer
	Stderr  io.Writer
	Getenv  func(string) string
}

// Verb is one subcommand of gypsumctl.
type Verb struct {
	Name     string
	Synopsis string // one line for the list of commands
	Run      func(ctx context.Context, env *Env, args []string) error
}

// Settings returns a set for the settings of the named verb. The synopsis and the
// details are part of its help.
func (env *Env) Settings(verb, synopsis, details string) *settings.Set {
	set := settings.New(env.Program+" "+verb, env.Getenv)
	set.Describe(synopsis, details)
	return set
}

// Parse reads the arguments into the set. If help is requested, it prints the help
// and returns flag.ErrHelp. If settings are invalid, it reports them and returns
// ErrUsage.
func (env *Env) Parse(set *settings.Set, args []string) error {
	err := set.Parse(args)
	if err == nil {
		return nil
	}
	set.Report(err, env.Stdout, env.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		return flag.ErrHelp
	}
	return ErrUsage
}

// Notef prints a formatted line on standard error.
func (env *Env) Notef(format string, args ...any) {
	_, _ = fmt.Fprintf(env.Stderr, format+"\n", args...)
}

// Main runs the verb that the first argument names and returns the exit status.
func Main(ctx context.Context, env *Env, verbs []Verb, args []string) int {
	if len(args) == 0 {
		_, _ = io.WriteString(env.Stderr, overview(env.Program, verbs))
		return ExitUsage
	}
	name := args[0]
	switch name {
	case "help", "-h", "-help", "--help":
		return help(ctx, env, verbs, args[1:])
	}
	for _, verb := range verbs {
		if verb.Name == name {
			return exitStatus(env, verb.Name, verb.Run(ctx, env, args[1:]))
		}
	}
	env.Notef("%s: no command %q; run '%s help' for the list", env.Program, name, env.Program)
	return ExitUsage
}

// help prints the list of verbs, or the help of the verb that the first argument
// names.
func help(ctx context.Context, env *Env, verbs []Verb, args []string) int {
	if len(args) > 0 {
		return Main(ctx, env, verbs, []string{args[0], "-help"})
	}
	_, _ = io.WriteString(env.Stdout, overview(env.Program, verbs))
	return ExitDone
}

func exitStatus(env *Env, verb string, err error) int {
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return ExitDone
	case errors.Is(err, ErrUsage):
		return ExitUsage
	}
	env.Notef("%s %s: %s", env.Program, verb, err)
	return ExitFailure
}

func overview(program string, verbs []Verb) string {
	var text strings.Builder
	fmt.Fprintf(&text, "Usage: %s COMMAND [flags] [arguments]\n\nCommands:\n", program)
	for _, verb := range verbs {
		fmt.Fprintf(&text, "  %-10s %s\n", verb.Name, verb.Synopsis)
	}
	fmt.Fprintf(&text, "\nRun '%s COMMAND -help' for the flags and examples of a command.\n", program)
	text.WriteString("Exit status: 0 done, 1 failed, 2 wrong usage.\n")
	return text.String()
}
