package egress

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/internal/httpwire/wiretest"
	"github.com/gypsumford/gypsumford/node/memory"
)

// startEarlyTarget starts a target that answers a long upload before it has read it, with a body
// that ends with the connection, and then ends the connection with end.
func startEarlyTarget(t *testing.T, body string, end func(*net.TCPConn)) (address string) {
	return wiretest.Start(t, wiretest.AnyAddress, func(socket *net.TCPConn, _ *http.Request) bool {
		wiretest.Write(socket, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"+body)
		time.Sleep(5 * time.Millisecond) // the response arrives while the upload waits to be read
		end(socket)
		return false
	})
}

func sendUpload(address string) (*Response, error) {
	s := NewSender(NewPool(address, time.Now), plainDialect{}, 0)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return s.Send(ctx, &Request{ID: "1", Method: http.MethodPost, URI: "/", Host: "h", Body: make([]byte, 32<<20)})
}

// A target answered a long upload at once with a 200 without a length, sent a part of its body and
// reset the connection while the upload was being written. The write met the reset first, reading
// found what looked like an orderly end, and the part was taken for the whole body.
func TestResetDuringAnUpload(t *testing.T) {
	Convey("A body that a reset ends is a part", t, func() {
		address := startEarlyTarget(t, strings.Repeat("x", 1000), func(socket *net.TCPConn) {
			_ = socket.SetLinger(0)
		})
		for range 100 {
			response, err := sendUpload(address)
			So(errors.Is(err, ErrBroken), ShouldBeTrue)
			So(response, ShouldBeNil)
		}
	})
	Convey("A body that the end of the connection ends is whole though the upload isn't read", t, func() {
		const size = 200_000
		address := startEarlyTarget(t, strings.Repeat("x", size), func(socket *net.TCPConn) {
			_ = socket.CloseWrite()
			time.Sleep(50 * time.Millisecond)
		})
		for range 10 {
			response, err := sendUpload(address)
			So(err, ShouldBeNil)
			So(memory.Size(response.Body, response.Rest), ShouldEqual, size)
		}
	})
	Convey("A body whose connection is closed while the upload arrives is whole or broken, never a part", t, func() {
		const size = 20_000
		address := startEarlyTarget(t, strings.Repeat("x", size), func(socket *net.TCPConn) { _ = socket.CloseWrite() })
		for range 100 {
			response, err := sendUpload(address)
			if err == nil {
				So(memory.Size(response.Body, response.Rest), ShouldEqual, size)
			}
		}
	})
}
