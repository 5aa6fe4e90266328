package egress

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against running requests in vain: calls and the notices that their callers had
// disconnected reached a node together, a second late, and the node sent the calls to the
// target (users' bench: kerhoant-mesh, hunt-dfb1-3).
func TestRequestOfDisconnectedCaller(t *testing.T) {
	Convey("It isn't sent to the target, not even over an idle connection, and hasn't run", t, func() {
		reached := make(chan string, 10)
		target := newFakeTarget(t, func(id string) (string, bool) {
			reached <- id
			return okResponse(id, id), false
		})
		s := newTestSender(target)
		_, err := send(s, "1")
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		for range 5 {
			_, err = s.Send(ctx, &Request{ID: "2", Method: "GET", URI: "/", Host: "h"})
			So(errors.Is(err, ErrUnreachable), ShouldBeTrue)
		}
		time.Sleep(20 * time.Millisecond)
		So(len(reached), ShouldEqual, 1)
		So(target.connections.Load(), ShouldEqual, 1)
	})
}

// Guards against running a cancelled request: a target accepted a connection a second late, and
// ran the request that it found there.
func TestConnectionAcceptedAfterCancellation(t *testing.T) {
	Convey("A target that accepts the connection after the request was cancelled finds a reset connection", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = listener.Close() }()
		s := NewSender(NewPool(listener.Addr().String(), time.Now), plainDialect{}, 0)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err = s.Send(ctx, &Request{ID: "1", Method: "GET", URI: "/", Host: "h"})
		So(errors.Is(err, context.DeadlineExceeded), ShouldBeTrue)
		time.Sleep(20 * time.Millisecond)
		socket, err := listener.Accept()
		So(err, ShouldBeNil)
		_, err = io.ReadAll(socket)
		So(errors.Is(err, syscall.ECONNRESET), ShouldBeTrue)
	})
}
