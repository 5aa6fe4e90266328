package link

import (
	"context"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/roster"
)

func TestUnexpectedErrors(t *testing.T) {
	Convey("A call that panics has an unknown outcome, and the connection serves further calls", t, func() {
		server := &fakeNode{name: "server"}
		server.serve = func(ctx context.Context, c *Call) *Reply {
			if c.RequestID == "bad" {
				panic("unexpected")
			}
			return echo(ctx, c)
		}
		client, address, _, _ := pair(t, server)
		reply, err := client.Do(context.Background(), address, &Call{RequestID: "bad"})
		So(err, ShouldBeNil)
		So(reply.Outcome, ShouldEqual, OutcomeUnknown)
		So(reply.Arrived, ShouldBeTrue)
		reply, err = client.Do(context.Background(), address, &Call{RequestID: "good"})
		So(err, ShouldBeNil)
		So(string(reply.Body), ShouldEqual, "good")
		server.mu.Lock()
		defer server.mu.Unlock()
		So(strings.Join(server.mu.errors, ""), ShouldContainSubstring, "unexpected")
	})
}

func TestGossip(t *testing.T) {
	Convey("Connected peers receive the record of a third node", t, func() {
		server := &fakeNode{name: "server", serve: echo}
		client, address, _, _ := pair(t, server)
		_, err := client.Do(context.Background(), address, &Call{RequestID: "1"})
		So(err, ShouldBeNil)
		client.Gossip(roster.Record{Instance: "third"})
		_, err = client.Do(context.Background(), address, &Call{RequestID: "2"}) // the peer reads it after the record
		So(err, ShouldBeNil)
		server.mu.Lock()
		defer server.mu.Unlock()
		So(server.mu.records[len(server.mu.records)-1].Instance, ShouldEqual, "third")
	})
}
