package ingress

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a connection that counts as stalled, and may be closed for others, while it is the
// node that lets its caller wait.
func TestCallersThatWaitForTheNode(t *testing.T) {
	waiting := func(f *fixture) func() bool {
		return func() bool {
			conns := f.server.openConns()
			if len(conns) != 1 {
				return false
			}
			conns[0].mu.Lock()
			defer conns[0].mu.Unlock()
			return conns[0].mu.queue.Len() > 0 && conns[0].mu.waiting
		}
	}
	Convey("A caller whose next request isn't read for lack of room in the queue waits for the node", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		for range 33 {
			c.get("1")
		}
		So(len(f.nextStarted(1)), ShouldEqual, 1)
		So(eventually(func() bool { return f.server.InFlight() == 32 }), ShouldBeTrue)
		time.Sleep(20 * time.Millisecond) // the first byte of the last request is read
		So(waiting(f)(), ShouldBeTrue)
	})
	Convey("So does one that waits for 100 Continue behind another request", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		c.get("1")
		So(len(f.nextStarted(1)), ShouldEqual, 1)
		c.send("POST / HTTP/1.1\r\nHost: h\r\nId: 2\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
		time.Sleep(20 * time.Millisecond) // the head is read
		So(waiting(f)(), ShouldBeTrue)
		f.release("1")
		c.readResponse()
		status, _, _ := c.readResponse()
		So(status, ShouldEqual, 100)
		So(waiting(f)(), ShouldBeFalse)
	})
}
