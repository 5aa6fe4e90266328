// Package status implements "gypsumctl status", which shows services, targets,
// limits and the counts of refused calls.
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
	details  = `The node is asked for the members of the fleet, then each member for its status.

SERVICES sums up each service. RUNNING/LIMIT: running calls, and the current
concurrency limits. SLOTS: what the contracts allow. ADMITS: the least important
class that is still admitted, with the admitted share of its calls.
TARGETS has a row for each node. If a node doesn't answer, the row shows what
other nodes know of it.
CALLS counts root calls and child calls, at the node that each one entered, since
that node started.

Examples:
  gypsumctl status -node 10.0.0.7:7100
  gypsumctl status -service archive
  gypsumctl status -o json`

	defaultRows = 100
	maxRows     = 100_000
)

// Verb is "gypsumctl status".
var Verb = command.Verb{Name: "status", Synopsis: synopsis, Run: run}

func run(ctx context.Context, env *command.Env, args []string) error {
	set := env.Settings("status", synopsis, details)
	address := command.NodeFlag(set)
	service := set.String("service", "", "show this service only")
	rows := set.Int("rows", defaultRows, "most targets that are listed as text", settings.Between(0, maxRows))
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
	live, inactive := node.SplitLive(first.GetMembers())
	results := node.QueryAll(ctx, client, live, queryStatus)
	for _, member := range inactive {
		err := errors.Newf("not asked, as it is %s", member.GetState())
		results = append(results, node.Result[*operator.StatusReply]{Member: member, Err: err})
	}
	r := newReport(*address, results, *service)
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

func queryStatus(ctx context.Context, service operator.Operator) (*operator.StatusReply, error) {
	return service.Status(ctx, &operator.StatusRequest{})
}

func writeText(w io.Writer, r report, rows int) error {
	if _, err := fmt.Fprintf(w, "nodes %d, answering %d; inventory %s\n\n", r.Nodes, r.Responding, r.versions()); err != nil {
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
		t.Row(s.Service, s.Targets, s.Ready, fmt.Sprintf("%d/%d", s.Running, s.Limit), emptyIfZero(s.Slots), s.Queued, s.Admits)
	}
	return t
}

func targetTable(targets []targetRow) *table.Table {
	t := table.New("NODE", "ADDRESS", "DOMAIN", "SERVICE", "STATE", "RUNNING/LIMIT", "SLOTS", "QUEUED", "ADMITS", "INVENTORY", "NOTE")
	for _, r := range targets {
		if !r.Responded {
			t.Row(r.Node, r.Address, r.FailureDomain, r.Service, r.State, "", "", "", "", "", r.Error)
			continue
		}
		load := fmt.Sprintf("%d/%d", r.Running, r.Limit)
		t.Row(r.Node, r.Address, r.FailureDomain, r.Service, r.State, load, emptyIfZero(r.Slots), r.Queued, r.Admits, r.Version, r.Error)
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

// emptyIfZero returns the number as text, and "" for 0. The number of slots is 0
// while no inventory is in force.
func emptyIfZero(number uint32) string {
	if number == 0 {
		return ""
	}
	return fmt.Sprint(number)
}
