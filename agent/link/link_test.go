package link

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/agent/exchange"
	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/callhttp"
	"github.com/gypsumford/gypsumford/fleet"
)

// scriptedServer counts the requests that it receives. The function given to
// startServer responds to each, and returns false to close the connection.
type scriptedServer struct {
	address  string
	requests atomic.Int64
}

func startServer(t *testing.T, respond func(number int64, w io.Writer, r *http.Request) bool) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	s := &scriptedServer{address: listener.Addr().String()}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(connection, respond)
		}
	}()
	return s
}

func (s *scriptedServer) serve(connection net.Conn, respond func(int64, io.Writer, *http.Request) bool) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if !respond(s.requests.Add(1), connection, request) {
			return
		}
	}
}

// writeResponse writes a peer's response to the completed call with the given request
// id. If length exceeds that of the body, the response is incomplete.
func writeResponse(w io.Writer, id, body string, length int) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: completed\r\n%s: %s\r\n%s: 1\r\nContent-Length: %d\r\n\r\n%s",
		callhttp.HeaderOutcome, callhttp.HeaderRequestID, id, callhttp.HeaderUnspent, length, body)
}

func newRequest(id call.RequestID) *exchange.Request {
	return &exchange.Request{
		Method: http.MethodPost, Header: http.Header{"Idempotency-Key": {"key-" + string(id)}}, Body: []byte("order"),
		Call: call.Call{
			Request: id, Service: "ordering", Operation: "place",
			Deadline: time.Now().Add(10 * time.Second), Grant: 2,
		},
	}
}

func sendToPeer(s *scriptedServer, l *Link, id call.RequestID) *exchange.Reply {
	to := fleet.Instance{ID: "node-1", PeerAddress: s.address}
	return l.Peer(context.Background(), to, DeliverPath, newRequest(id), 1)
}

func readAll(reply *exchange.Reply) (string, error) {
	defer reply.Body.Close()
	body, err := io.ReadAll(reply.Body)
	return string(body), err
}

func TestLinkNeverRetriesARequest(t *testing.T) {
	for _, body := range []string{"order", ""} {
		Convey("A request with an idempotency key and body \""+body+"\" is sent once on a reused connection that breaks", t, func() {
			server := startServer(t, func(number int64, w io.Writer, r *http.Request) bool {
				if number == 1 {
					writeResponse(w, r.Header.Get(callhttp.HeaderRequestID), "", 0)
				}
				return number == 1 // the second request is read and gets no response
			})
			l := New(NewTransport(), time.Now)
			first := sendToPeer(server, l, "r1")
			_, err := readAll(first)
			So(err, ShouldBeNil)
			request := newRequest("r2")
			request.Body = []byte(body)
			second := l.Peer(context.Background(), fleet.Instance{ID: "n", PeerAddress: server.address}, DeliverPath, request, 1)
			So(second.Outcome, ShouldEqual, call.Unknown)
			So(second.Unspent, ShouldEqual, 0)
			So(server.requests.Load(), ShouldEqual, 2)
		})
	}
}

func TestLinkOutcomes(t *testing.T) {
	l := New(NewTransport(), time.Now)
	Convey("A call whose connection is refused is not run and returns its attempts", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		address := listener.Addr().String()
		listener.Close()
		reply := sendToPeer(&scriptedServer{address: address}, l, "r1")
		So(reply.Outcome, ShouldEqual, call.NotRun)
		So(reply.ConnectFailed, ShouldBeTrue)
		So(reply.Unspent, ShouldEqual, 2)
	})
	Convey("The response to another request is discarded", t, func() {
		s := startServer(t, func(_ int64, w io.Writer, _ *http.Request) bool {
			writeResponse(w, "somebody-else", "their order", 11)
			return true
		})
		reply := sendToPeer(s, l, "r1")
		So(reply.Outcome, ShouldEqual, call.Unknown)
		body, _ := readAll(reply)
		So(body, ShouldBeEmpty)
	})
	Convey("A response that breaks off half way can't be read as complete", t, func() {
		s := startServer(t, func(_ int64, w io.Writer, r *http.Request) bool {
			writeResponse(w, r.Header.Get(callhttp.HeaderRequestID), "half", 8)
			return false
		})
		_, err := readAll(sendToPeer(s, l, "r1"))
		So(err, ShouldNotBeNil)
	})
	Convey("A reply without a valid outcome is unknown", t, func() {
		s := startServer(t, func(_ int64, w io.Writer, r *http.Request) bool {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
				callhttp.HeaderRequestID, r.Header.Get(callhttp.HeaderRequestID))
			return true
		})
		So(sendToPeer(s, l, "r1").Outcome, ShouldEqual, call.Unknown)
	})
	Convey("The unspent attempts that a peer reports are limited to the grant", t, func() {
		header := http.Header{}
		header.Set(callhttp.HeaderUnspent, "1000")
		So(readUnspent(header, 2), ShouldEqual, 2)
	})
}
