package ingress

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/node/memory"
)

func TestRequestsOfOneConnectionRunAtOnce(t *testing.T) {
	Convey("Idempotent requests start before the response to the first; responses keep their order", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		c.get("1", "2", "3")
		So(f.nextStarted(3), ShouldResemble, map[string]bool{"1": true, "2": true, "3": true})
		f.release("3", "2")
		time.Sleep(20 * time.Millisecond)
		f.release("1")
		for _, id := range []string{"1", "2", "3"} {
			status, body, closes := c.readResponse()
			So(status, ShouldEqual, 200)
			So(body, ShouldEqual, id+":")
			So(closes, ShouldBeFalse)
		}
		Convey("and the connection serves further requests", func() {
			c.get("4")
			f.release("4")
			_, body, _ := c.readResponse()
			So(body, ShouldEqual, "4:")
		})
	})
	Convey("A request that isn't idempotent starts when all responses ahead are written", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		c.get("1")
		c.send("POST / HTTP/1.1\r\nHost: h\r\nId: 2\r\nContent-Length: 4\r\n\r\npaid")
		c.get("3")
		So(f.nextStarted(2), ShouldResemble, map[string]bool{"1": true, "3": true})
		So(f.noneStarts(), ShouldBeTrue)
		f.release("1", "2", "3")
		So(f.nextStarted(1), ShouldResemble, map[string]bool{"2": true})
		for _, want := range []string{"1:", "2:paid", "3:"} {
			_, body, _ := c.readResponse()
			So(body, ShouldEqual, want)
		}
	})
	Convey("A caller that disconnects cancels all of its requests", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		c.get("1", "2")
		So(len(f.nextStarted(2)), ShouldEqual, 2)
		_ = c.Close()
		cancelled := map[string]bool{<-f.cancelled: true, <-f.cancelled: true}
		So(cancelled, ShouldResemble, map[string]bool{"1": true, "2": true})
	})
	Convey("A caller that disconnects while its last request runs cancels it", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		c.send("GET / HTTP/1.1\r\nHost: h\r\nId: 1\r\nConnection: close\r\n\r\n")
		So(len(f.nextStarted(1)), ShouldEqual, 1)
		_ = c.Close()
		So(<-f.cancelled, ShouldEqual, "1")
	})
	Convey("A request's bytes are held until its response is written, and those of the connection until it ends", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		c.send("POST / HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: 4\r\n\r\npaid")
		So(len(f.nextStarted(1)), ShouldEqual, 1)
		request := int64(requestOverheadBytes + 2*(len("/")+len("Id")+len("1")+48+len("Content-Length")+len("4")+48))
		So(f.server.budget.Used(), ShouldEqual, memory.ConnectionBytes+request+4)
		f.release("1")
		c.readResponse()
		So(f.holds(memory.ConnectionBytes), ShouldBeTrue)
		_ = c.Close()
		So(f.holds(0), ShouldBeTrue)
	})
	Convey("Requests that never start are counted off when the connection breaks", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		for _, id := range []string{"1", "2", "3"} {
			c.send("POST / HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\nContent-Length: 4\r\n\r\npaid")
		}
		So(f.nextStarted(1), ShouldResemble, map[string]bool{"1": true})
		So(eventually(func() bool { return f.server.InFlight() == 3 }), ShouldBeTrue)
		_ = c.Close()
		So(f.holds(0), ShouldBeTrue)
		So(eventually(func() bool { return f.server.InFlight() == 0 }), ShouldBeTrue)
	})
	Convey("A caller that disconnects is noticed though its request has a long body", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		c.send("POST / HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: 2000000\r\n\r\n" + strings.Repeat("x", 2_000_000))
		So(len(f.nextStarted(1)), ShouldEqual, 1)
		_ = c.Close()
		select {
		case id := <-f.cancelled:
			So(id, ShouldEqual, "1")
		case <-time.After(patience):
			So("the request", ShouldEqual, "cancelled")
		}
	})
}
