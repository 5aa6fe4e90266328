package egress

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
)

func refusalResponse(id string) string {
	field := ""
	if id != "" {
		field = "Id: " + id + "\r\n"
	}
	return "HTTP/1.1 503 No\r\n" + field + "Refused: 1\r\nContent-Length: 0\r\n\r\n"
}

// A faulty target wrote an earlier refusal once more on a kept connection, and a request that it
// was running was taken for refused.
func TestEarlierRefusalIsNotTakenForTheResponse(t *testing.T) {
	Convey("without a request ID, on a connection that has served another request", t, func() {
		s := newTestSender(newFakeTarget(t, func(id string) (string, bool) {
			if id == "1" {
				return okResponse(id, "x"), false
			}
			return refusalResponse(""), false // of an earlier request; this one runs
		}))
		_, err := send(s, "1")
		So(err, ShouldBeNil)
		_, err = send(s, "2")
		So(errors.Is(err, ErrNotRun), ShouldBeFalse)
		So(errors.Is(err, ErrBroken), ShouldBeTrue)
	})
	Convey("with the ID of the same request, which is sent to the target again", t, func() {
		var sends atomic.Int32
		target := newFakeTarget(t, nil)
		target.respond = func(id string) (string, bool) {
			if sends.Add(1) == 1 {
				return refusalResponse(id), false
			}
			if target.connections.Load() == 1 { // it repeats what it wrote on this connection
				return refusalResponse(id) + okResponse(id, "ran"), false
			}
			return okResponse(id, "ran"), false
		}
		s := newTestSender(target)
		_, err := send(s, "1")
		So(errors.Is(err, ErrNotRun), ShouldBeTrue)
		response, err := send(s, "1")
		So(err, ShouldBeNil)
		So(string(response.Body), ShouldEqual, "ran")
	})
	Convey("The connection is still used for other requests, until it has refused many", t, func() {
		target := newFakeTarget(t, func(id string) (string, bool) { return refusalResponse(id), false })
		s := newTestSender(target)
		for i := range maxRefusedIDs {
			_, err := send(s, fmt.Sprint(i))
			So(errors.Is(err, ErrNotRun), ShouldBeTrue)
		}
		So(target.connections.Load(), ShouldEqual, 1)
		_, _ = send(s, "another")
		So(target.connections.Load(), ShouldEqual, 2)
	})
}

// A target stopped in the middle of its response and closed the connection. Each prefix of a
// response must be an error, never a shorter response that looks whole.
func TestBrokenOffResponseIsNeverWhole(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		// endsWithConnection tells that the body has no length, so that it is whole
		// wherever the target closes the connection in order.
		endsWithConnection bool
	}{
		"length":    {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody", false},
		"chunks":    {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false},
		"empty":     {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n", false},
		"interim":   {"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody", false},
		"refusal":   {"HTTP/1.1 503 No\r\nId: 1\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n", false},
		"no length": {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nbody", true},
		"bare LF":   {"HTTP/1.1 200 OK\nId: 1\nContent-Length: 4\n\nbody", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			whole := len(c.response)
			if c.endsWithConnection {
				whole = strings.Index(c.response, "\r\n\r\n") + 4
			}
			for length := range whole {
				s := newTestSender(newFakeTarget(t, func(string) (string, bool) { return c.response[:length], true }))
				response, err := send(s, "1")
				if !errors.Is(err, ErrBroken) {
					t.Errorf("the first %d bytes %q gave %+v, %v", length, c.response[:length], response, err)
				}
			}
		})
	}
}
