package agent

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/agent/exchange"
	"github.com/gypsumford/gypsumford/call"
)

// brokenOff is a body that breaks off after its text.
type brokenOff struct{ io.Reader }

func (b brokenOff) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		err = errors.New("connection broken")
	}
	return n, err
}

func (brokenOff) Close() error { return nil }

// The response of a target broke off, and its part looked whole to callers that speak HTTP/1.0, where
// the end of the connection ends the body.
func TestBrokenOffResponseInHTTP10(t *testing.T) {
	Convey("The connection is reset", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		server := newServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			exchange.Write(w, "r1", &exchange.Reply{
				Outcome: call.Completed, Status: http.StatusOK, Length: -1, Body: brokenOff{strings.NewReader("half")},
			})
		}))
		go func() { _ = server.Serve(listener) }()
		defer func() { _ = server.Close() }()
		caller, err := net.Dial("tcp", listener.Addr().String())
		So(err, ShouldBeNil)
		defer func() { _ = caller.Close() }()
		_, err = io.WriteString(caller, "GET / HTTP/1.0\r\n\r\n")
		So(err, ShouldBeNil)
		_, err = io.ReadAll(caller)
		So(err, ShouldNotBeNil)
	})
}
