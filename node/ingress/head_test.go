package ingress

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/gypsumford/gypsumford/node/memory"

	. "github.com/smartystreets/goconvey/convey"
)

func parseHead(text string) (*http.Request, error) {
	request, _, err := readHead(bufio.NewReader(strings.NewReader(text)), defaultHeaderBytes)
	return request, err
}

func TestAmbiguousHeadsAreRefused(t *testing.T) {
	for name, head := range map[string]string{
		"length and coding":          "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n",
		"two lengths":                "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 4\r\n",
		"two codings":                "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\ntransfer-encoding: chunked\r\n",
		"an unknown coding":          "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n",
		"a coding in HTTP/1.0":       "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n",
		"a length with a sign":       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +4\r\n",
		"a name with a space":        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 4\r\n",
		"a field over several lines": "GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n",
		"a bare line feed":           "GET / HTTP/1.1\r\nHost: h\r\nA: b\nContent-Length: 4\r\n",
		"a bare carriage return":     "GET / HTTP/1.1\r\nHost: h\r\nA: b\rContent-Length: 4\r\n",
		"a zero byte":                "GET / HTTP/1.1\r\nHost: h\r\nA: b\x00\r\n",
		"two hosts":                  "GET / HTTP/1.1\r\nHost: h\r\nhost: i\r\n",
		"no host":                    "GET / HTTP/1.1\r\nA: b\r\n",
		"a space in the path":        "GET /a b HTTP/1.1\r\nHost: h\r\n",
	} {
		Convey(name+" is refused", t, func() {
			_, err := parseHead(head + "\r\n")
			So(err, ShouldNotBeNil)
		})
	}
	Convey("A bare line feed is refused before the head ends", t, func() {
		_, err := parseHead("GET / HTTP/1.1\n")
		So(err, ShouldEqual, errInvalidByte)
	})
	Convey("A plain head is read", t, func() {
		request, err := parseHead("GET /a?b HTTP/1.1\r\nHost: h\r\nA: b\tc\r\n\r\n")
		So(err, ShouldBeNil)
		So(request.RequestURI, ShouldEqual, "/a?b")
	})
}

// FuzzHead looks for a request that a target would read differently, or as two requests,
// after the node has forwarded it.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"GET http://a/b HTTP/1.1\r\nHost: h\r\nConnection: X-A\r\nX-A: 1\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		request, reader, err := readHead(bufio.NewReader(bytes.NewReader(input)), defaultHeaderBytes)
		if err != nil {
			return
		}
		first, rest, _, err := memory.ReadBody(request.Body, request.ContentLength, 1<<16, func(int64) bool { return true })
		if err != nil {
			return
		}
		_ = reader
		body := memory.Join(first, rest)
		var out bytes.Buffer
		out.WriteString(request.Method + " " + requestURI(request) + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
		header := EndToEndFields(request.Header, func(string) bool { return false })
		for i := 0; i+1 < len(header); i += 2 {
			out.WriteString(header[i] + ": " + header[i+1] + "\r\n")
		}
		out.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
		out.Write(body)
		targetReader := bufio.NewReader(&out)
		targetRequest, err := http.ReadRequest(targetReader)
		if err != nil {
			return // the target refuses it
		}
		got, err := io.ReadAll(targetRequest.Body)
		if err != nil || !bytes.Equal(got, body) {
			t.Fatalf("body %q is read as %q (%v)", body, got, err)
		}
		if targetRequest.Method != request.Method || targetRequest.RequestURI != requestURI(request) {
			t.Fatalf("%s %s is read as %s %s", request.Method, requestURI(request), targetRequest.Method, targetRequest.RequestURI)
		}
		if rest, _ := io.ReadAll(targetReader); len(rest) > 0 {
			t.Fatalf("bytes after the request: %q", rest)
		}
	})
}
