package link

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/node/memory"
)

// Guards against a call that is sent, and may run, although its caller left while it waited for the
// peer's Hello.
func TestCallerThatLeavesBeforeTheCallIsSent(t *testing.T) {
	Convey("Nothing of a long call is sent", t, func() {
		socket, other := net.Pipe()
		defer func() { _, _ = socket.Close(), other.Close() }()
		c := newConn(&fakeNode{name: "caller", serve: echo}, nil, socket, memory.NewBudget(0, 0, time.Now))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := c.do(ctx, longCall("1", 3))
		So(errors.Is(err, context.Canceled), ShouldBeTrue)
		So(len(c.queue), ShouldEqual, 0)
	})
}
