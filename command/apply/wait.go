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

// mostNamed is the number of nodes that are named as being behind.
const mostNamed = 20

// behind is a node that doesn't have the version yet.
type behind struct {
	member  *operator.Member
	version uint64 // that it has in force
	err     error  // it doesn't answer
}

// waitForNodes waits until all live nodes have the version, or a newer one, in
// force. Its error says who is behind.
func waitForNodes(ctx context.Context, env *command.Env, seed string, version uint64) error {
	client := node.New()
	var late []behind
	total := 0
	for {
		reply, err := client.Status(ctx, seed)
		if err == nil {
			members, _ := node.SplitLive(reply.GetMembers())
			total = len(members)
			late = findBehind(ctx, client, members, version)
			if len(late) == 0 {
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
			version, len(late), total, name(late))
	}
}

// findBehind asks the nodes that aren't known to have the version.
func findBehind(ctx context.Context, client *node.Client, members []*operator.Member, version uint64) []behind {
	var unsure []*operator.Member
	for _, member := range members {
		if member.GetConfigVersion() < version {
			unsure = append(unsure, member)
		}
	}
	answers := node.AskAll(ctx, client, unsure, func(ctx context.Context, at operator.Operator) (*operator.StatusReply, error) {
		return at.Status(ctx, &operator.StatusRequest{})
	})
	var late []behind
	for _, answer := range answers {
		if answer.Err != nil || answer.Reply.GetConfigVersion() < version {
			late = append(late, behind{answer.Member, answer.Reply.GetConfigVersion(), answer.Err})
		}
	}
	return late
}

func name(late []behind) string {
	var text strings.Builder
	for i, b := range late {
		if i == mostNamed {
			fmt.Fprintf(&text, "\n  and %d more", len(late)-mostNamed)
			break
		}
		fmt.Fprintf(&text, "\n  %s at %s (%s): ", b.member.GetNode(), b.member.GetPeerAddress(), b.member.GetFailureDomain())
		if b.err != nil {
			fmt.Fprintf(&text, "no answer: %s", b.err)
			continue
		}
		fmt.Fprintf(&text, "version %d", b.version)
	}
	return text.String()
}
