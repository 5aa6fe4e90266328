package link

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/node/memory"
)

// Guards against replies that wait in the queue of a connection, whose peer doesn't read, without
// being counted.
func TestQueuedRepliesAreCounted(t *testing.T) {
	Convey("A reply holds its memory until it is written", t, func() {
		socket, other := net.Pipe()
		defer func() { _, _ = socket.Close(), other.Close() }()
		budget := memory.NewBudget(0, 0, time.Now)
		c := newConn(&fakeNode{name: "server", serve: echo}, nil, socket, budget)
		first, _ := parts(1)
		const count = 10
		for id := range uint64(count) {
			c.sendReply(context.Background(), id, &Reply{Outcome: OutcomeResponded, Status: 200, Body: first, Lease: budget.Lease(memory.PartBytes)})
		}
		So(budget.Used(), ShouldEqual, count*memory.PartBytes)
		go c.write()
		go func() { _, _ = io.Copy(io.Discard, other) }()
		So(eventually(func() bool { return budget.Used() == 0 }), ShouldBeTrue)
		c.close()
		Convey("and gives it back at once if the connection has ended", func() {
			c.sendReply(context.Background(), 0, &Reply{Outcome: OutcomeResponded, Status: 200, Body: first, Lease: budget.Lease(memory.PartBytes)})
			So(budget.Used(), ShouldEqual, 0)
		})
	})
}
