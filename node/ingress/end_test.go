package ingress

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestEndOfAConnection(t *testing.T) {
	Convey("No request after one with Connection: close is handled", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		c.send("GET / HTTP/1.1\r\nHost: h\r\nId: 1\r\nConnection: close\r\n\r\n")
		c.get("2")
		f.release("1")
		_, body, closes := c.readResponse()
		So(body, ShouldEqual, "1:")
		So(closes, ShouldBeTrue)
		So(c.isClosed(), ShouldBeTrue)
		So(f.nextStarted(1), ShouldResemble, map[string]bool{"1": true})
		So(f.noneStarts(), ShouldBeTrue)
	})
	Convey("A malformed request after valid ones is refused after their responses", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		c.get("1")
		c.send("nonsense\r\n\r\n")
		So(len(f.nextStarted(1)), ShouldEqual, 1)
		f.release("1")
		status, _, _ := c.readResponse()
		So(status, ShouldEqual, 200)
		status, _, closes := c.readResponse()
		So(status, ShouldEqual, 400)
		So(closes, ShouldBeTrue)
		So(c.isClosed(), ShouldBeTrue)
	})
	Convey("A request that is never completed is refused, after the responses ahead", t, func() {
		f := newFixture(t, Limits{HeaderTimeout: 50 * time.Millisecond})
		c := f.dial()
		c.get("1")
		c.send("GET / HTTP/1.1\r\nHost:")
		So(len(f.nextStarted(1)), ShouldEqual, 1)
		time.Sleep(100 * time.Millisecond)
		f.release("1")
		status, _, _ := c.readResponse()
		So(status, ShouldEqual, 200)
		status, _, closes := c.readResponse()
		So(status, ShouldEqual, http.StatusRequestTimeout)
		So(closes, ShouldBeTrue)
	})
	Convey("A connection is closed after the idle timeout, unless it has a request in flight", t, func() {
		f := newFixture(t, Limits{IdleTimeout: 50 * time.Millisecond})
		c := f.dial()
		c.get("1")
		So(len(f.nextStarted(1)), ShouldEqual, 1)
		time.Sleep(200 * time.Millisecond)
		f.release("1")
		status, _, closes := c.readResponse()
		So(status, ShouldEqual, 200)
		So(closes, ShouldBeFalse)
		So(c.isClosed(), ShouldBeTrue)
	})
	Convey("The idle timeout starts with the last response", t, func() {
		f := newFixture(t, Limits{IdleTimeout: 400 * time.Millisecond})
		c := f.dial()
		c.get("1")
		So(len(f.nextStarted(1)), ShouldEqual, 1)
		time.Sleep(300 * time.Millisecond)
		f.release("1")
		status, _, _ := c.readResponse()
		So(status, ShouldEqual, 200)
		answered := time.Now()
		So(c.isClosed(), ShouldBeTrue)
		So(time.Since(answered), ShouldBeGreaterThan, 350*time.Millisecond)
	})
	Convey("A panic fails its own request only", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		c.send("GET /panic HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n")
		c.get("2")
		f.release("2")
		status, _, _ := c.readResponse()
		So(status, ShouldEqual, http.StatusBadGateway)
		status, _, _ = c.readResponse()
		So(status, ShouldEqual, 200)
		So((<-f.unexpected).Error(), ShouldContainSubstring, "unexpected")
	})
}

// panickingDialect panics while a response is written.
type panickingDialect struct{ plainDialect }

func (panickingDialect) RequestIDField() string { panic("unexpected") }

func TestUnexpectedErrorWhileAResponseIsWritten(t *testing.T) {
	Convey("It ends the connection, not the process", t, func() {
		f := newFixture(t, Limits{})
		f.server.dialect = panickingDialect{}
		f.release("1")
		c := f.dial()
		c.get("1")
		So((<-f.unexpected).Error(), ShouldContainSubstring, "unexpected")
		So(c.isClosed(), ShouldBeTrue)
	})
}
