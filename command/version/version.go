// Package version implements "gypsumctl version", which prints the version of the
// program.
package version

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/command"
)

const (
	synopsis = "print the version of gypsumctl"
	details  = `Examples:
  gypsumctl version
  gypsumctl version -o json`
)

// Verb is "gypsumctl version".
var Verb = command.Verb{Name: "version", Synopsis: synopsis, Run: run}

// report is the output as JSON.
type report struct {
	Version  string `json:"version"`  // of the module, or "(devel)"
	Revision string `json:"revision"` // of the source, "" if unknown
	Modified bool   `json:"modified"` // the source had changes that aren't in the revision
	Go       string `json:"go"`
}

func run(_ context.Context, env *command.Env, args []string) error {
	set := env.Settings("version", synopsis, details)
	output := command.OutputFlag(set, command.Text, command.JSON)
	if err := env.Parse(set, args); err != nil {
		return err
	}
	result := readBuildInfo()
	if *output == command.JSON {
		return command.WriteJSON(env.Stdout, result)
	}
	_, err := fmt.Fprintln(env.Stdout, result)
	return errors.Wrap(err, "write the output")
}

func readBuildInfo() report {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return report{Version: "unknown"}
	}
	result := report{Version: info.Main.Version, Go: info.GoVersion}
	for _, setting := range info.Settings {
		switch setting.Key {
		case "vcs.revision":
			result.Revision = setting.Value
		case "vcs.modified":
			result.Modified = setting.Value == "true"
		}
	}
	return result
}

// String returns the version as a line of text.
func (r report) String() string {
	text := "gypsumctl " + r.Version
	if r.Revision != "" {
		text += " revision " + r.Revision
	}
	if r.Modified {
		text += " (modified)"
	}
	return text + " " + r.Go
}
