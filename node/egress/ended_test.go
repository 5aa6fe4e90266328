package egress

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A target that was ending, and had closed its listener but not yet its idle connections, was
// taken for one that goes on.
func TestHasEnded(t *testing.T) {
	// open returns a pool with one idle connection, the target's end of it, and its listener.
	open := func() (*Pool, net.Conn, net.Listener) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		pool := NewPool(listener.Addr().String(), time.Now)
		c, err := pool.dial(context.Background())
		So(err, ShouldBeNil)
		accepted, err := listener.Accept()
		So(err, ShouldBeNil)
		pool.put(c, time.Minute)
		return pool, accepted, listener
	}
	Convey("A target that accepts connections has not ended", t, func() {
		pool, accepted, listener := open()
		defer func() { _ = listener.Close(); _ = accepted.Close() }()
		So(pool.HasEnded(context.Background()), ShouldBeFalse)
	})
	Convey("A target that refuses connections and keeps one open has not ended", t, func() {
		pool, accepted, listener := open()
		_ = listener.Close()
		defer func() { _ = accepted.Close() }()
		So(pool.HasEnded(context.Background()), ShouldBeFalse)
	})
	Convey("A target that closes its listener first, and its connections a moment later, has ended", t, func() {
		pool, accepted, listener := open()
		_ = listener.Close()
		time.AfterFunc(30*time.Millisecond, func() { _ = accepted.Close() })
		So(pool.HasEnded(context.Background()), ShouldBeTrue)
	})
}
