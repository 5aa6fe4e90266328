package timeline

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/command"
	"github.com/gypsumford/gypsumford/command/node"
	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/rpc/operator"
	events "github.com/gypsumford/gypsumford/timeline"
	"github.com/gypsumford/gypsumford/timeline/eventpb"
)

// maxEvents is the largest number of events of all nodes together. It bounds the
// memory that the verb uses.
const maxEvents = 1_000_000

// pageSize is the largest number of events that one request reads from a node.
const pageSize = 5000

// collection is the events of all nodes, and the output as JSON.
type collection struct {
	Nodes  []nodeResult   `json:"nodes"`
	Events []events.Event `json:"events"`
}

// nodeResult states how complete the events of one node are.
type nodeResult struct {
	Node    fleet.InstanceID `json:"node"`
	Address string           `json:"address"`
	Events  int              `json:"events"`
	Dropped uint64           `json:"dropped"`           // dropped by the node's ring or by the limit
	Unknown int              `json:"unknown,omitempty"` // of kinds that this version doesn't know
	Error   string           `json:"error,omitempty"`   // if the node didn't reply
}

// collect reads and merges the events of all live members that the node at the
// address knows. It reads at most limit events of each node.
func collect(ctx context.Context, client *node.Client, address string, filter events.Filter, limit int) (collection, error) {
	status, err := client.Status(ctx, address)
	if err != nil {
		return collection{}, err
	}
	live, _ := node.SplitLive(status.GetMembers())
	limit = max(min(limit, maxEvents/max(len(live), 1)), 1)
	results := node.QueryAll(ctx, client, live, func(ctx context.Context, service operator.Operator) (nodeEvents, error) {
		return readNode(ctx, service, filter, limit)
	})
	c := collection{Nodes: []nodeResult{}, Events: []events.Event{}}
	lists := make([][]events.Event, 0, len(results))
	for _, result := range results {
		c.Nodes = append(c.Nodes, newNodeResult(result))
		lists = append(lists, result.Reply.events)
	}
	c.Events = append(c.Events, events.Merge(lists...)...)
	return c, nil
}

// nodeEvents are the events that were read from one node.
type nodeEvents struct {
	events  []events.Event
	dropped uint64
	unknown int
}

// readNode reads the node's ring in pages and returns the last limit events.
func readNode(ctx context.Context, service operator.Operator, filter events.Filter, limit int) (nodeEvents, error) {
	var all nodeEvents
	after := uint64(0)
	for {
		reply, err := service.Timeline(ctx, &operator.TimelineRequest{
			After: after, Limit: pageSize,
			Request: string(filter.Request), Service: filter.Service, Kind: filter.Kind.String(),
		})
		if err != nil {
			return all, err
		}
		batch, unknown := eventpb.ToEvents(reply.GetEvents())
		all.unknown += unknown
		all.dropped += reply.GetDropped()
		all.events = append(all.events, batch...)
		if surplus := len(all.events) - limit; surplus > 0 {
			all.events = all.events[surplus:]
			all.dropped += uint64(surplus)
		}
		last := lastSequence(reply.GetEvents())
		if len(reply.GetEvents()) == 0 || last <= after {
			return all, nil
		}
		after = last
	}
}

func lastSequence(messages []*operator.Event) uint64 {
	if len(messages) == 0 {
		return 0
	}
	return messages[len(messages)-1].GetSequence()
}

func newNodeResult(result node.Result[nodeEvents]) nodeResult {
	r := nodeResult{
		Node: fleet.InstanceID(result.Member.GetNode()), Address: result.Member.GetPeerAddress(),
		Events: len(result.Reply.events), Dropped: result.Reply.dropped, Unknown: result.Reply.unknown,
	}
	if result.Err != nil {
		r.Error = result.Err.Error()
	}
	return r
}

// lossy returns the nodes whose older events were dropped.
func (c collection) lossy() []fleet.InstanceID {
	var nodes []fleet.InstanceID
	for _, n := range c.Nodes {
		if n.Dropped > 0 {
			nodes = append(nodes, n.Node)
		}
	}
	return nodes
}

// reportMissing prints notes on missing events on standard error.
func (c collection) reportMissing(env *command.Env) {
	var dropped uint64
	var failed []error
	for _, n := range c.Nodes {
		dropped += n.Dropped
		if n.Error != "" {
			failed = append(failed, errors.Newf("node %s at %s: %s", n.Node, n.Address, n.Error))
		}
	}
	for _, err := range failed {
		env.Notef("note: events are missing: %s", err)
	}
	if dropped > 0 {
		env.Notef("note: %s of %s lost to age or left out by the limit", command.Count(int(dropped), "older event"), command.Count(len(c.lossy()), "node"))
	}
	if len(c.Events) == 0 {
		env.Notef("note: no event matches; nodes keep only their last ones")
	}
}
