package node

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/rpc/operator"
)

// fakeFleet serves the operator service of all nodes of a fleet at one address.
type fakeFleet struct {
	operator.Operator
	members []*operator.Member
}

func (f *fakeFleet) Status(_ context.Context, request *operator.StatusRequest) (*operator.StatusReply, error) {
	reply := &operator.StatusReply{ConfigVersion: 7}
	if request.GetWithMembers() {
		reply.Members = f.members
	}
	return reply, nil
}

func TestFullSizeFleet(t *testing.T) {
	Convey("The members of the largest fleet fit into one reply, and each member that is queried replies", t, func() {
		const size, queried = 19_000, 500 // querying all members would exhaust the ephemeral ports
		fleet := &fakeFleet{}
		server := httptest.NewServer(operator.NewOperatorServer(fleet))
		defer server.Close()
		address := strings.TrimPrefix(server.URL, "http://")
		for i := range size {
			fleet.members = append(fleet.members, &operator.Member{
				Node: fmt.Sprintf("node-%020d", i), PeerAddress: address, FailureDomain: "domain-31", Region: "region-10",
				Service: strings.Repeat("s", 63), State: "ready", Incarnation: 1 << 60, ConfigVersion: 1 << 60,
			})
		}
		client := New()
		reply, err := client.Status(context.Background(), address)
		So(err, ShouldBeNil)
		results := QueryAll(context.Background(), client, reply.GetMembers()[:queried], func(ctx context.Context, service operator.Operator) (*operator.StatusReply, error) {
			return service.Status(ctx, &operator.StatusRequest{})
		})
		So(len(reply.GetMembers()), ShouldEqual, size)
		So(len(results), ShouldEqual, queried)
		for _, result := range results {
			if result.Err != nil || result.Reply.GetConfigVersion() != 7 {
				t.Fatalf("%v", result)
			}
		}
	})
}
