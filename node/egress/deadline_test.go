package egress

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// cancellingDialect ends the context of the request at the moment when its response was read.
type cancellingDialect struct {
	plainDialect
	cancel context.CancelFunc
}

func (d cancellingDialect) ReadResponse(status int, header http.Header) ResponseFields {
	d.cancel()
	return d.plainDialect.ReadResponse(status, header)
}

// Guards against a connection in the pool that is about to be reset.
func TestResponseAtTheDeadline(t *testing.T) {
	Convey("A connection whose request ends at the moment of the response isn't used again", t, func() {
		target := newFakeTarget(t, func(id string) (string, bool) { return okResponse(id, id), false })
		ctx, cancel := context.WithCancel(context.Background())
		s := NewSender(NewPool(target.listener.Addr().String(), time.Now), cancellingDialect{cancel: cancel}, 0)
		response, err := s.Send(ctx, &Request{ID: "1", Method: http.MethodGet, URI: "/", Host: "h"})
		So(err, ShouldBeNil)
		So(string(response.Body), ShouldEqual, "1")
		So(s.pool.popIdle(""), ShouldBeNil)
	})
}
