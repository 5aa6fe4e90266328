package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
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
	return newFixtureWith(t, limits, func(*fixture) {})
}

// newFixtureWith is like newFixture; configure changes the server before it accepts connections.
func newFixtureWith(t *testing.T, limits Limits, configure func(f *fixture)) *fixture {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{gatedHandler: newGatedHandler(), address: listener.Addr().String(), unexpected: make(chan error, 10)}
	f.gatedHandler.limits = limits
	f.server = NewServer(plainDialect{}, f.gatedHandler, 0, time.Now)
	f.server.OnUnexpected = func(_ string, err error) { f.unexpected <- err }
	configure(f)
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
