package apply

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/command"
	"github.com/gypsumford/gypsumford/command/node"
	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/inventory"
	"github.com/gypsumford/gypsumford/objects"
	"github.com/gypsumford/gypsumford/rpc/operator"
)

// maxNamedNodes is the largest number of outdated nodes that the error names.
const maxNamedNodes = 20

// outdatedNode is a node that isn't known to have the version in force.
type outdatedNode struct {
	member  *operator.Member
	version epoch.Version // in force on the node; 0 if err is set
	err     error         // if the node didn't reply
}

// waitForNodes waits until all live nodes have the version, or a newer one, in
// force. Otherwise its error names the nodes that don't.
func (u *update) waitForNodes(ctx context.Context, env *command.Env, seed string, version epoch.Version) error {
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
				env.Notef("version %s is in force on all %d nodes", version, total)
				return nil
			}
		}
		if u.isLost(ctx) {
			return errors.Newf("version %s was on the platform and is lost: its store came back from an older copy. "+
				"%d of %d nodes have it in force. Run the same command again", version, total-len(outdated), total)
		}
		if pause(ctx) {
			continue
		}
		if total == 0 {
			return errors.Wrapf(err, "version %s is on the platform, but the nodes can't be asked whether it is in force", version)
		}
		return errors.Newf("version %s is on the platform, but %d of %d nodes don't have it yet; they take it when they reach a peer:%s",
			version, len(outdated), total, describeNodes(outdated))
	}
}

// isLost reports whether the store was restored since the update took effect and holds an
// older version.
func (u *update) isLost(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	held, err := u.store.Get(ctx, inventory.ObjectKey)
	isRead := err == nil || errors.Is(err, objects.ErrNotFound)
	return isRead && u.store.Epoch() != u.written.Revision.Epoch && held.Version < u.written.Version
}

// findOutdated returns the members that don't have the version. It queries only
// those whose version in the list of members is older.
func findOutdated(ctx context.Context, client *node.Client, members []*operator.Member, version epoch.Version) []outdatedNode {
	var unconfirmed []*operator.Member
	for _, member := range members {
		if epoch.Version(member.GetConfigVersion()) < version {
			unconfirmed = append(unconfirmed, member)
		}
	}
	results := node.QueryAll(ctx, client, unconfirmed, func(ctx context.Context, service operator.Operator) (*operator.StatusReply, error) {
		return service.Status(ctx, &operator.StatusRequest{})
	})
	var outdated []outdatedNode
	for _, r := range results {
		if r.Err != nil || epoch.Version(r.Reply.GetConfigVersion()) < version {
			outdated = append(outdated, outdatedNode{r.Member, epoch.Version(r.Reply.GetConfigVersion()), r.Err})
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
		fmt.Fprintf(&text, "version %s", n.version)
	}
	return text.String()
}
