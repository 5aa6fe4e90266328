package timeline

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/twitchtv/twirp"

	"github.com/gypsumford/gypsumford/command"
	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/rpc/operator"
	events "github.com/gypsumford/gypsumford/timeline"
	"github.com/gypsumford/gypsumford/timeline/eventpb"
)

// fakeNode is a node that serves the events of a ring.
type fakeNode struct {
	operator.Operator
	ring    *events.Ring
	members []*operator.Member
}

func (n *fakeNode) Status(context.Context, *operator.StatusRequest) (*operator.StatusReply, error) {
	return &operator.StatusReply{Members: n.members}, nil
}

func (n *fakeNode) Timeline(_ context.Context, request *operator.TimelineRequest) (*operator.TimelineReply, error) {
	filter, ok := eventpb.FilterOf(request)
	if !ok {
		return nil, twirp.InvalidArgumentError("kind", "no such kind")
	}
	batch, dropped := n.ring.After(request.GetAfter(), filter, int(request.GetLimit()))
	return &operator.TimelineReply{Events: eventpb.FromEvents(batch), Dropped: dropped}, nil
}

// serve starts the server of a node with the ring and returns the node, also as a
// member.
func serve(ring *events.Ring, id string) (*fakeNode, *operator.Member) {
	node := &fakeNode{ring: ring}
	server := httptest.NewServer(operator.NewOperatorServer(node))
	Reset(server.Close)
	return node, &operator.Member{Node: id, PeerAddress: strings.TrimPrefix(server.URL, "http://"), State: "ready"}
}

func runVerb(args ...string) (status int, stdout, stderr string) {
	var out, errs bytes.Buffer
	env := &command.Env{Program: "gypsumctl", Stdout: &out, Stderr: &errs, Getenv: func(string) string { return "" }}
	status = command.Main(context.Background(), env, []command.Verb{Verb}, append([]string{"timeline"}, args...))
	return status, out.String(), errs.String()
}

func TestTimeline(t *testing.T) {
	Convey("With two nodes whose wall clocks differ, and a dead one", t, func() {
		at := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
		entry, target := events.NewRing("entry", 8), events.NewRing("target", 6000)
		entry.Record(events.Event{Kind: events.Received, Time: at, Request: "r1", Service: "search", Operation: "find", Class: "lookups"})
		entry.Record(events.Event{Kind: events.Sent, Time: at, Request: "r1", Service: "search", Detail: "target"})
		target.Observe(entry.Lamport())
		target.Record(events.Event{Kind: events.Started, Time: at.Add(-time.Hour), Request: "r1", Service: "search"})
		for range 5500 {
			target.Record(events.Event{Kind: events.LimitChanged, Time: at.Add(-time.Hour), Service: "search", Value: 4})
		}
		target.Record(events.Event{Kind: events.Completed, Time: at.Add(-time.Hour), Request: "r1", Service: "search"})
		entry.Observe(target.Lamport())
		entry.Record(events.Event{Kind: events.Completed, Time: at, Request: "r1", Service: "search", Operation: "find", Class: "lookups"})
		first, a := serve(entry, "entry")
		_, b := serve(target, "target")
		unavailable := &operator.Member{Node: "gone", PeerAddress: "127.0.0.1:1", State: fleet.Dead.String()}
		first.members = []*operator.Member{a, b, unavailable}

		Convey("the events of a request are read over several pages and printed in causal order", func() {
			status, stdout, stderr := runVerb("-node", a.PeerAddress, "-request", "r1")
			So(status, ShouldEqual, command.ExitDone)
			So(stderr, ShouldBeEmpty)
			var kinds []string
			for line := range strings.Lines(stdout) {
				kinds = append(kinds, strings.Fields(line)[2])
			}
			So(kinds, ShouldResemble, []string{"received", "sent", "started", "completed", "completed"})
		})
		Convey("all pages of a node's ring are read, and -limit selects the last events", func() {
			_, stdout, _ := runVerb("-node", a.PeerAddress, "-kind", "limit-changed")
			So(strings.Count(stdout, "\n"), ShouldEqual, 5500)
			_, stdout, stderr := runVerb("-node", a.PeerAddress, "-kind", "limit-changed", "-limit", "10")
			So(strings.Count(stdout, "\n"), ShouldEqual, 10)
			So(stderr, ShouldContainSubstring, "5490 older events of 1 node lost")
		})
		Convey("a node that doesn't reply is named, and the events of the others are shown", func() {
			unavailable.State = fleet.Suspect.String()
			status, stdout, stderr := runVerb("-node", a.PeerAddress, "-request", "r1")
			So(status, ShouldEqual, command.ExitDone)
			So(stdout, ShouldContainSubstring, "received")
			So(stderr, ShouldContainSubstring, "events are missing: node gone at 127.0.0.1:1")
		})
		Convey("the page and the JSON contain the events, and text from nodes is escaped", func() {
			entry.Record(events.Event{Kind: events.PlatformOut, Time: at, Detail: "</script><b>"})
			_, html, _ := runVerb("-node", a.PeerAddress, "-o", "html")
			So(html, ShouldContainSubstring, "<svg")
			So(html, ShouldContainSubstring, "platform out")
			So(html, ShouldNotContainSubstring, "</script><b>")
			_, json, _ := runVerb("-node", a.PeerAddress, "-o", "json", "-kind", "platform-out")
			So(json, ShouldContainSubstring, `"kind": "platform-out"`)
			_, json, _ = runVerb("-node", a.PeerAddress, "-o", "json", "-request", "none")
			So(json, ShouldContainSubstring, `"events": []`)
		})
		Convey("an unknown kind is a usage error", func() {
			status, _, stderr := runVerb("-node", a.PeerAddress, "-kind", "nothing")
			So(status, ShouldEqual, command.ExitUsage)
			So(stderr, ShouldContainSubstring, `"nothing" is no kind of event`)
		})
	})
}
