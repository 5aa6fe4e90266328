package egress

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// A target in trouble sent a head in which a field name held a blank or a control byte, and the
// caller got it as an answer, with that line passed on or with a body that wasn't the target's.
func TestInvalidResponseIsBroken(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nId: bad\r\n"
	for name, response := range map[string]string{
		"a blank in a field name":               ok + "Cache Control: x\r\nContent-Length: 1\r\n\r\nx",
		"a blank in the name of the length":     ok + "Content Length: 1\r\nConnection: close\r\n\r\nx",
		"a blank behind a field name":           ok + "Transfer-Encoding : chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		"a blank before a field name":           ok + " Content-Length: 1\r\n\r\nx",
		"a control byte in a field name":        ok + "Cache\x01Control: x\r\nContent-Length: 1\r\n\r\nx",
		"a control byte in a field value":       ok + "A: x\x01y\r\nContent-Length: 1\r\n\r\nx",
		"a zero byte in a field value":          ok + "A: x\x00y\r\nContent-Length: 1\r\n\r\nx",
		"a field without a name":                ok + ": x\r\nContent-Length: 1\r\n\r\nx",
		"a field without a colon":               ok + "Content-Length\r\nContent-Length: 1\r\n\r\nx",
		"a field on two lines":                  ok + "A: x\r\n y\r\nContent-Length: 1\r\n\r\nx",
		"a bare line feed":                      ok + "A: x\nContent-Length: 1\r\n\r\nx",
		"a bare line feed that ends the head":   ok + "Content-Length: 1\r\n\nx",
		"a carriage return in a line":           ok + "A: x\ry\r\nContent-Length: 1\r\n\r\nx",
		"chunks in HTTP/1.0":                    "HTTP/1.0 200 OK\r\nId: bad\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		"another version of HTTP":               "HTTP/1.9 200 OK\r\nId: bad\r\nContent-Length: 1\r\n\r\nx",
		"a version without a point":             "HTTP/2 200 OK\r\nId: bad\r\nContent-Length: 1\r\n\r\nx",
		"a status line without a blank":         "HTTP/1.1 200\r\nId: bad\r\nContent-Length: 1\r\n\r\nx",
		"a status of four digits":               "HTTP/1.1 2000 OK\r\nId: bad\r\nContent-Length: 1\r\n\r\nx",
		"a signed status":                       "HTTP/1.1 +20 OK\r\nId: bad\r\nContent-Length: 1\r\n\r\nx",
		"a control byte in the status line":     "HTTP/1.1 200 O\x01K\r\nId: bad\r\nContent-Length: 1\r\n\r\nx",
		"an empty line before the status":       "\r\n" + ok + "Content-Length: 1\r\n\r\nx",
		"two lengths":                           ok + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxy",
		"the same length twice":                 ok + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx",
		"a list of lengths":                     ok + "Content-Length: 1, 1\r\n\r\nx",
		"a signed length":                       ok + "Content-Length: +1\r\n\r\nx",
		"an empty length":                       ok + "Content-Length:\r\n\r\nx",
		"a huge length":                         ok + "Content-Length: 99999999999999999999\r\n\r\nx",
		"a length and chunks":                   ok + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		"an unknown coding":                     ok + "Transfer-Encoding: gzip, chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		"two codings":                           ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		"a chunk size that isn't one":           ok + "Transfer-Encoding: chunked\r\n\r\n1 2\r\nx\r\n0\r\n\r\n",
		"a blank behind a chunk size":           ok + "Transfer-Encoding: chunked\r\n\r\n1 \r\nx\r\n0\r\n\r\n",
		"a control byte in a chunk's extension": ok + "Transfer-Encoding: chunked\r\n\r\n1;a\x01\r\nx\r\n0\r\n\r\n",
		"a bare line feed behind a chunk size":  ok + "Transfer-Encoding: chunked\r\n\r\n1\nx\r\n0\r\n\r\n",
		"a chunk that is longer than its size":  ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nxy\r\n0\r\n\r\n",
		"a blank in the name of a trailer":      ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA B: x\r\n\r\n",
		"a control byte in a trailer":           ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA: x\x01\r\n\r\n",
		"a length in a trailer":                 ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nContent-Length: 2\r\n\r\n",
		"a bare line feed behind the trailers":  ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\n",
		"a blank in an interim response":        "HTTP/1.1 103 Early Hints\r\nA B: x\r\n\r\n" + ok + "Content-Length: 1\r\n\r\nx",
		"an interim response with a body":       "HTTP/1.1 103 Early Hints\r\nContent-Length: 1\r\n\r\nx" + ok + "Content-Length: 1\r\n\r\nx",
		"204 with a body":                       "HTTP/1.1 204 No Content\r\nId: bad\r\nContent-Length: 1\r\n\r\nx",
	} {
		Convey("A response with "+name+" is broken, the error says why, and its connection isn't used again", t, func() {
			target := newFakeTarget(t, func(id string) (string, bool) {
				if id == "bad" {
					return response, strings.Contains(response, "Connection: close")
				}
				return okResponse(id, "y"), false
			})
			sender := newTestSender(target)
			response, err := send(sender, "bad")
			So(errors.Is(err, ErrBroken), ShouldBeTrue)
			So(err.Error(), ShouldContainSubstring, "invalid HTTP response")
			So(response, ShouldBeNil)
			response, err = send(sender, "good")
			So(err, ShouldBeNil)
			So(string(response.Body), ShouldEqual, "y")
			So(target.connections.Load(), ShouldEqual, 2)
		})
	}
}

