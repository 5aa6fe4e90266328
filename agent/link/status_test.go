package link

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/callhttp"
	"github.com/gypsumford/gypsumford/fleet"
)

// A target in trouble answered with the status 000. The call counted as completed, and writing the
// response to the caller panicked, as net/http writes no such status.
func TestInvalidStatusIsUnknown(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		Convey("A call with status "+status+" has an unknown outcome", t, func() {
			s := startServer(t, func(_ int64, w io.Writer, _ *http.Request) bool {
				_, _ = fmt.Fprintf(w, "HTTP/1.1 %s Trouble\r\n%s: completed\r\n%s: r1\r\nContent-Length: 1\r\n\r\nx",
					status, callhttp.HeaderOutcome, callhttp.HeaderRequestID)
				return true
			})
			l := New(NewTransport(), time.Now)
			fromTarget := l.Target(context.Background(), s.address, newRequest("r1"), http.Header{})
			So(fromTarget.Outcome, ShouldEqual, call.Unknown)
			So(fromTarget.NoResponse, ShouldBeTrue)
			fromPeer := l.Peer(context.Background(), fleet.Instance{ID: "b", PeerAddress: s.address}, DeliverPath, newRequest("r1"), 1)
			So(fromPeer.Outcome, ShouldEqual, call.Unknown)
		})
	}
}
