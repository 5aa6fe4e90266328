package ingress

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPlannedStop(t *testing.T) {
	stop := func(f *fixture) chan error {
		stopped := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			stopped <- f.server.Stop(ctx)
		}()
		return stopped
	}
	Convey("Requests that were read get responses, the last of which closes the connection", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		c.get("1", "2")
		So(len(f.nextStarted(2)), ShouldEqual, 2)
		stopped := stop(f)
		time.Sleep(100 * time.Millisecond)
		f.release("2", "1")
		_, body, closes := c.readResponse()
		So(body, ShouldEqual, "1:")
		So(closes, ShouldBeFalse)
		_, body, closes = c.readResponse()
		So(body, ShouldEqual, "2:")
		So(closes, ShouldBeTrue)
		_ = c.Close()
		So(<-stopped, ShouldBeNil)
	})
	Convey("New connections, and requests that were read in part, are served", t, func() {
		f := newFixture(t, Limits{})
		unused, partial := f.dial(), f.dial()
		partial.send("GET / HTTP/1.1\r\nHost: h\r\n")
		time.Sleep(20 * time.Millisecond)
		stopped := stop(f)
		time.Sleep(100 * time.Millisecond)
		f.release("1", "2")
		unused.get("1")
		partial.send("Id: 2\r\n\r\n")
		for _, c := range []*caller{unused, partial} {
			status, _, closes := c.readResponse()
			So(status, ShouldEqual, 200)
			So(closes, ShouldBeTrue)
			_ = c.Close()
		}
		So(<-stopped, ShouldBeNil)
	})
	Convey("Under load every request on an accepted connection gets a response", t, func() {
		f := newFixture(t, Limits{})
		const callers = 40
		results := make(chan string, callers)
		for i := range callers {
			f.release(fmt.Sprint(i))
			go func() {
				socket, err := net.Dial("tcp", f.address)
				if err != nil {
					results <- "not accepted"
					return
				}
				c := &caller{Conn: socket, reader: bufio.NewReader(socket)}
				defer func() { _ = c.Close() }()
				c.get(fmt.Sprint(i))
				status, body, _ := c.readResponse()
				results <- fmt.Sprint(status, " ", strings.TrimRight(body, ":0123456789"))
			}()
			if i == callers/2 {
				time.Sleep(20 * time.Millisecond)
			}
		}
		So(<-stop(f), ShouldBeNil)
		for range callers {
			So(<-results, ShouldBeIn, "200 ", "not accepted")
		}
	})
	Convey("An idle connection is closed", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		f.release("1")
		c.get("1")
		c.readResponse()
		So(<-stop(f), ShouldBeNil)
		So(c.isClosed(), ShouldBeTrue)
	})
}
