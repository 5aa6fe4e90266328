package link

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// What answered at the address of a peer sent a frame without end, and the node kept all of it.
func TestFrameWithoutEnd(t *testing.T) {
	Convey("The connection is closed at the bound, the call is lost, and the reason is logged", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = listener.Close() }()
		var sent atomic.Int64
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = socket.Close() }()
			_, _ = socket.Read(make([]byte, 4096))
			_, err = socket.Write([]byte{0xfb, 1, 0xff, 0xff, 0xff, 0xff}) // the message has 8 GiB
			for part := make([]byte, 1<<20); err == nil && sent.Load() < 4*maxFrameBytes; {
				var n int
				n, err = socket.Write(part)
				sent.Add(int64(n))
			}
		}()
		node := &fakeNode{name: "caller", serve: echo}
		client := NewPool(node, time.Now)
		defer client.Close()
		_, err = client.Do(context.Background(), listener.Addr().String(), call("1"))
		So(err, ShouldEqual, ErrLost)
		<-closed
		const inBuffers = 16 << 20 // of the sockets
		So(sent.Load(), ShouldBeLessThan, maxFrameBytes+inBuffers)
		node.mu.Lock()
		defer node.mu.Unlock()
		So(strings.Join(node.mu.errors, ""), ShouldContainSubstring, "exceeds the size limit")
	})
}
