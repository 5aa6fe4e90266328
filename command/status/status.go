// Package status is the verb that shows services, targets, limits and what was
// refused.
package status

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/command"
	"github.com/gypsumford/gypsumford/command/node"
	"github.com/gypsumford/gypsumford/command/table"
	"github.com/gypsumford/gypsumford/rpc/operator"
	"github.com/gypsumford/gypsumford/settings"
)

const (
	synopsis = "show services, targets, limits, and calls refused by class"
	details  = `One node names the members; all of them are asked then.

SERVICES sums up each service. RUNNING/LIMIT: calls that run and calls that the
nodes let run at once now. SLOTS: what the contracts allow. ADMITS: the least
important class that is still let in, with the share of it.
TARGETS has a row for each node; a node that doesn't answer shows what the
others know of it.
CALLS counts root calls and child calls, at the node that each one entered, since
that node started.

Examples:
  gypsumctl status -node 10.0.0.7:7100
  gypsumctl status -service archive
  gypsumctl status -o json`

	defaultRows = 100
	mostRows    = 100_000
)

// Verb is "gypsumctl status".
var Verb = command.Verb{Name: "status", Synopsis: synopsis, Run: run}

func run(ctx context.Context, env *command.Env, args []string) error {
	set := env.Settings("status", synopsis, details)
	address := command.NodeFlag(set)
	service := set.String("service", "", "show this service only")
	rows := set.Int("rows", defaultRows, "most targets that are listed as text", settings.Between(0, mostRows))
	output := command.OutputFlag(set, command.Text, command.JSON)
	timeout := command.TimeoutFlag(set)
	if err := env.Parse(set, args); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, *timeout)
	defer cancel()
	client := node.New()
	first, err := client.Status(ctx, *address)
	if err != nil {
		return err
	}
	live, gone := node.SplitLive(first.GetMembers())
	answers := node.AskAll(ctx, client, live, askStatus)
	for _, member := range gone {
		err := errors.Newf("not asked, as it is %s", member.GetState())
		answers = append(answers, node.Result[*operator.StatusReply]{Member: member, Err: err})
	}
	r := newReport(*address, answers, *service)
	if *output == command.JSON {
		err = command.WriteJSON(env.Stdout, r)
	} else {
		err = writeText(env.Stdout, r, *rows)
	}
	if err == nil && *service != "" && len(r.Services) == 0 {
		err = errors.Newf("no target of service %q is known to node %s", *service, *address)
	}
	return err
}

func askStatus(ctx context.Context, at operator.Operator) (*operator.StatusReply, error) {
	return at.Status(ctx, &operator.StatusRequest{})
}

func writeText(w io.Writer, r report, rows int) error {
	if _, err := fmt.Fprintf(w, "nodes %d, answering %d; inventory %s\n\n", r.Nodes, r.Answering, r.versions()); err != nil {
		return errors.Wrap(err, "write the output")
	}
	for _, part := range []struct {
		title string
		table *table.Table
	}{
		{"SERVICES", serviceTable(r.Services)},
		{"TARGETS", targetTable(r.Targets[:min(rows, len(r.Targets))])},
		{"CALLS", callTable(r.Classes)},
	} {
		if part.table.Len() == 0 {
			continue
		}
		if _, err := fmt.Fprintln(w, part.title); err != nil {
			return errors.Wrap(err, "write the output")
		}
		if err := part.table.Write(w); err != nil {
			return errors.Wrap(err, "write the output")
		}
		if part.title == "TARGETS" && len(r.Targets) > rows {
			_, _ = fmt.Fprintf(w, "and %d more; narrow by -service or raise -rows\n", len(r.Targets)-rows)
		}
		_, _ = fmt.Fprintln(w)
	}
	return nil
}

func serviceTable(services []serviceRow) *table.Table {
	t := table.New("SERVICE", "TARGETS", "READY", "RUNNING/LIMIT", "SLOTS", "QUEUED", "ADMITS")
	for _, s := range services {
		t.Row(s.Service, s.Targets, s.Ready, fmt.Sprintf("%d/%d", s.Running, s.Limit), known(s.Slots), s.Queued, s.Admits)
	}
	return t
}

func targetTable(targets []targetRow) *table.Table {
	t := table.New("NODE", "ADDRESS", "DOMAIN", "SERVICE", "STATE", "RUNNING/LIMIT", "SLOTS", "QUEUED", "ADMITS", "INVENTORY", "NOTE")
	for _, r := range targets {
		if !r.Answers {
			t.Row(r.Node, r.Address, r.FailureDomain, r.Service, r.State, "", "", "", "", "", r.Error)
			continue
		}
		load := fmt.Sprintf("%d/%d", r.Running, r.Limit)
		t.Row(r.Node, r.Address, r.FailureDomain, r.Service, r.State, load, known(r.Slots), r.Queued, r.Admits, r.Version, r.Error)
	}
	return t
}

func callTable(classes []classRow) *table.Table {
	t := table.New("CLASS", "COMPLETED", "UNKNOWN", "REFUSED", "WHY")
	for _, c := range classes {
		t.Row(c.Class, c.Completed, c.Unknown, c.Refused, c.reasons())
	}
	return t
}

// known prints a number that is 0 while no inventory is in force.
func known(number uint32) string {
	if number == 0 {
		return ""
	}
	return fmt.Sprint(number)
}
