package apply

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/command"
	"github.com/gypsumford/gypsumford/command/node"
	"github.com/gypsumford/gypsumford/rpc/operator"
)

// maxNamedNodes is the largest number of outdated nodes that the error names.
const maxNamedNodes = 20

// outdatedNode is a node that isn't known to have the version in force.
type outdatedNode struct {
	member  *operator.Member
	version uint64 // in force on the node; 0 if err is set
	err     error  // if the node didn't reply
}

// waitForNodes waits until all live nodes have the version, or a newer one, in
// force. Otherwise its error names the nodes that don't.
func waitForNodes(ctx context.Context, env *command.Env, seed string, version uint64) error {
	client := node.New()
	var outdated []outdatedNode
	total := 0
	for {
		reply, err := client.Status(ctx, seed)
		if err == nil {
			members, _ := node.SplitLive(reply.GetMembers())
			total = len(members)
			outdated = findOutdated(ctx, client, members, version)
			if len(outdated) == 0 {
				env.Notef("version %d is in force on all %d nodes", version, total)
				return nil
			}
		}
		if pause(ctx) {
			continue
		}
		if total == 0 {
			return errors.Wrapf(err, "version %d is on the platform, but the nodes can't be asked whether it is in force", version)
		}
		return errors.Newf("version %d is on the platform, but %d of %d nodes don't have it yet; they take it when they reach a peer:%s",
			version, len(outdated), total, describeNodes(outdated))
	}
}

// findOutdated returns the members that don't have the version. It queries only
// those whose version in the list of members is older.
func findOutdated(ctx context.Context, client *node.Client, members []*operator.Member, version uint64) []outdatedNode {
	var unconfirmed []*operator.Member
	for _, member := range members {
		if member.GetConfigVersion() < version {
			unconfirmed = append(unconfirmed, member)
		}
	}
	results := node.QueryAll(ctx, client, unconfirmed, func(ctx context.Context, service operator.Operator) (*operator.StatusReply, error) {
		return service.Status(ctx, &operator.StatusRequest{})
	})
	var outdated []outdatedNode
	for _, r := range results {
		if r.Err != nil || r.Reply.GetConfigVersion() < version {
			outdated = append(outdated, outdatedNode{r.Member, r.Reply.GetConfigVersion(), r.Err})
		}
	}
	return outdated
}

func describeNodes(outdated []outdatedNode) string {
	var text strings.Builder
	for i, n := range outdated {
		if i == maxNamedNodes {
			fmt.Fprintf(&text, "\n  and %d more", len(outdated)-maxNamedNodes)
			break
		}
		fmt.Fprintf(&text, "\n  %s at %s (%s): ", n.member.GetNode(), n.member.GetPeerAddress(), n.member.GetFailureDomain())
		if n.err != nil {
			fmt.Fprintf(&text, "no answer: %s", n.err)
			continue
		}
		fmt.Fprintf(&text, "version %d", n.version)
	}
	return text.String()
}
