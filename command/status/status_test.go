package status

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/command"
	"github.com/gypsumford/gypsumford/command/drain"
	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/rpc/operator"
)

// fakeNode is a node with a fixed status.
type fakeNode struct {
	operator.Operator
	status  operator.StatusReply
	drained string // name of the operator who drained the target
}

func (n *fakeNode) Status(_ context.Context, request *operator.StatusRequest) (*operator.StatusReply, error) {
	reply := &operator.StatusReply{ConfigVersion: n.status.ConfigVersion, Target: n.status.Target, Classes: n.status.Classes}
	if request.GetWithMembers() {
		reply.Members = n.status.Members
	}
	return reply, nil
}

func (n *fakeNode) Drain(_ context.Context, request *operator.DrainRequest) (*operator.DrainReply, error) {
	n.drained = request.GetBy()
	n.status.Target.State = "draining"
	return &operator.DrainReply{State: "draining", Running: 3}, nil
}

// serve starts the server of a node and returns the node as a member.
func serve(node *fakeNode, id string) *operator.Member {
	server := httptest.NewServer(operator.NewOperatorServer(node))
	Reset(server.Close)
	return &operator.Member{
		Node: id, PeerAddress: strings.TrimPrefix(server.URL, "http://"),
		Service: node.status.Target.GetService(), State: "ready", FailureDomain: "by-1",
	}
}

func runVerbs(args ...string) (status int, stdout, stderr string) {
	var out, errs bytes.Buffer
	env := &command.Env{Program: "gypsumctl", Stdout: &out, Stderr: &errs, Getenv: func(string) string { return "" }}
	status = command.Main(context.Background(), env, []command.Verb{Verb, drain.Verb}, args)
	return status, out.String(), errs.String()
}

func newFakeNode(service string, version uint64, limit uint32, strictest string, share float64) *fakeNode {
	return &fakeNode{status: operator.StatusReply{
		ConfigVersion: version,
		Target: &operator.TargetStatus{
			Service: service, State: "ready", Slots: 70, Limit: limit, Running: 5, Queued: 1,
			StrictestClass: strictest, AdmittedShare: share,
		},
		Classes: []*operator.ClassCount{
			{Class: "orders", Completed: 10},
			{Class: "browsing", Completed: 2, Unknown: 1, Refusals: []*operator.Refusal{{Reason: "overload", Count: 7}, {Reason: "deadline", Count: 8}}},
		},
	}}
}

func TestStatus(t *testing.T) {
	Convey("With two nodes of a service and a dead one", t, func() {
		first, second := newFakeNode("archive", 4, 60, "browsing", 0.4), newFakeNode("archive", 3, 20, "orders", 0.9)
		a, b := serve(first, "a"), serve(second, "b")
		dead := &operator.Member{Node: "c", PeerAddress: "127.0.0.1:1", Service: "archive", State: "dead"}
		first.status.Members = []*operator.Member{a, b, dead}

		Convey("JSON has the sums of services and classes, and the boundary of the strictest target", func() {
			status, stdout, _ := runVerbs("status", "-node", a.GetPeerAddress(), "-o", "json")
			So(status, ShouldEqual, command.ExitDone)
			var r report
			So(json.Unmarshal([]byte(stdout), &r), ShouldBeNil)
			So(r.Nodes, ShouldEqual, 3)
			So(r.Responding, ShouldEqual, 2)
			So(r.Versions, ShouldResemble, []epoch.Version{3, 4})
			So(r.Services, ShouldResemble, []serviceRow{{
				Service: "archive", Targets: 3, Ready: 2, Running: 10, Limit: 80, Slots: 140, Queued: 2, Admits: "orders 90%",
			}})
			So(r.Classes[1], ShouldResemble, classRow{
				Class: "browsing", Completed: 4, Unknown: 2, Refused: 30,
				Reasons: map[string]uint64{"overload": 14, "deadline": 16},
			})
		})
		Convey("of two targets with the same class at the boundary, the lower share is shown", func() {
			first.status.Target.StrictestClass, first.status.Target.AdmittedShare = "orders", 0.95
			_, stdout, _ := runVerbs("status", "-node", a.GetPeerAddress())
			So(stdout, ShouldContainSubstring, "orders 90%\n\nTARGETS")
		})
		Convey("text lists reasons, and what is known of inactive nodes", func() {
			_, stdout, _ := runVerbs("status", "-node", a.GetPeerAddress())
			So(stdout, ShouldContainSubstring, "deadline 16, overload 14")
			So(stdout, ShouldContainSubstring, "not asked, as it is dead")
			So(stdout, ShouldContainSubstring, "versions [3 4] in force, not all nodes have the newest yet")
		})
		Convey("a service without targets is a failure", func() {
			status, _, stderr := runVerbs("status", "-node", a.GetPeerAddress(), "-service", "gone")
			So(status, ShouldEqual, command.ExitFailure)
			So(stderr, ShouldContainSubstring, `no target of service "gone"`)
		})
		Convey("drain finds a node by its id and prints the number of running calls", func() {
			status, stdout, _ := runVerbs("drain", "-node", a.GetPeerAddress(), "-by", "anna", "b")
			So(status, ShouldEqual, command.ExitDone)
			So(stdout, ShouldContainSubstring, "is draining, 3 calls run")
			So(second.drained, ShouldEqual, "anna")
			So(first.drained, ShouldBeEmpty)
		})
		Convey("drain of an unknown id fails", func() {
			status, _, stderr := runVerbs("drain", "-node", a.GetPeerAddress(), "nobody")
			So(status, ShouldEqual, command.ExitFailure)
			So(stderr, ShouldContainSubstring, `knows no node "nobody"`)
		})
	})
}
