package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/node/memory"
)

// patience is how long a test waits for an event before it fails.
const patience = 10 * time.Second

// plainDialect has the request ID in the field Id.
type plainDialect struct{}

func (plainDialect) ReadRequest(h http.Header) (Fields, error) {
	if h.Get("Id") == "" {
		return Fields{}, errors.New("Id: missing")
	}
	return Fields{RequestID: h.Get("Id"), RemainingTime: patience, HasDeadline: true}, nil
}
func (plainDialect) SetsField(name string) bool { return name == "Id" }
func (plainDialect) RequestIDField() string     { return "Id" }

// gatedHandler is a handler whose requests run until the test releases them.
type gatedHandler struct {
	limits    Limits
	mu        sync.Mutex
	gates     map[string]chan struct{}
	started   chan *Request
	cancelled chan string // IDs of requests whose context ended
}

func newGatedHandler() *gatedHandler {
	return &gatedHandler{gates: map[string]chan struct{}{}, started: make(chan *Request, 100), cancelled: make(chan string, 100)}
}

func (h *gatedHandler) gate(id string) chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gates[id] == nil {
		h.gates[id] = make(chan struct{})
	}
	return h.gates[id]
}

func (h *gatedHandler) release(ids ...string) {
	for _, id := range ids {
		close(h.gate(id))
	}
}

func (h *gatedHandler) Limits() Limits { return h.limits }

func (h *gatedHandler) IsIdempotent(r *Request) bool { return r.Method == http.MethodGet }

func (h *gatedHandler) Handle(ctx context.Context, r *Request) *Response {
	h.started <- r
	if strings.HasPrefix(r.Path, "/panic") {
		panic("unexpected")
	}
	select {
	case <-h.gate(r.RequestID):
	case <-ctx.Done():
		h.cancelled <- r.RequestID
		return nil
	}
	return &Response{Status: 200, Header: []string{"X", "a\r\nb"}, Body: []byte(r.RequestID + ":" + string(r.Body))}
}

// nextStarted returns the IDs of the next requests that start, as many as count.
func (h *gatedHandler) nextStarted(count int) map[string]bool {
	ids := map[string]bool{}
	for range count {
		select {
		case r := <-h.started:
			ids[r.RequestID] = true
		case <-time.After(patience):
			return ids
		}
	}
	return ids
}

func (h *gatedHandler) noneStarts() bool {
	select {
	case <-h.started:
		return false
	case <-time.After(50 * time.Millisecond):
		return true
	}
}

type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (c *caller) send(text string) { _, _ = io.WriteString(c, text) }

func (c *caller) get(ids ...string) {
	for _, id := range ids {
		c.send("GET / HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n\r\n")
	}
}

// readResponse returns the status, the body, and whether the connection is to be closed. If
// it fails, it returns the error's text as the body.
func (c *caller) readResponse() (int, string, bool) {
	_ = c.SetReadDeadline(time.Now().Add(patience))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err.Error(), true
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error(), true
	}
	return response.StatusCode, string(body), response.Close
}

func (c *caller) isClosed() bool {
	_ = c.SetReadDeadline(time.Now().Add(patience))
	_, err := c.reader.ReadByte()
	return err != nil && !errors.Is(err, context.DeadlineExceeded)
}

type fixture struct {
	*gatedHandler
	server     *Server
	address    string
	unexpected chan error
}

func newFixture(t *testing.T, limits Limits) *fixture {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{gatedHandler: newGatedHandler(), address: listener.Addr().String(), unexpected: make(chan error, 10)}
	f.gatedHandler.limits = limits
	f.server = NewServer(plainDialect{}, f.gatedHandler, 0, time.Now)
	f.server.OnUnexpected = func(_ string, err error) { f.unexpected <- err }
	go func() { _ = f.server.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		f.server.Close()
	})
	return f
}

func (f *fixture) dial() *caller {
	socket, err := net.Dial("tcp", f.address)
	So(err, ShouldBeNil)
	return &caller{Conn: socket, reader: bufio.NewReader(socket)}
}

