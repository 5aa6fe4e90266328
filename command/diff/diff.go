// Package diff implements "gypsumctl diff", which compares an inventory file with
// the inventory in force or with another file.
package diff

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/command"
	"github.com/gypsumford/gypsumford/command/configuration"
	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/inventory"
)

const (
	synopsis = "show what applying a file would change"
	details  = `Lines begin with + for what is added, - for what is removed and ~ for what
changes. Without -platform, -from names the file to compare with.

Examples:
  gypsumctl diff -platform http://10.0.0.1:7000 inventory.yaml
  gypsumctl diff -from old.yaml new.yaml
  gypsumctl diff -o json inventory.yaml`
)

// Verb is "gypsumctl diff".
var Verb = command.Verb{Name: "diff", Synopsis: synopsis, Run: run}

// report is the output as JSON.
type report struct {
	From    string             `json:"from"`
	Version epoch.Version      `json:"version,omitempty"` // of the inventory in force, if compared with that
	To      string             `json:"to"`
	Changes []inventory.Change `json:"changes"`
}

func run(ctx context.Context, env *command.Env, args []string) error {
	set := env.Settings("diff", synopsis, details)
	url := set.URL("platform", "", "URL of the platform's object API, needed without -from")
	from := set.String("from", "", "file to compare with in place of the inventory in force")
	output := command.OutputFlag(set, command.Text, command.JSON)
	timeout := command.TimeoutFlag(set)
	file := set.Argument("FILE", "inventory to compare, - for standard input")
	if err := env.Parse(set, args); err != nil {
		return err
	}
	if *url == "" && *from == "" {
		env.Notef("%s diff: one of -platform or -from is needed", env.Program)
		return command.ErrUsage
	}
	after, err := configuration.ReadFile(*file, env.Stdin)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, *timeout)
	defer cancel()
	before, err := readBefore(ctx, env, *url, *from)
	if err != nil {
		return err
	}
	result := report{
		From: *from, Version: before.Version, To: *file,
		Changes: inventory.Diff(before.Inventory, after.Inventory),
	}
	if *from == "" {
		result.From = *url
	}
	return write(env, *output, result)
}

// readBefore reads the inventory to compare with, from the file if one is named
// and from the platform otherwise.
func readBefore(ctx context.Context, env *command.Env, url, from string) (configuration.Document, error) {
	if from != "" {
		return configuration.ReadFile(from, env.Stdin)
	}
	return configuration.Read(ctx, configuration.NewStore(url))
}

func write(env *command.Env, output string, result report) error {
	if output == command.JSON {
		if result.Changes == nil {
			result.Changes = []inventory.Change{}
		}
		return command.WriteJSON(env.Stdout, result)
	}
	for _, change := range result.Changes {
		if _, err := fmt.Fprintln(env.Stdout, change); err != nil {
			return errors.Wrap(err, "write the output")
		}
	}
	if len(result.Changes) == 0 {
		env.Notef("no difference")
	}
	return nil
}
