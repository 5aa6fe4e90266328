package link

import (
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/node/memory"
)

// Guards against a connection that is closed as unused while the parts of a call arrive on it.
func TestConnectionThatReceivesALongBodyIsInUse(t *testing.T) {
	Convey("It isn't unused between two parts, however many ticks the whole body takes", t, func() {
		socket, other := net.Pipe()
		defer func() { _, _ = socket.Close(), other.Close() }()
		c := newConn(&fakeNode{name: "server", serve: echo}, nil, socket, memory.NewBudget(0, 0, time.Now))
		first, rest := parts(4)
		c.receiveCall(1, &Call{RequestID: "1", RemainingTime: time.Hour, Body: first}, int64(memory.Size(nil, rest)))
		for _, part := range rest[:2] {
			for range idleCloseTicks {
				c.received.Store(true)
				So(c.tick(), ShouldBeFalse)
			}
			c.receivePart(1, &wirePart{Data: part})
		}
	})
}
