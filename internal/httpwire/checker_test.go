package httpwire

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/gypsumford/gypsumford/internal/httpstatus"
)

// feed passes the text to the checker in pieces of at most size bytes, and returns the bytes that
// it released.
func feed(k *checker, text string, size int) (released string, err error) {
	for rest := text; rest != ""; {
		n := min(size, len(rest))
		valid, err := k.check([]byte(rest[:n]))
		released += rest[:valid]
		if err != nil {
			return released, err
		}
		rest = rest[n:]
	}
	return released, nil
}

var samples = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\na\r\n0123456789\r\n0\r\nA: b\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 204 No Content\r\n\r\n",
	"HTTP/1.0 200 OK\r\n\r\nuntil the end",
}

func TestChecker(t *testing.T) {
	Convey("It doesn't matter in which pieces the bytes arrive, spoiled or not", t, func() {
		rapid.Check(t, func(r *rapid.T) {
			text := ""
			for range rapid.IntRange(1, 3).Draw(r, "responses") {
				text += rapid.SampledFrom(samples).Draw(r, "response")
			}
			if rapid.Bool().Draw(r, "spoiled") {
				at := rapid.IntRange(0, len(text)-1).Draw(r, "at")
				text = text[:at] + string([]byte{rapid.Byte().Draw(r, "byte")}) + text[at+1:]
			}
			whole, pieces := &checker{}, &checker{}
			_, wholeErr := feed(whole, text, len(text))
			_, piecesErr := feed(pieces, text, rapid.IntRange(1, 9).Draw(r, "size"))
			if (wholeErr == nil) != (piecesErr == nil) || whole.position != pieces.position {
				r.Fatalf("%q: %v at %d in one piece, %v at %d in pieces", text, wholeErr, whole.position, piecesErr, pieces.position)
			}
		})
	})
	Convey("net/http frames the responses of valid bytes in the same way", t, func() {
		rapid.Check(t, func(r *rapid.T) {
			text := rapid.SampledFrom(samples).Draw(r, "response")
			at := rapid.IntRange(0, len(text)-1).Draw(r, "at")
			text = text[:at] + string([]byte{rapid.Byte().Draw(r, "byte")}) + text[at+1:]
			k := &checker{}
			if _, err := feed(k, text, len(text)); err != nil || k.position == bodyUntilClose {
				return
			}
			reader := bufio.NewReader(strings.NewReader(text))
			isWhole, err := false, error(nil)
			for more := true; more; more = err == nil && reader.Buffered() > 0 {
				var response *http.Response
				if response, err = http.ReadResponse(reader, nil); err == nil {
					_, err = io.ReadAll(response.Body)
				}
				isWhole = err == nil && httpstatus.IsFinal(response.StatusCode)
			}
			if isWhole != (k.position == betweenResponses) {
				r.Fatalf("%q: net/http returned %v, the checker is at %d", text, err, k.position)
			}
		})
	})
	Convey("Only a whole response, or a body that the connection ends, may be followed by its end", t, func() {
		for _, text := range samples {
			for n := range len(text) + 1 {
				k := &checker{}
				_, err := feed(k, text[:n], 4)
				So(err, ShouldBeNil)
				if n == 0 || n == len(text) && k.position != bodyUntilClose {
					So(k.end(), ShouldEqual, io.EOF)
				} else if k.position != bodyUntilClose {
					So(k.end(), ShouldEqual, io.ErrUnexpectedEOF)
				}
			}
		}
	})
	Convey("No line is released whole before it was checked", t, func() {
		for _, text := range []string{
			"HTTP/1.1 200 OK\r\nA B: c\r\n\r\n",
			"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n",
			"HTTP/1.1 000 OK\r\n\r\n",
			"HTTP/1.1 200 OK\r\nA: b\n\n",
		} {
			for _, size := range []int{1, 2, 7, len(text)} {
				released, err := feed(&checker{}, text, size)
				So(errors.Is(err, ErrInvalid), ShouldBeTrue)
				So(released, ShouldNotEndWith, "\r\n\r\n")
				So(released, ShouldNotEndWith, "\n\n")
			}
		}
	})
	Convey("Heads, trailers and sizes of chunks that don't end exceed the limit", t, func() {
		const chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		for _, c := range [][2]string{
			{"", "x"}, {"HTTP/1.1 200 ", "x"}, {"HTTP/1.1 200 OK\r\n", "A: x\r\n"}, {"", "HTTP/1.1 102 Processing\r\n\r\n"},
			{chunks, "0"}, {chunks + "1;", "x"}, {chunks + "0\r\n", "A: x\r\n"},
		} {
			k := &checker{}
			_, err := feed(k, c[0]+strings.Repeat(c[1], 2*maxSectionBytes/len(c[1])), 4096)
			So(errors.Is(err, ErrInvalid), ShouldBeTrue)
			So(cap(k.line), ShouldBeLessThan, 4*maxSectionBytes)
		}
	})
	Convey("A response to HEAD has no body", t, func() {
		k := &checker{method: "HEAD"}
		_, err := feed(k, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", 100)
		So(err, ShouldBeNil)
		So(k.end(), ShouldEqual, io.EOF)
	})
}
