package ingress

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// endlessHandler responds to a request only when its context ends.
type endlessHandler struct{ started chan struct{} }

func (h endlessHandler) Handle(ctx context.Context, _ *Request) *Response {
	h.started <- struct{}{}
	<-ctx.Done()
	if errors.Is(context.Cause(ctx), ErrStopped) {
		return &Response{Status: http.StatusGatewayTimeout, FromNode: true}
	}
	return nil
}
func (endlessHandler) IsIdempotent(*Request) bool { return true }
func (endlessHandler) Limits() Limits             { return Limits{} }

// Requests in flight at the end of the grace were cut without an answer.
func TestRequestsThatAreCutOffGetAResponse(t *testing.T) {
	Convey("It arrives before the connection is closed", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		handler := endlessHandler{make(chan struct{}, 2)}
		server := NewServer(plainDialect{}, handler, 0, time.Now)
		go func() { _ = server.Serve(listener) }()
		socket, err := net.Dial("tcp", listener.Addr().String())
		So(err, ShouldBeNil)
		c := &caller{Conn: socket, reader: bufio.NewReader(socket)}
		c.get("1", "2")
		<-handler.started
		<-handler.started
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		So(server.Stop(ctx), ShouldEqual, context.DeadlineExceeded)
		server.Close()
		for range 2 {
			status, _, _ := c.readResponse()
			So(status, ShouldEqual, http.StatusGatewayTimeout)
		}
	})
}