// Guards against a strict reader that rejects what HTTP/1.1 allows.
func TestUnusualValidResponses(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	for name, response := range map[string]string{
		"no reason phrase":                   "HTTP/1.1 200 \r\nId: 1\r\nContent-Length: 1\r\n\r\ny",
		"a reason phrase beyond ASCII":       "HTTP/1.1 200 Gr\xfc\xdfe\r\nId: 1\r\nContent-Length: 1\r\n\r\ny",
		"an empty field, and tabs":           ok + "A:\r\nB:\tx\ty\t\r\nContent-Length:1  \r\n\r\ny",
		"a field value beyond ASCII":         ok + "A: \xc3\xbc\xfc\x85\r\nContent-Length: 1\r\n\r\ny",
		"all characters of a field name":     ok + "!#$%&'*+-.^_`|~09azAZ: x\r\nContent-Length: 1\r\n\r\ny",
		"lower case names":                   "HTTP/1.1 200 OK\r\nid: 1\r\ncontent-length: 1\r\n\r\ny",
		"chunks with extensions":             ok + "Transfer-Encoding: Chunked\r\n\r\n0001;a=b;c=\"d\"\r\ny\r\n000;e\r\n\r\n",
		"trailers":                           ok + "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n1\r\ny\r\n0\r\nA: x\r\nB: y\r\n\r\n",
		"interim responses":                  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + ok + "Content-Length: 1\r\n\r\ny",
		"a body that ends with HTTP/1.0":     "HTTP/1.0 200 OK\r\nId: 1\r\n\r\ny",
		"a body that ends with HTTP/1.1":     ok + "\r\ny",
		"a length, and the connection ended": ok + "Connection: close\r\nContent-Length: 1\r\n\r\ny",
	} {
		Convey("A response with "+name+" is complete", t, func() {
			target := newFakeTarget(t, func(string) (string, bool) { return response, true })
			response, err := send(newTestSender(target), "1")
			So(err, ShouldBeNil)
			So(string(response.Body), ShouldEqual, "y")
		})
	}
	for _, response := range []string{
		"HTTP/1.1 204 No Content\r\nId: 1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 304 Not Modified\r\nId: 1\r\nContent-Length: 9\r\n\r\n",
	} {
		Convey(fmt.Sprintf("%.12s has no body, and its connection is used again", response), t, func() {
			target := newFakeTarget(t, func(string) (string, bool) { return response, false })
			s := newTestSender(target)
			for range 2 {
				response, err := send(s, "1")
				So(err, ShouldBeNil)
				So(response.Body, ShouldBeEmpty)
			}
			So(target.connections.Load(), ShouldEqual, 1)
		})
	}
}

// The bytes behind a response that belong to no request were in the same segment as its end.
func TestInvalidBytesBehindAResponse(t *testing.T) {
	Convey("The response counts, and its connection isn't used again", t, func() {
		target := newFakeTarget(t, func(id string) (string, bool) { return okResponse(id, "y") + "\x00\x01", false })
		sender := newTestSender(target)
		for range 2 {
			response, err := send(sender, "1")
			So(err, ShouldBeNil)
			So(string(response.Body), ShouldEqual, "y")
		}
		So(target.connections.Load(), ShouldEqual, 2)
	})
}

// unsignedDialect finds no signature in any response.
type unsignedDialect struct{ plainDialect }

func (d unsignedDialect) ReadResponse(status int, h http.Header) ResponseFields {
	fields := d.plainDialect.ReadResponse(status, h)
	fields.Signed = false
	return fields
}

// A success without a signature was corrupted on its way, and its connection was used again.
func TestConnectionOfAnUnsignedSuccessIsClosed(t *testing.T) {
	for status, connections := range map[string]int32{"200": 2, "500": 1} {
		Convey("Two requests with unsigned responses "+status, t, func() {
			target := newFakeTarget(t, func(id string) (string, bool) {
				return strings.Replace(okResponse(id, "y"), "200", status, 1), false
			})
			s := NewSender(NewPool(target.listener.Addr().String(), time.Now), unsignedDialect{}, 0)
			for range 2 {
				_, err := send(s, "1")
				So(err, ShouldBeNil)
			}
			So(target.connections.Load(), ShouldEqual, connections)
		})
	}
}
