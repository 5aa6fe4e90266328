// Package apply is the verb that puts an inventory in force.
//
// The update is conditional: it takes effect only on the version that the
// operator's file was made from. An update whose answer is lost is read back; if
// it isn't there it is sent again, which is safe as at most one of the two can
// match the expected version.
package apply

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/command"
	"github.com/gypsumford/gypsumford/command/changelog"
	"github.com/gypsumford/gypsumford/command/configuration"
	"github.com/gypsumford/gypsumford/finding"
	"github.com/gypsumford/gypsumford/inventory"
)

const (
	synopsis = "put an inventory file in force, if nobody else changed it meanwhile"
	details  = `The file is checked first. The update takes effect only if the platform still
holds the version that is expected: that of -expect, else that of the line
"#: version N" which get writes, else the one that apply reads at its start.
On a conflict nothing is changed, and the changes of the others are printed.

Examples:
  gypsumctl get > inventory.yaml; edit inventory.yaml; gypsumctl apply inventory.yaml
  gypsumctl apply -expect 12 -by anna inventory.yaml
  gypsumctl apply -wait -node 10.0.0.7:7100 -timeout 30s inventory.yaml`
)

// expectUnset is the value of -expect that stands for the version in the file.
const expectUnset = -1

// Verb is "gypsumctl apply".
var Verb = command.Verb{Name: "apply", Synopsis: synopsis, Run: run}

// options are the settings of one run.
type options struct {
	platform string
	expect   int
	by       string
	wait     bool
	node     string
	output   string
	file     string
}

// result is the output, and its form as JSON.
type result struct {
	Version  uint64             `json:"version"` // in force
	Changed  bool               `json:"changed"`
	Lost     bool               `json:"answer_lost"` // the first answer was lost, the update was found in force
	Replaced bool               `json:"replaced"`    // others have changed the inventory after the update
	Changes  []inventory.Change `json:"changes"`
}

func run(ctx context.Context, env *command.Env, args []string) error {
	set := env.Settings("apply", synopsis, details)
	platformURL := command.PlatformFlag(set)
	expect := set.Int("expect", expectUnset, "version that the update replaces, 0 for none yet, -1 for the one in the file")
	by := set.String("by", "", "name of the operator for the change log, default $USER")
	wait := set.Bool("wait", "wait until all nodes have the inventory, needs -node")
	node := set.HostPort("node", "", "peer address of any node that runs, for -wait")
	output := command.OutputFlag(set, command.Text, command.JSON)
	timeout := command.TimeoutFlag(set)
	file := set.Argument("FILE", "inventory to apply, - for standard input")
	if err := env.Parse(set, args); err != nil {
		return err
	}
	o := options{*platformURL, *expect, *by, *wait, *node, *output, *file}
	if o.wait && o.node == "" {
		env.Notef("%s apply: -wait needs -node", env.Program)
		return command.ErrUsage
	}
	if o.by == "" {
		o.by = env.Getenv("USER")
	}
	ctx, cancel := context.WithTimeout(ctx, *timeout)
	defer cancel()
	return apply(ctx, env, o)
}

func apply(ctx context.Context, env *command.Env, o options) error {
	document, err := configuration.ReadFile(o.file, env.Stdin)
	if err != nil {
		return refuse(o.file, err)
	}
	u := &update{client: configuration.NewStore(o.platform), document: document}
	if u.current, err = readCurrent(ctx, env, u); err != nil {
		return err
	}
	u.expected = expected(o.expect, document, u.current)
	u.entry = changelogEntry(u, o.by)
	r, err := u.run(ctx)
	if err != nil {
		return err
	}
	if err := write(env, o.output, r); err != nil {
		return err
	}
	if !o.wait {
		return nil
	}
	return waitForNodes(ctx, env, o.node, r.Version)
}

func refuse(file string, err error) error {
	var findings *finding.List
	if errors.As(err, &findings) {
		return errors.Newf("%s in %s, nothing was changed:\n%s", command.Count(findings.Len(), "finding"), file, findings)
	}
	return err
}

// readCurrent reads the inventory in force. A faulty one may be replaced.
func readCurrent(ctx context.Context, env *command.Env, u *update) (configuration.Document, error) {
	current, err := configuration.Read(ctx, u.client)
	var findings *finding.List
	if errors.As(err, &findings) {
		env.Notef("note: %s", err)
		return current, nil
	}
	return current, err
}

// expected returns the version that the update is to replace.
func expected(flag int, document, current configuration.Document) uint64 {
	switch {
	case flag != expectUnset:
		return uint64(max(flag, 0))
	case document.Log.Version != 0:
		return document.Log.Version
	default:
		return current.Version
	}
}

func changelogEntry(u *update, by string) changelog.Entry {
	changes := inventory.Diff(u.current.Inventory, u.document.Inventory)
	return changelog.NewEntry(u.expected, by, time.Now(), changes)
}

func write(env *command.Env, output string, r result) error {
	if output == command.JSON {
		if r.Changes == nil {
			r.Changes = []inventory.Change{}
		}
		return command.WriteJSON(env.Stdout, r)
	}
	if r.Lost {
		env.Notef("the platform's answer was lost; reading back shows that the update took effect")
	}
	if r.Replaced {
		env.Notef("another operator has changed the inventory since; 'gypsumctl get' shows what")
	}
	if !r.Changed {
		_, err := fmt.Fprintf(env.Stdout, "version %d holds this inventory already, nothing was changed\n", r.Version)
		return errors.Wrap(err, "write the output")
	}
	for _, change := range r.Changes {
		if _, err := fmt.Fprintln(env.Stdout, change); err != nil {
			return errors.Wrap(err, "write the output")
		}
	}
	_, err := fmt.Fprintf(env.Stdout, "version %d is on the platform, %s\n", r.Version, command.Count(len(r.Changes), "change"))
	return errors.Wrap(err, "write the output")
}
