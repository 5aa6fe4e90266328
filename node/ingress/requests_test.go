package ingress

import (
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestKindsOfRequests(t *testing.T) {
	Convey("HTTP/1.0 closes the connection unless the request has Connection: keep-alive", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		f.release("1", "2")
		c.send("GET / HTTP/1.0\r\nConnection: keep-alive\r\nId: 1\r\n\r\n")
		_, body, closes := c.readResponse()
		So(body, ShouldEqual, "1:")
		So(closes, ShouldBeFalse)
		c.send("GET / HTTP/1.0\r\nId: 2\r\n\r\n")
		_, body, closes = c.readResponse()
		So(body, ShouldEqual, "2:")
		So(closes, ShouldBeTrue)
	})
	Convey("A chunked body with trailers leaves nothing on the connection", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		f.release("1", "2")
		c.send("POST / HTTP/1.1\r\nHost: h\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\nT: x\r\n\r\n")
		c.get("2")
		_, body, _ := c.readResponse()
		So(body, ShouldEqual, "1:abcde")
		_, body, _ = c.readResponse()
		So(body, ShouldEqual, "2:")
	})
	Convey("100 Continue is sent after the responses ahead", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		c.get("1")
		c.send("POST / HTTP/1.1\r\nHost: h\r\nId: 2\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
		So(len(f.nextStarted(1)), ShouldEqual, 1)
		f.release("1", "2")
		_, body, _ := c.readResponse()
		So(body, ShouldEqual, "1:")
		status, _, _ := c.readResponse()
		So(status, ShouldEqual, 100)
		c.send("hi")
		_, body, _ = c.readResponse()
		So(body, ShouldEqual, "2:hi")
	})
	Convey("A body or a head beyond the limit is refused, and the connection closes", t, func() {
		for request, want := range map[string]int{
			"POST / HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: 11\r\n\r\n":                                      413,
			"POST / HTTP/1.1\r\nHost: h\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n0\r\n\r\n": 413,
			"GET / HTTP/1.1\r\nHost: h\r\nId: 1\r\nLong: " + strings.Repeat("x", 9000) + "\r\n\r\n":                  431,
		} {
			f := newFixture(t, Limits{BodyBytes: 10, HeaderBytes: 8000})
			c := f.dial()
			c.send(request)
			status, _, closes := c.readResponse()
			So(status, ShouldEqual, want)
			So(closes, ShouldBeTrue)
			So(f.noneStarts(), ShouldBeTrue)
		}
	})
	Convey("A long head within the limit is read", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		f.release("1", "2")
		c.send("GET / HTTP/1.1\r\nHost: h\r\nId: 1\r\nLong: " + strings.Repeat("x", 30000) + "\r\n\r\n")
		c.get("2")
		_, body, _ := c.readResponse()
		So(body, ShouldEqual, "1:")
		_, body, _ = c.readResponse()
		So(body, ShouldEqual, "2:")
	})
	Convey("A response to HEAD has no body", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		f.release("1", "2")
		c.send("HEAD / HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n")
		c.get("2")
		response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodHead})
		So(err, ShouldBeNil)
		So(response.Header.Get("Id"), ShouldEqual, "1")
		So(response.Header.Get("X"), ShouldEqual, "a  b")
		_, body, _ := c.readResponse()
		So(body, ShouldEqual, "2:")
	})
}
