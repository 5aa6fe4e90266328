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

// manyNodes answers for a whole fleet from one address.
type manyNodes struct {
	operator.Operator
	members []*operator.Member
}

func (m *manyNodes) Status(_ context.Context, request *operator.StatusRequest) (*operator.StatusReply, error) {
	reply := &operator.StatusReply{ConfigVersion: 7}
	if request.GetWithMembers() {
		reply.Members = m.members
	}
	return reply, nil
}

func TestFullSizeFleet(t *testing.T) {
	Convey("The members of the largest fleet fit into one answer, and each one that is asked answers", t, func() {
		const size, asked = 19_000, 500 // asking all would use up the machine's ports
		fleet := &manyNodes{}
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
		answers := Each(context.Background(), client, reply.GetMembers()[:asked], func(ctx context.Context, at operator.Operator) (*operator.StatusReply, error) {
			return at.Status(ctx, &operator.StatusRequest{})
		})
		So(len(reply.GetMembers()), ShouldEqual, size)
		So(len(answers), ShouldEqual, asked)
		for _, answer := range answers {
			if answer.Err != nil || answer.Reply.GetConfigVersion() != 7 {
				t.Fatalf("%v", answer)
			}
		}
	})
}
