// Package timeline implements "gypsumctl timeline", which merges the timelines of
// all nodes.
package timeline

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/command"
	"github.com/gypsumford/gypsumford/command/node"
	"github.com/gypsumford/gypsumford/command/timeline/page"
	"github.com/gypsumford/gypsumford/settings"
	events "github.com/gypsumford/gypsumford/timeline"
)

const (
	synopsis = "merge the timelines of all nodes in causal order"
	details  = `Each node stores its last events in a bounded ring. The events are ordered by
their Lamport clock: each event comes after all events that caused it. The times
are those of the wall clocks of the nodes, which may differ.

Examples:
  gypsumctl timeline -node 10.0.0.7:7100 -request 0193a5c2-7d51-7cc8-9a35-6f6b2b1f0c11
  gypsumctl timeline -service archive -kind refused
  gypsumctl timeline -o html > timeline.html

Kinds: `

	defaultLimit = 20_000
	maxLimit     = 1_000_000
	kindsPerLine = 6
)

// Verb is "gypsumctl timeline".
var Verb = command.Verb{Name: "timeline", Synopsis: synopsis, Run: run}

func run(ctx context.Context, env *command.Env, args []string) error {
	set := env.Settings("timeline", synopsis, details+kindList())
	address := command.NodeFlag(set)
	request := set.String("request", "", "take the events of this request only")
	service := set.String("service", "", "take the events of this service only")
	kindName := set.String("kind", "", "take the events of this kind only", checkKind)
	limit := set.Int("limit", defaultLimit, "most events that are read from one node, the last ones",
		settings.Between(1, maxLimit))
	output := command.OutputFlag(set, command.Text, command.JSON, command.HTML)
	timeout := command.TimeoutFlag(set)
	if err := env.Parse(set, args); err != nil {
		return err
	}
	kind, _ := events.ParseKind(*kindName)
	ctx, cancel := context.WithTimeout(ctx, *timeout)
	defer cancel()
	filter := events.Filter{Request: call.RequestID(*request), Service: *service, Kind: kind}
	c, err := collect(ctx, node.New(), *address, filter, *limit)
	if err != nil {
		return err
	}
	c.reportMissing(env)
	return write(env, *output, c)
}

func write(env *command.Env, output string, c collection) error {
	switch output {
	case command.JSON:
		return command.WriteJSON(env.Stdout, c)
	case command.HTML:
		return errors.Wrap(page.Write(env.Stdout, c.Events, c.lossy()), "write the page")
	default:
		return writeText(env.Stdout, c.Events)
	}
}

func checkKind(name string) error {
	if _, ok := events.ParseKind(name); !ok {
		return fmt.Errorf("%q is no kind of event; the help lists them", name)
	}
	return nil
}

// kindList returns the names of all kinds as lines of the help.
func kindList() string {
	var text strings.Builder
	for i, kind := range events.Kinds() {
		switch {
		case i == 0:
		case i%kindsPerLine == 0:
			text.WriteString(",\n  ")
		default:
			text.WriteString(", ")
		}
		text.WriteString(kind.String())
	}
	return text.String()
}
