// Package node asks nodes for the verbs that read from the fleet.
//
// The first node tells who the members are; the members are then asked by a
// bounded number of workers, each with a time limit of its own, so a node that
// hangs delays only its own row.
package node

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/rpc/operator"
)

const (
	// workers is the number of nodes that are asked at once.
	workers = 256
	// nodeTimeout is the longest time that one node gets to answer.
	nodeTimeout = 3 * time.Second
	// maxReplyBytes is the longest answer that is read; 25,000 members fit in it.
	maxReplyBytes = 8 << 20
	// maxIdleConnections keeps the open files of a large fleet within usual limits.
	maxIdleConnections = 64
	// idleTimeout closes a connection that is no longer used.
	idleTimeout = 5 * time.Second
)

// Answer is what one member answered.
type Answer[T any] struct {
	Member *operator.Member
	Reply  T
	Err    error
}

// Client asks nodes. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// New returns a client.
func New() *Client {
	transport := &http.Transport{IdleConnTimeout: idleTimeout, MaxIdleConns: maxIdleConnections, MaxIdleConnsPerHost: 1}
	return &Client{http: &http.Client{Transport: bounded{transport}}}
}

// bounded is a transport that cuts answers off at maxReplyBytes, so that a
// faulty node can't fill the memory.
type bounded struct{ next http.RoundTripper }

// RoundTrip sends the request.
func (b bounded) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := b.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = boundedBody{io.LimitReader(response.Body, maxReplyBytes), response.Body}
	return response, nil
}

// boundedBody reads a part of a body and closes all of it.
type boundedBody struct {
	io.Reader
	io.Closer
}

// At returns the operators' service of the node with the peer address.
func (c *Client) At(peerAddress string) operator.Operator {
	return operator.NewOperatorProtobufClient("http://"+peerAddress, c.http)
}

// Status asks the node with the peer address for its own status and for all
// members that it knows.
func (c *Client) Status(ctx context.Context, peerAddress string) (*operator.StatusReply, error) {
	reply, err := c.At(peerAddress).Status(ctx, &operator.StatusRequest{WithMembers: true})
	if err != nil {
		return nil, errors.Wrapf(Explain(err), "node %s doesn't answer; -node takes the peer address of any node that runs", peerAddress)
	}
	return reply, nil
}

// Split parts the members that may answer from those that are dead or have left.
func Split(members []*operator.Member) (live, gone []*operator.Member) {
	for _, member := range members {
		switch member.GetState() {
		case fleet.Dead.String(), fleet.Left.String():
			gone = append(gone, member)
		default:
			live = append(live, member)
		}
	}
	return live, gone
}

// Each asks all members and returns their answers in the order of the members.
func Each[T any](ctx context.Context, c *Client, members []*operator.Member, ask func(context.Context, operator.Operator) (T, error)) []Answer[T] {
	answers := make([]Answer[T], len(members))
	next := make(chan int)
	var group sync.WaitGroup
	for range min(workers, len(members)) {
		group.Go(func() {
			for i := range next {
				answers[i] = askOne(ctx, c, members[i], ask)
			}
		})
	}
	for i := range members {
		next <- i
	}
	close(next)
	group.Wait()
	return answers
}

func askOne[T any](ctx context.Context, c *Client, member *operator.Member, ask func(context.Context, operator.Operator) (T, error)) Answer[T] {
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	reply, err := ask(ctx, c.At(member.GetPeerAddress()))
	return Answer[T]{Member: member, Reply: reply, Err: Explain(err)}
}

// Explain returns an error without the protocol's wrapping text.
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
