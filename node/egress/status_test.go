package egress

import (
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// A target in trouble answered with the status 000, and the caller got that as an answer. No
// status outside the final ones of HTTP/1.1 may be taken for a response, nor for an interim one
// that a final one follows.
func TestInvalidStatusIsBroken(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		Convey("A response with status "+status+" is broken, and its connection isn't used again", t, func() {
			target := newFakeTarget(t, func(id string) (string, bool) {
				if id == "bad" {
					return "HTTP/1.1 " + status + " Trouble\r\nId: bad\r\nContent-Length: 1\r\n\r\nx", false
				}
				return okResponse(id, "y"), false
			})
			sender := newTestSender(target)
			response, err := send(sender, "bad")
			So(errors.Is(err, ErrBroken), ShouldBeTrue)
			So(response, ShouldBeNil)
			response, err = send(sender, "good")
			So(err, ShouldBeNil)
			So(string(response.Body), ShouldEqual, "y")
			So(target.connections.Load(), ShouldEqual, 2)
		})
	}
	Convey("A target that sends 000 before its response, on the same connection, is broken, too", t, func() {
		target := newFakeTarget(t, func(id string) (string, bool) {
			return "HTTP/1.1 000 Trouble\r\nId: " + id + "\r\n\r\n" + okResponse(id, "y"), false
		})
		_, err := send(newTestSender(target), "bad")
		So(errors.Is(err, ErrBroken), ShouldBeTrue)
	})
	Convey("An interim response is skipped", t, func() {
		target := newFakeTarget(t, func(id string) (string, bool) {
			return "HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse(id, "y"), false
		})
		response, err := send(newTestSender(target), "good")
		So(err, ShouldBeNil)
		So(response.Status, ShouldEqual, 200)
	})
}
