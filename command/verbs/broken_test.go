package verbs

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"github.com/gypsumford/gypsumford/command"
	"github.com/gypsumford/gypsumford/internal/httpwire/wiretest"
	"github.com/gypsumford/gypsumford/rpc/operator"
	"github.com/gypsumford/gypsumford/rpc/peer"
)

// Guards against operators who are shown a broken answer as the state of a node, and against an
// answer without end that fills the memory of their machine.
func TestBrokenAnswersOfNodes(t *testing.T) {
	document, err := proto.Marshal(&peer.PullConfigReply{Version: 3, Document: []byte(nodesInventory)})
	if err != nil {
		t.Fatal(err)
	}
	members, err := proto.Marshal(&operator.StatusReply{Node: "n1"})
	if err != nil {
		t.Fatal(err)
	}
	for _, verb := range []struct {
		args []string // without the address
		body string
	}{
		{[]string{"explain", "-host", "h", "-path", "/", "-metrics"}, `{"instance":"n1"}`},
		{[]string{"quarantine", "-metrics"}, `{}`},
		{[]string{"get", "-from-node"}, string(document)},
		{[]string{"status", "-node"}, string(members)},
	} {
		run := func(response string) int {
			address, _ := wiretest.StartEndless(t, response, "")
			status, _ := runCtl(nil, append(verb.args, address)...)
			return status
		}
		length := fmt.Sprintf("Content-Length: %d\r\n", len(verb.body))
		Convey(verb.args[0]+" shows a valid answer, and fails for one that isn't HTTP/1.1", t, func() {
			So(run("HTTP/1.1 200 OK\r\n"+length+"\r\n"+verb.body), ShouldEqual, command.ExitDone)
			for _, response := range []string{
				"HTTP/1.1 200 OK\r\nCache Control: x\r\n" + length + "\r\n" + verb.body,
				"HTTP/1.1 200 OK\r\nA: \x01\r\n" + length + "\r\n" + verb.body,
				"HTTP/1.1 200 OK\r\n" + length + length + "\r\n" + verb.body,
				"HTTP/1.1 200 OK\n" + length + "\n" + verb.body,
				"HTTP/5.0 200 OK\r\n" + length + "\r\n" + verb.body,
				"HTTP/1.1 000 OK\r\n" + length + "\r\n" + verb.body,
			} {
				So(run(response), ShouldEqual, command.ExitFailure)
			}
		})
		Convey(verb.args[0]+" fails for an answer without end", t, func() {
			address, sent := wiretest.StartEndless(t, "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat(" ", 1<<16))
			status, out := runCtl(nil, append(verb.args, address)...)
			So(status, ShouldEqual, command.ExitFailure)
			So(out, ShouldNotContainSubstring, "deadline")
			So(sent.Load(), ShouldBeLessThan, command.MaxResponseBytes+(16<<20))
		})
	}
}
