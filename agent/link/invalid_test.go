package link

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/callhttp"
	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/internal/httpwire/wiretest"
)

// reasons collects why responses can't be used.
type reasons struct {
	mu   sync.Mutex
	list []string
}

func (r *reasons) add(request call.RequestID, from string, reason error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, fmt.Sprint(request, " ", from, " ", reason))
}

// A target or a peer sent a head that isn't one in HTTP/1.1, or chunks that aren't, and the call
// counted as completed.
func TestInvalidResponseIsUnknown(t *testing.T) {
	fields := fmt.Sprintf("%s: completed\r\n%s: r1\r\n", callhttp.HeaderOutcome, callhttp.HeaderRequestID)
	ok := "HTTP/1.1 200 OK\r\n" + fields
	for name, response := range map[string]string{
		"a blank in a field name":        ok + "Cache Control: x\r\nContent-Length: 1\r\n\r\nx",
		"a control byte in a field name": ok + "A\x01: x\r\nContent-Length: 1\r\n\r\nx",
		"a control byte in a value":      ok + "A: \x01\r\nContent-Length: 1\r\n\r\nx",
		"bare line feeds":                strings.ReplaceAll(ok, "\r", "") + "Content-Length: 1\n\nx",
		"chunks in HTTP/1.0":             "HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		"two lengths":                    ok + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx",
		"another version":                "HTTP/3.0 200 OK\r\n" + fields + "Content-Length: 1\r\n\r\nx",
		"a spoiled chunk size":           ok + "Transfer-Encoding: chunked\r\n\r\n1 \r\nx\r\n0\r\n\r\n",
		"a spoiled trailer":              ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA B: x\r\n\r\n",
		"a spoiled interim response":     "HTTP/1.1 103 Hints\r\nA B: x\r\n\r\n" + ok + "Content-Length: 1\r\n\r\nx",
	} {
		Convey("A response with "+name+" isn't complete, and the reason is reported", t, func() {
			s := startServer(t, func(_ int64, w io.Writer, _ *http.Request) bool {
				_, _ = io.WriteString(w, response)
				return false
			})
			var broken reasons
			l := New(NewTransport(), time.Now)
			l.OnBroken = broken.add
			fromTarget := l.Target(context.Background(), s.address, newRequest("r1"), http.Header{})
			_, err := readAll(fromTarget)
			So(fromTarget.Outcome == call.Completed && err == nil, ShouldBeFalse)
			fromPeer := l.Peer(context.Background(), fleet.Instance{ID: "b", PeerAddress: s.address}, DeliverPath, newRequest("r1"), 1)
			_, err = readAll(fromPeer)
			So(fromPeer.Outcome == call.Completed && err == nil, ShouldBeFalse)
			So(len(broken.list), ShouldEqual, 2)
			So(broken.list[0], ShouldStartWith, "r1 "+s.address)
		})
	}
}

// A target answered a long body before it was written, without a length, and reset the connection:
// the part that arrived was taken for the whole body.
func TestResetDuringABodyIsNotItsEnd(t *testing.T) {
	address := wiretest.Start(t, wiretest.AnyAddress, func(socket *net.TCPConn, _ *http.Request) bool {
		wiretest.Write(socket, "HTTP/1.1 200 OK\r\n\r\npart")
		_ = socket.SetLinger(0)
		return false
	})
	l := New(NewTransport(), time.Now)
	for range 300 {
		request := newRequest("r1")
		request.Body = make([]byte, 32<<20)
		reply := l.Target(context.Background(), address, request, http.Header{})
		if body, err := readAll(reply); reply.Outcome == call.Completed && err == nil {
			t.Fatalf("%q was taken for the whole body", body)
		}
	}
}
