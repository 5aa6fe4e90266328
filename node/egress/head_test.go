package egress

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a response to HEAD that is taken for a truncated one: it states the length of a
// body that doesn't follow.
func TestResponsesToHead(t *testing.T) {
	Convey("A response to HEAD that states a length is complete, and its connection is reused", t, func() {
		target := newFakeTarget(t, func(id string) (string, bool) {
			return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 100000\r\n\r\n", false
		})
		s := newTestSender(target)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		for _, id := range []string{"1", "2"} {
			response, err := s.Send(ctx, &Request{ID: id, Method: "HEAD", URI: "/", Host: "h"})
			So(err, ShouldBeNil)
			So(response.Status, ShouldEqual, 200)
			So(response.Body, ShouldBeEmpty)
		}
		So(target.connections.Load(), ShouldEqual, 1)
	})
}