func TestRequestsOfOneConnectionRunAtOnce(t *testing.T) {
	Convey("Idempotent requests start before the response to the first; responses keep their order", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		c.get("1", "2", "3")
		So(f.nextStarted(3), ShouldResemble, map[string]bool{"1": true, "2": true, "3": true})
		f.release("3", "2")
		time.Sleep(20 * time.Millisecond)
		f.release("1")
		for _, id := range []string{"1", "2", "3"} {
			status, body, closes := c.readResponse()
			So(status, ShouldEqual, 200)
			So(body, ShouldEqual, id+":")
			So(closes, ShouldBeFalse)
		}
		Convey("and the connection serves further requests", func() {
			c.get("4")
			f.release("4")
			_, body, _ := c.readResponse()
			So(body, ShouldEqual, "4:")
		})
	})
	Convey("A request that isn't idempotent starts when all responses ahead are written", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		c.get("1")
		c.send("POST / HTTP/1.1\r\nHost: h\r\nId: 2\r\nContent-Length: 4\r\n\r\npaid")
		c.get("3")
		So(f.nextStarted(2), ShouldResemble, map[string]bool{"1": true, "3": true})
		So(f.noneStarts(), ShouldBeTrue)
		f.release("1", "2", "3")
		So(f.nextStarted(1), ShouldResemble, map[string]bool{"2": true})
		for _, want := range []string{"1:", "2:paid", "3:"} {
			_, body, _ := c.readResponse()
			So(body, ShouldEqual, want)
		}
	})
	Convey("A caller that disconnects cancels all of its requests", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		c.get("1", "2")
		So(len(f.nextStarted(2)), ShouldEqual, 2)
		_ = c.Close()
		cancelled := map[string]bool{<-f.cancelled: true, <-f.cancelled: true}
		So(cancelled, ShouldResemble, map[string]bool{"1": true, "2": true})
	})
	Convey("A caller that disconnects while its last request runs cancels it", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		c.send("GET / HTTP/1.1\r\nHost: h\r\nId: 1\r\nConnection: close\r\n\r\n")
		So(len(f.nextStarted(1)), ShouldEqual, 1)
		_ = c.Close()
		So(<-f.cancelled, ShouldEqual, "1")
	})
	Convey("A request's bytes are held until its response is written, and those of the connection until it ends", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		c.send("POST / HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: 4\r\n\r\npaid")
		So(len(f.nextStarted(1)), ShouldEqual, 1)
		request := int64(requestOverheadBytes + 2*(len("/")+len("Id")+len("1")+48+len("Content-Length")+len("4")+48))
		So(f.server.budget.Used(), ShouldEqual, memory.ConnectionBytes+request+4)
		f.release("1")
		c.readResponse()
		So(f.holds(memory.ConnectionBytes), ShouldBeTrue)
		_ = c.Close()
		So(f.holds(0), ShouldBeTrue)
	})
	Convey("Requests that never start are counted off when the connection breaks", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		for _, id := range []string{"1", "2", "3"} {
			c.send("POST / HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\nContent-Length: 4\r\n\r\npaid")
		}
		So(f.nextStarted(1), ShouldResemble, map[string]bool{"1": true})
		So(eventually(func() bool { return f.server.InFlight() == 3 }), ShouldBeTrue)
		_ = c.Close()
		So(f.holds(0), ShouldBeTrue)
		So(eventually(func() bool { return f.server.InFlight() == 0 }), ShouldBeTrue)
	})
	Convey("A caller that disconnects is noticed though its request has a long body", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		c.send("POST / HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: 2000000\r\n\r\n" + strings.Repeat("x", 2_000_000))
		So(len(f.nextStarted(1)), ShouldEqual, 1)
		_ = c.Close()
		select {
		case id := <-f.cancelled:
			So(id, ShouldEqual, "1")
		case <-time.After(patience):
			So("the request", ShouldEqual, "cancelled")
		}
	})
}

// holds waits until that many bytes are held, and reports whether they are.
func (f *fixture) holds(bytes int64) bool {
	return eventually(func() bool { return f.server.budget.Used() == bytes })
}

