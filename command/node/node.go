// Package node is the client that verbs use to query nodes.
//
// A verb requests the members of the fleet from one node, and QueryAll then queries
// the members. It uses a bounded number of workers and a timeout for each member, so
// a node that hangs delays its worker by at most that timeout.
package node

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/internal/httpwire"
	"github.com/gypsumford/gypsumford/rpc/operator"
)

const (
	// workers is the largest number of nodes that QueryAll queries at the same time.
	workers = 256
	// nodeTimeout is the longest time that QueryAll waits for the reply of a node.
	nodeTimeout = 3 * time.Second
	// maxReplyBytes is the size of the largest reply that is read. A reply with
	// 25,000 members is smaller.
	maxReplyBytes = 8 << 20
	// maxIdleConnections keeps the number of open files within usual limits when
	// the fleet is large.
	maxIdleConnections = 64
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 5 * time.Second
)

// Result is the reply of one member, or the error if it has none.
type Result[T any] struct {
	Member *operator.Member
	Reply  T
	Err    error
}

// Client sends requests to nodes. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// New returns a client.
func New() *Client {
	transport := httpwire.NewTransport(&http.Transport{IdleConnTimeout: idleTimeout, MaxIdleConns: maxIdleConnections, MaxIdleConnsPerHost: 1})
	transport.MaxBodyBytes = maxReplyBytes
	return &Client{http: &http.Client{Transport: transport}}
}

// At returns a client for the operator service of the node with the peer address.
func (c *Client) At(peerAddress string) operator.Operator {
	return operator.NewOperatorProtobufClient("http://"+peerAddress, c.http)
}

// Status returns the status of the node with the peer address, and all members that
// the node knows.
func (c *Client) Status(ctx context.Context, peerAddress string) (*operator.StatusReply, error) {
	reply, err := c.At(peerAddress).Status(ctx, &operator.StatusRequest{WithMembers: true})
	if err != nil {
		return nil, errors.Wrapf(Explain(err), "node %s doesn't answer; -node takes the peer address of any node that runs", peerAddress)
	}
	return reply, nil
}

// SplitLive separates the live members from the inactive ones, which are dead or
// have left.
func SplitLive(members []*operator.Member) (live, inactive []*operator.Member) {
	for _, member := range members {
		switch member.GetState() {
		case fleet.Dead.String(), fleet.Left.String():
			inactive = append(inactive, member)
		default:
			live = append(live, member)
		}
	}
	return live, inactive
}

// QueryAll calls query for each member, several at the same time, and returns the
// results in the order of the members.
func QueryAll[T any](ctx context.Context, c *Client, members []*operator.Member, query func(context.Context, operator.Operator) (T, error)) []Result[T] {
	results := make([]Result[T], len(members))
	next := make(chan int)
	var group sync.WaitGroup
	for range min(workers, len(members)) {
		group.Go(func() {
			for i := range next {
				results[i] = queryOne(ctx, c, members[i], query)
			}
		})
	}
	for i := range members {
		next <- i
	}
	close(next)
	group.Wait()
	return results
}

func queryOne[T any](ctx context.Context, c *Client, member *operator.Member, query func(context.Context, operator.Operator) (T, error)) Result[T] {
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	reply, err := query(ctx, c.At(member.GetPeerAddress()))
	return Result[T]{Member: member, Reply: reply, Err: Explain(err)}
}

// Explain returns the error without the text that twirp adds to it. An HTTP
// response that isn't from a twirp server becomes an error with its status.
func Explain(err error) error {
	var twirpError twirp.Error
	if !errors.As(err, &twirpError) {
		return err
	}
	if twirpError.Meta("http_error_from_intermediary") != "" {
		return errors.Newf("HTTP status %s, so this is not the peer listener of a node", twirpError.Meta("status_code"))
	}
	message := strings.TrimPrefix(twirpError.Msg(), "failed to do request: ")
	return errors.New(message)
}
