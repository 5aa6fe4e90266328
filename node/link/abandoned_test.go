package link

import (
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/node/memory"
)

// Guards against memory that is held for as long as a connection lives, because the frame that gives
// up a body was lost: the sender drops it when its queue is full.
func TestAbandonedBodies(t *testing.T) {
	Convey("Given a connection that receives a call and the reply to a call in parts", t, func() {
		socket, other := net.Pipe()
		defer func() { _, _ = socket.Close(), other.Close() }()
		budget := memory.NewBudget(0, 0, time.Now)
		c := newConn(&fakeNode{name: "server", serve: echo}, nil, socket, budget)
		first, rest := parts(2)
		c.receiveCall(1, &Call{RequestID: "1", RemainingTime: time.Second, Body: first}, int64(len(rest[0])))
		c.mu.pending[1] = &pendingCall{done: make(chan struct{})}
		c.receiveReply(1, &Reply{Outcome: OutcomeResponded, Status: 200, Body: first}, int64(len(rest[0])))
		So(budget.Used(), ShouldEqual, 4*memory.PartBytes)
		Convey("they are kept while parts may follow", func() {
			c.dropAbandoned(time.Now().Add(time.Second))
			So(budget.Used(), ShouldEqual, 4*memory.PartBytes)
		})
		Convey("the call is dropped some time after its deadline", func() {
			c.dropAbandoned(time.Now().Add(time.Second + 2*cancelDelay))
			So(budget.Used(), ShouldEqual, 2*memory.PartBytes)
		})
		Convey("the reply is dropped when nobody waits for it", func() {
			c.forget(1)
			c.dropAbandoned(time.Now())
			So(budget.Used(), ShouldEqual, 2*memory.PartBytes)
		})
	})
}
