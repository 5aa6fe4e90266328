// Package drain implements "gypsumctl drain", which drains the target of one node.
package drain

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/command"
	"github.com/gypsumford/gypsumford/command/node"
	"github.com/gypsumford/gypsumford/rpc/operator"
)

const (
	synopsis = "drain the target of one node without cutting off its calls"
	details  = `The target stops receiving new work within a few seconds, and completes the calls
that it runs. NODE is the peer address of the node beside the target, or the
node's id; an id is looked up through -node.

Examples:
  gypsumctl drain 10.0.0.7:7100
  gypsumctl drain -node 10.0.0.7:7100 by-1-archive-2
  gypsumctl drain -wait -timeout 1m 10.0.0.7:7100`
)

// pollInterval is the time between two requests for the number of running calls.
const pollInterval = 500 * time.Millisecond

// Verb is "gypsumctl drain".
var Verb = command.Verb{Name: "drain", Synopsis: synopsis, Run: run}

// result is the state of the target, and the output as JSON.
type result struct {
	Node    string `json:"node"`
	State   string `json:"state"`
	Running uint32 `json:"running"`
}

func run(ctx context.Context, env *command.Env, args []string) error {
	set := env.Settings("drain", synopsis, details)
	seed := set.HostPort("node", "", "peer address of any node that runs, to look an id up")
	by := set.String("by", "", "name of the operator for the timeline, default $USER")
	wait := set.Bool("wait", "wait until no call runs on the target")
	output := command.OutputFlag(set, command.Text, command.JSON)
	timeout := command.TimeoutFlag(set)
	name := set.Argument("NODE", "peer address or id of the node beside the target")
	if err := env.Parse(set, args); err != nil {
		return err
	}
	if *by == "" {
		*by = env.Getenv("USER")
	}
	ctx, cancel := context.WithTimeout(ctx, *timeout)
	defer cancel()
	client := node.New()
	address, err := findAddress(ctx, client, *seed, *name)
	if err != nil {
		return err
	}
	r, err := drain(ctx, client, address, *by)
	if err != nil {
		return err
	}
	if *wait {
		r, err = waitUntilIdle(ctx, client, address, r)
	}
	if r.Node != "" {
		if writeErr := write(env, *output, r); writeErr != nil {
			return writeErr
		}
	}
	return err
}

// findAddress returns the peer address of the node with the name, which is an
// address already or an id.
func findAddress(ctx context.Context, client *node.Client, seed, name string) (string, error) {
	if strings.Contains(name, ":") {
		return name, nil
	}
	if seed == "" {
		return "", errors.Newf("%q is no host:port; to look up an id, set -node to the peer address of any node that runs", name)
	}
	reply, err := client.Status(ctx, seed)
	if err != nil {
		return "", err
	}
	for _, member := range reply.GetMembers() {
		if member.GetNode() == name {
			return member.GetPeerAddress(), nil
		}
	}
	return "", errors.Newf("node %s knows no node %q; 'gypsumctl status' lists them", seed, name)
}

func drain(ctx context.Context, client *node.Client, address, by string) (result, error) {
	reply, err := client.At(address).Drain(ctx, &operator.DrainRequest{By: by})
	if err != nil {
		return result{}, errors.Wrapf(node.Explain(err), "node %s didn't confirm the drain; run the command again, which is safe", address)
	}
	return result{Node: address, State: reply.GetState(), Running: reply.GetRunning()}, nil
}

// waitUntilIdle polls the node until no call runs on its target.
func waitUntilIdle(ctx context.Context, client *node.Client, address string, r result) (result, error) {
	for {
		reply, err := client.At(address).Status(ctx, &operator.StatusRequest{})
		if err == nil {
			r.State, r.Running = reply.GetTarget().GetState(), reply.GetTarget().GetRunning()
			if r.Running == 0 {
				return r, nil
			}
		}
		select {
		case <-ctx.Done():
			return r, errors.Newf("the target of %s is draining, but %d calls still run; they are not cut off", address, r.Running)
		case <-time.After(pollInterval):
		}
	}
}

func write(env *command.Env, output string, r result) error {
	if output == command.JSON {
		return command.WriteJSON(env.Stdout, r)
	}
	_, err := fmt.Fprintf(env.Stdout, "target of %s is %s, %d calls run\n", r.Node, r.State, r.Running)
	return errors.Wrap(err, "write the output")
}
