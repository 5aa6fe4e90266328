// Package apply implements "gypsumctl apply", which puts an inventory in force.
//
// The update is conditional: it takes effect only if it replaces the version that
// the operator's file was made from. If the response to the update is lost, apply
// reads the inventory from the platform and retries the update unless it has taken
// effect. The retry is safe, since at most one of the two writes can match the
// expected version.
package apply

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/command"
	"github.com/gypsumford/gypsumford/command/changelog"
	"github.com/gypsumford/gypsumford/command/configuration"
	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/finding"
	"github.com/gypsumford/gypsumford/inventory"
)

const (
	synopsis = "put an inventory file in force, if nobody else changed it meanwhile"
	details  = `The file is checked first. The update takes effect only if the platform still
holds the expected version: the one of -expect, else the one in the line
"#: version N" that get writes, else the one that apply reads when it starts.
On a conflict nothing is changed, and the changes by other operators are printed.

Examples:
  gypsumctl get > inventory.yaml; edit inventory.yaml; gypsumctl apply inventory.yaml
  gypsumctl apply -expect 12 -by anna inventory.yaml
  gypsumctl apply -wait -node 10.0.0.7:7100 -timeout 30s inventory.yaml`
)

// Values of -expect that aren't versions.
const (
	expectFromFile = "-1" // the version in the file
	expectNone     = "0"  // there must be no inventory yet
)

// Verb is "gypsumctl apply".
var Verb = command.Verb{Name: "apply", Synopsis: synopsis, Run: run}

// options are the values of the flags and the argument of one run.
type options struct {
	platform string
	expect   string
	by       string
	wait     bool
	node     string
	output   string
	file     string
}

// result is the outcome of the update, and the output as JSON.
type result struct {
	Version      epoch.Version      `json:"version"` // in force
	Changed      bool               `json:"changed"`
	ResponseLost bool               `json:"answer_lost"` // the response was lost, and reading back showed that the update took effect
	Replaced     bool               `json:"replaced"`    // others have changed the inventory since
	Changes      []inventory.Change `json:"changes"`
}

func run(ctx context.Context, env *command.Env, args []string) error {
	set := env.Settings("apply", synopsis, details)
	platformURL := command.PlatformFlag(set)
	expect := set.String("expect", expectFromFile, "version that the update replaces, such as 12 or 2-12, 0 for none yet, -1 for the one in the file", checkExpect)
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
		return fileError(o.file, err)
	}
	u := &update{store: configuration.NewStore(o.platform), document: document}
	if u.current, err = readCurrent(ctx, env, u); err != nil {
		return err
	}
	if u.current.IsFromCopy {
		env.Notef(configuration.CopyNote, u.current.Version)
	}
	if u.expected, err = expectedRevision(o.expect, document, u.current, u.store.Epoch()); err != nil {
		return err
	}
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
	return u.waitForNodes(ctx, env, o.node, r.Version)
}

// fileError returns the error for a file that can't be read or is invalid.
func fileError(file string, err error) error {
	var findings *finding.List
	if errors.As(err, &findings) {
		return errors.Newf("%s in %s, nothing was changed:\n%s", command.Count(findings.Len(), "finding"), file, findings)
	}
	return err
}

// readCurrent reads the inventory in force. An invalid one is only noted, so that it
// can be replaced.
func readCurrent(ctx context.Context, env *command.Env, u *update) (configuration.Document, error) {
	current, err := configuration.Read(ctx, u.store)
	var findings *finding.List
	if errors.As(err, &findings) {
		env.Notef("note: %s", err)
		return current, nil
	}
	return current, err
}

// expectedRevision returns the revision that the update replaces: the one of the
// flag -expect, else the one in the file, else the current one. A file that was made in
// another epoch of the store names a revision that means something else now.
func expectedRevision(flag string, document, current configuration.Document, now epoch.ID) (epoch.Revision, error) {
	fromFile := document.Log.Revision
	switch {
	case flag == expectNone:
		return epoch.Revision{}, nil
	case flag != expectFromFile:
		return parseExpected(flag, current, now)
	case fromFile.IsZero():
		return current.Revision, nil
	case fromFile.Epoch != now:
		return epoch.Revision{}, errors.Newf("the file was made from version %d in epoch %s of the platform's store, which is now in epoch %s: "+
			"that version may be lost, or its number that of another one; nothing was changed.%s\n"+
			"To go on: 'gypsumctl get' the present version, make your change in it, and apply that; or replace the present version by -expect %d.",
			fromFile.Number, fromFile.Epoch, now, indent(describeChanges("From the present inventory to your file:",
				inventory.Diff(current.Inventory, document.Inventory))), current.Revision.Number)
	default:
		return fromFile, nil
	}
}

// checkExpect is the check of the flag -expect.
func checkExpect(value string) error {
	if value == expectFromFile {
		return nil
	}
	if _, err := epoch.ParseVersion(value); err != nil {
		return errors.Newf("%q is no version, such as 12 or 2-12", value)
	}
	return nil
}

// parseExpected returns the revision that stands for the version of the flag -expect: a
// revision of the store's present epoch, or a version as gypsumctl prints it.
func parseExpected(flag string, current configuration.Document, now epoch.ID) (epoch.Revision, error) {
	version, _ := epoch.ParseVersion(flag) // checked by checkExpect
	switch {
	case version == current.Version:
		return current.Revision, nil
	case version.Epoch() == epoch.Unknown || version.Epoch() == now:
		return epoch.Revision{Epoch: now, Number: version.Number()}, nil
	}
	return epoch.Revision{}, errors.Newf("-expect: version %s isn't there any more: the platform's store is in epoch %s and holds version %s; nothing was changed",
		version, now, current.Version)
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
	if r.ResponseLost {
		env.Notef("the platform's answer was lost; reading back shows that the update took effect")
	}
	if r.Replaced {
		env.Notef("another operator has changed the inventory since; 'gypsumctl get' shows what")
	}
	if !r.Changed {
		_, err := fmt.Fprintf(env.Stdout, "version %s holds this inventory already, nothing was changed\n", r.Version)
		return errors.Wrap(err, "write the output")
	}
	for _, change := range r.Changes {
		if _, err := fmt.Fprintln(env.Stdout, change); err != nil {
			return errors.Wrap(err, "write the output")
		}
	}
	_, err := fmt.Fprintf(env.Stdout, "version %s is on the platform, %s\n", r.Version, command.Count(len(r.Changes), "change"))
	return errors.Wrap(err, "write the output")
}
