package ingress

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against the loss of the first bytes of a pipelined request behind a long head, which are
// in a buffer while the buffer of the long head is replaced by a small one.
func TestRequestsBehindALongHead(t *testing.T) {
	Convey("A request behind a head that fills its buffer is read whole", t, func() {
		for _, size := range []int{2 * bufferBytes, 4 * bufferBytes} {
			f := newFixture(t, Limits{})
			f.release("1", "2")
			c := f.dial()
			head := "GET / HTTP/1.1\r\nHost: h\r\nId: 1\r\nLong: "
			head += strings.Repeat("x", size-len(head)-len("\r\n\r\n")) + "\r\n\r\n"
			// The first piece exceeds half of the buffer a little, so that the rest of the head leaves
			// less room in it than is read at once.
			first := size/2 + 4
			c.send(head[:first])
			time.Sleep(50 * time.Millisecond)
			c.send(head[first:] + "GET / HTTP/1.1\r\nHost: h\r\nId: 2\r\n\r\n")
			for _, id := range []string{"1", "2"} {
				status, body, _ := c.readResponse()
				So(fmt.Sprint(size, " ", status, " ", body), ShouldEqual, fmt.Sprint(size, " 200 ", id, ":"))
			}
			_ = c.Close()
			So(f.holds(0), ShouldBeTrue)
		}
	})
}