func eventually(condition func() bool) bool {
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

func TestEndOfAConnection(t *testing.T) {
	Convey("No request after one with Connection: close is handled", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		c.send("GET / HTTP/1.1\r\nHost: h\r\nId: 1\r\nConnection: close\r\n\r\n")
		c.get("2")
		f.release("1")
		_, body, closes := c.readResponse()
		So(body, ShouldEqual, "1:")
		So(closes, ShouldBeTrue)
		So(c.isClosed(), ShouldBeTrue)
		So(f.nextStarted(1), ShouldResemble, map[string]bool{"1": true})
		So(f.noneStarts(), ShouldBeTrue)
	})
	Convey("A malformed request after valid ones is refused after their responses", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		c.get("1")
		c.send("nonsense\r\n\r\n")
		So(len(f.nextStarted(1)), ShouldEqual, 1)
		f.release("1")
		status, _, _ := c.readResponse()
		So(status, ShouldEqual, 200)
		status, _, closes := c.readResponse()
		So(status, ShouldEqual, 400)
		So(closes, ShouldBeTrue)
		So(c.isClosed(), ShouldBeTrue)
	})
	Convey("A request that is never completed is refused, after the responses ahead", t, func() {
		f := newFixture(t, Limits{HeaderTimeout: 50 * time.Millisecond})
		c := f.dial()
		c.get("1")
		c.send("GET / HTTP/1.1\r\nHost:")
		So(len(f.nextStarted(1)), ShouldEqual, 1)
		time.Sleep(100 * time.Millisecond)
		f.release("1")
		status, _, _ := c.readResponse()
		So(status, ShouldEqual, 200)
		status, _, closes := c.readResponse()
		So(status, ShouldEqual, http.StatusRequestTimeout)
		So(closes, ShouldBeTrue)
	})
	Convey("A connection is closed after the idle timeout, unless it has a request in flight", t, func() {
		f := newFixture(t, Limits{IdleTimeout: 50 * time.Millisecond})
		c := f.dial()
		c.get("1")
		So(len(f.nextStarted(1)), ShouldEqual, 1)
		time.Sleep(200 * time.Millisecond)
		f.release("1")
		status, _, closes := c.readResponse()
		So(status, ShouldEqual, 200)
		So(closes, ShouldBeFalse)
		So(c.isClosed(), ShouldBeTrue)
	})
	Convey("The idle timeout starts with the last response", t, func() {
		f := newFixture(t, Limits{IdleTimeout: 400 * time.Millisecond})
		c := f.dial()
		c.get("1")
		So(len(f.nextStarted(1)), ShouldEqual, 1)
		time.Sleep(300 * time.Millisecond)
		f.release("1")
		status, _, _ := c.readResponse()
		So(status, ShouldEqual, 200)
		answered := time.Now()
		So(c.isClosed(), ShouldBeTrue)
		So(time.Since(answered), ShouldBeGreaterThan, 350*time.Millisecond)
	})
	Convey("A panic fails its own request only", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		c.send("GET /panic HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n")
		c.get("2")
		f.release("2")
		status, _, _ := c.readResponse()
		So(status, ShouldEqual, http.StatusBadGateway)
		status, _, _ = c.readResponse()
		So(status, ShouldEqual, 200)
		So((<-f.unexpected).Error(), ShouldContainSubstring, "unexpected")
	})
}

// panickingDialect panics while a response is written.
type panickingDialect struct{ plainDialect }

func (panickingDialect) RequestIDField() string { panic("unexpected") }

func TestUnexpectedErrorWhileAResponseIsWritten(t *testing.T) {
	Convey("It ends the connection, not the process", t, func() {
		f := newFixture(t, Limits{})
		f.server.dialect = panickingDialect{}
		f.release("1")
		c := f.dial()
		c.get("1")
		So((<-f.unexpected).Error(), ShouldContainSubstring, "unexpected")
		So(c.isClosed(), ShouldBeTrue)
	})
}

