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

// A faulty target wrote an earlier refusal once more on a kept connection, and the next call, which
// the target was running, was taken for not run.
func TestEarlierRefusalIsNotTakenForTheResponse(t *testing.T) {
	Convey("The call after a refusal gets its own response", t, func() {
		refusal := fmt.Sprintf("HTTP/1.1 503 Shed\r\n%s: not-run\r\nContent-Length: 0\r\n\r\n", callhttp.HeaderOutcome)
		refused := map[io.Writer]bool{} // connections with a refusal
		s := startServer(t, func(number int64, w io.Writer, _ *http.Request) bool {
			if number == 1 || refused[w] {
				refused[w] = true
				_, _ = io.WriteString(w, refusal)
				return true
			}
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nran")
			return true
		})
		l := New(NewTransport(), time.Now)
		first := l.Target(context.Background(), s.address, newRequest("r1"), http.Header{})
		So(first.Outcome, ShouldEqual, call.NotRun)
		second := l.Target(context.Background(), s.address, newRequest("r2"), http.Header{})
		So(second.Outcome, ShouldEqual, call.Completed)
		body, err := readAll(second)
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "ran")
	})
}

// A target or a peer stopped in the middle of its response and closed the connection. No prefix
// of a response may look like a whole one.
func TestBrokenOffResponseIsNeverWhole(t *testing.T) {
	fields := fmt.Sprintf("%s: completed\r\n%s: r1\r\n%s: 1\r\n", callhttp.HeaderOutcome, callhttp.HeaderRequestID, callhttp.HeaderUnspent)
	for name, response := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 4\r\n\r\nbody",
		"empty":  "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 0\r\n\r\n",
		"chunks": "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for length := range len(response) {
				s := startServer(t, func(_ int64, w io.Writer, _ *http.Request) bool {
					_, _ = io.WriteString(w, response[:length])
					return false
				})
				l := New(NewTransport(), time.Now)
				fromTarget := l.Target(context.Background(), s.address, newRequest("r1"), http.Header{})
				fromPeer := l.Peer(context.Background(), fleet.Instance{ID: "n", PeerAddress: s.address}, DeliverPath, newRequest("r1"), 1)
				if body, err := readAll(fromTarget); fromTarget.Outcome == call.Completed && err == nil {
					t.Errorf("the first %d bytes of a target's response gave %q", length, body)
				}
				if body, err := readAll(fromPeer); fromPeer.Outcome == call.Completed && err == nil {
					t.Errorf("the first %d bytes of a peer's response gave %q", length, body)
				}
			}
		})
	}
}
