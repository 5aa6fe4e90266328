// Package get implements "gypsumctl get", which prints the inventory in force.
package get

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/command"
	"github.com/gypsumford/gypsumford/command/changelog"
	"github.com/gypsumford/gypsumford/command/configuration"
	"github.com/gypsumford/gypsumford/inventory"
)

const (
	synopsis = "print the inventory that the platform holds"
	details  = `The first lines, which begin with "#:", hold the version and the last changes.
Keep them while editing: apply takes the version that it expects from there.

Examples:
  gypsumctl get -platform http://10.0.0.1:7000 > inventory.yaml
  gypsumctl get -canonical`
)

// Verb is "gypsumctl get".
var Verb = command.Verb{Name: "get", Synopsis: synopsis, Run: run}

func run(ctx context.Context, env *command.Env, args []string) error {
	set := env.Settings("get", synopsis, details)
	url := command.PlatformFlag(set)
	timeout := command.TimeoutFlag(set)
	canonical := set.Bool("canonical", "print every field with its value, without comments of operators")
	if err := env.Parse(set, args); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, *timeout)
	defer cancel()
	document, err := configuration.Read(ctx, configuration.NewStore(*url))
	if err != nil {
		return err
	}
	if document.Version == 0 {
		return errors.New("the platform holds no inventory yet; put one there by 'gypsumctl apply FILE'")
	}
	text := document.Text
	if *canonical {
		text = inventory.Format(document.Inventory)
	}
	document.Log.Version = document.Version
	_, err = env.Stdout.Write(changelog.Join(document.Log, text))
	return errors.Wrap(err, "write the output")
}