func TestKindsOfRequests(t *testing.T) {
	Convey("HTTP/1.0 closes the connection unless the request has Connection: keep-alive", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		f.release("1", "2")
		c.send("GET / HTTP/1.0\r\nConnection: keep-alive\r\nId: 1\r\n\r\n")
		_, body, closes := c.readResponse()
		So(body, ShouldEqual, "1:")
		So(closes, ShouldBeFalse)
		c.send("GET / HTTP/1.0\r\nId: 2\r\n\r\n")
		_, body, closes = c.readResponse()
		So(body, ShouldEqual, "2:")
		So(closes, ShouldBeTrue)
	})
	Convey("A chunked body with trailers leaves nothing on the connection", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		f.release("1", "2")
		c.send("POST / HTTP/1.1\r\nHost: h\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\nT: x\r\n\r\n")
		c.get("2")
		_, body, _ := c.readResponse()
		So(body, ShouldEqual, "1:abcde")
		_, body, _ = c.readResponse()
		So(body, ShouldEqual, "2:")
	})
	Convey("100 Continue is sent after the responses ahead", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		c.get("1")
		c.send("POST / HTTP/1.1\r\nHost: h\r\nId: 2\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
		So(len(f.nextStarted(1)), ShouldEqual, 1)
		f.release("1", "2")
		_, body, _ := c.readResponse()
		So(body, ShouldEqual, "1:")
		status, _, _ := c.readResponse()
		So(status, ShouldEqual, 100)
		c.send("hi")
		_, body, _ = c.readResponse()
		So(body, ShouldEqual, "2:hi")
	})
	Convey("A body or a head beyond the limit is refused, and the connection closes", t, func() {
		for request, want := range map[string]int{
			"POST / HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: 11\r\n\r\n":                                      413,
			"POST / HTTP/1.1\r\nHost: h\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n0\r\n\r\n": 413,
			"GET / HTTP/1.1\r\nHost: h\r\nId: 1\r\nLong: " + strings.Repeat("x", 9000) + "\r\n\r\n":                  431,
		} {
			f := newFixture(t, Limits{BodyBytes: 10, HeaderBytes: 8000})
			c := f.dial()
			c.send(request)
			status, _, closes := c.readResponse()
			So(status, ShouldEqual, want)
			So(closes, ShouldBeTrue)
			So(f.noneStarts(), ShouldBeTrue)
		}
	})
	Convey("A long head within the limit is read", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		f.release("1", "2")
		c.send("GET / HTTP/1.1\r\nHost: h\r\nId: 1\r\nLong: " + strings.Repeat("x", 30000) + "\r\n\r\n")
		c.get("2")
		_, body, _ := c.readResponse()
		So(body, ShouldEqual, "1:")
		_, body, _ = c.readResponse()
		So(body, ShouldEqual, "2:")
	})
	Convey("A response to HEAD has no body", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		f.release("1", "2")
		c.send("HEAD / HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n")
		c.get("2")
		response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodHead})
		So(err, ShouldBeNil)
		So(response.Header.Get("Id"), ShouldEqual, "1")
		So(response.Header.Get("X"), ShouldEqual, "a  b")
		_, body, _ := c.readResponse()
		So(body, ShouldEqual, "2:")
	})
}

func TestPlannedStop(t *testing.T) {
	stop := func(f *fixture) chan error {
		stopped := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			stopped <- f.server.Stop(ctx)
		}()
		return stopped
	}
	Convey("Requests that were read get responses, the last of which closes the connection", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		c.get("1", "2")
		So(len(f.nextStarted(2)), ShouldEqual, 2)
		stopped := stop(f)
		time.Sleep(100 * time.Millisecond)
		f.release("2", "1")
		_, body, closes := c.readResponse()
		So(body, ShouldEqual, "1:")
		So(closes, ShouldBeFalse)
		_, body, closes = c.readResponse()
		So(body, ShouldEqual, "2:")
		So(closes, ShouldBeTrue)
		_ = c.Close()
		So(<-stopped, ShouldBeNil)
	})
	Convey("New connections, and requests that were read in part, are served", t, func() {
		f := newFixture(t, Limits{})
		unused, partial := f.dial(), f.dial()
		partial.send("GET / HTTP/1.1\r\nHost: h\r\n")
		time.Sleep(20 * time.Millisecond)
		stopped := stop(f)
		time.Sleep(100 * time.Millisecond)
		f.release("1", "2")
		unused.get("1")
		partial.send("Id: 2\r\n\r\n")
		for _, c := range []*caller{unused, partial} {
			status, _, closes := c.readResponse()
			So(status, ShouldEqual, 200)
			So(closes, ShouldBeTrue)
			_ = c.Close()
		}
		So(<-stopped, ShouldBeNil)
	})
	Convey("Under load every request on an accepted connection gets a response", t, func() {
		f := newFixture(t, Limits{})
		const callers = 40
		results := make(chan string, callers)
		for i := range callers {
			f.release(fmt.Sprint(i))
			go func() {
				socket, err := net.Dial("tcp", f.address)
				if err != nil {
					results <- "not accepted"
					return
				}
				c := &caller{Conn: socket, reader: bufio.NewReader(socket)}
				defer func() { _ = c.Close() }()
				c.get(fmt.Sprint(i))
				status, body, _ := c.readResponse()
				results <- fmt.Sprint(status, " ", strings.TrimRight(body, ":0123456789"))
			}()
			if i == callers/2 {
				time.Sleep(20 * time.Millisecond)
			}
		}
		So(<-stop(f), ShouldBeNil)
		for range callers {
			So(<-results, ShouldBeIn, "200 ", "not accepted")
		}
	})
	Convey("An idle connection is closed", t, func() {
		f := newFixture(t, Limits{})
		c := f.dial()
		f.release("1")
		c.get("1")
		c.readResponse()
		So(<-stop(f), ShouldBeNil)
		So(c.isClosed(), ShouldBeTrue)
	})
}
