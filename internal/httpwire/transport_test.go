package httpwire

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/internal/httpwire/wiretest"
)

// startServer starts a server that answers each request with the bytes that respond returns, and
// then ends the connection with end, unless that is nil.
func startServer(t *testing.T, respond func(*http.Request) string, end func(*net.TCPConn)) (url string) {
	return "http://" + wiretest.Start(t, wiretest.AnyAddress, func(socket *net.TCPConn, r *http.Request) bool {
		isOpen := wiretest.Write(socket, respond(r))
		if end != nil {
			end(socket)
		}
		return isOpen && end == nil
	})
}

func roundTrip(transport *Transport, method, url string, body []byte) (string, error) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return string(content), err
}

// Clients on net/http took invalid responses, and parts of responses, for complete ones.
func TestTransport(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, response := range []string{
		ok + "Cache Control: x\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		"HTTP/1.1 000 OK\r\nContent-Length: 1\r\n\r\nx",
		ok + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 103 Hints\r\nA B: x\r\n\r\n" + ok + "Content-Length: 1\r\n\r\nx",
	} {
		Convey("An invalid response is an error", t, func() {
			url := startServer(t, func(*http.Request) string { return response }, nil)
			_, err := roundTrip(NewTransport(&http.Transport{}), "GET", url, nil)
			So(errors.Is(err, ErrInvalid), ShouldBeTrue)
		})
	}
	Convey("A body that a reset ends during the upload is an error", t, func() {
		url := startServer(t, func(*http.Request) string { return ok + "\r\npart" }, func(socket *net.TCPConn) { _ = socket.SetLinger(0) })
		for range 50 {
			_, err := roundTrip(NewTransport(&http.Transport{}), "POST", url, make([]byte, 32<<20))
			So(err, ShouldNotBeNil)
		}
	})
	Convey("The method decides whether a body follows, also on a connection that is used again", t, func() {
		url := startServer(t, func(r *http.Request) string {
			if r.Method == http.MethodHead {
				return ok + "Content-Length: 9\r\n\r\n"
			}
			return ok + "Content-Length: 1\r\n\r\ny"
		}, nil)
		transport := NewTransport(&http.Transport{MaxConnsPerHost: 1})
		for range 3 {
			body, err := roundTrip(transport, "HEAD", url, nil)
			So(err, ShouldBeNil)
			So(body, ShouldBeEmpty)
			body, err = roundTrip(transport, "GET", url, nil)
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "y")
		}
	})
	Convey("A body that exceeds the limit fails, and one that has that size doesn't", t, func() {
		url := startServer(t, func(*http.Request) string { return ok + "\r\n" + strings.Repeat("x", 1000) }, func(socket *net.TCPConn) { _ = socket.CloseWrite() })
		for limit, want := range map[int64]error{999: ErrTooLong, 1000: nil, 1001: nil} {
			transport := NewTransport(&http.Transport{})
			transport.MaxBodyBytes = limit
			body, err := roundTrip(transport, "GET", url, nil)
			So(errors.Is(err, ErrTooLong), ShouldEqual, want != nil)
			So(len(body), ShouldEqual, min(limit, 1000))
		}
	})
}
