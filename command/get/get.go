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
	synopsis = "print the inventory that the platform holds, or the one in force at a node"
	details  = `The first lines, which begin with "#:", hold the version and the last changes.
Keep them while editing: apply takes the version that it expects from there.
With -from-node, the inventory in force at that node is printed, without its version: the
platform may have lost it, if its store came back from a copy.

Examples:
  gypsumctl get -platform http://10.0.0.1:7000 > inventory.yaml
  gypsumctl get -from-node 10.0.0.7:7100 > inventory.yaml
  gypsumctl get -canonical`
)

// Verb is "gypsumctl get".
var Verb = command.Verb{Name: "get", Synopsis: synopsis, Run: run}

func run(ctx context.Context, env *command.Env, args []string) error {
	set := env.Settings("get", synopsis, details)
	url := set.URL("platform", "", "URL of the platform's store, needed without -from-node")
	node := set.HostPort("from-node", "", "peer address of a node; print the inventory that it has in force instead")
	timeout := command.TimeoutFlag(set)
	canonical := set.Bool("canonical", "print every field with its value, without comments of operators")
	if err := env.Parse(set, args); err != nil {
		return err
	}
	if *url == "" && *node == "" {
		env.Notef("%s get: one of -platform or -from-node is needed", env.Program)
		return command.ErrUsage
	}
	ctx, cancel := context.WithTimeout(ctx, *timeout)
	defer cancel()
	document, err := read(ctx, *url, *node)
	if err != nil {
		return err
	}
	if document.IsFromCopy {
		env.Notef(configuration.CopyNote, document.Version)
	}
	if document.Version == 0 {
		return errors.New("the platform holds no inventory yet; put one there by 'gypsumctl apply FILE'")
	}
	text := document.Text
	if *canonical {
		text = inventory.Format(document.Inventory)
	}
	document.Log.Revision = document.Revision
	_, err = env.Stdout.Write(changelog.Join(document.Log, text))
	return errors.Wrap(err, "write the output")
}

// read reads the inventory of the node if one is named, and that of the platform otherwise.
func read(ctx context.Context, url, node string) (configuration.Document, error) {
	if node != "" {
		return configuration.ReadNode(ctx, node)
	}
	return configuration.Read(ctx, configuration.NewStore(url))
}
