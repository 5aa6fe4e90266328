// Package wiretest has a server for tests that answers requests with any bytes.
package wiretest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// AnyAddress lets the system choose the port of a server.
const AnyAddress = "127.0.0.1:0"

// Start starts a server at the address until the test ends, and returns its address. respond is
// called for each request, before its body is read, and writes to the connection. It returns false to
// close the connection.
func Start(t testing.TB, address string, respond func(socket *net.TCPConn, r *http.Request) (keep bool)) string {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(socket.(*net.TCPConn), respond)
		}
	}()
	return listener.Addr().String()
}

func serve(socket *net.TCPConn, respond func(*net.TCPConn, *http.Request) bool) {
	defer func() { _ = socket.Close() }()
	reader := bufio.NewReader(socket)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil || !respond(socket, request) {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
	}
}

// Write writes bytes and returns whether the connection is still open.
func Write(socket io.Writer, text string) bool {
	_, err := io.WriteString(socket, text)
	return err == nil
}

// StartEndless starts a server that reads one request of each connection and answers it with the
// prefix, and then with the repeated text without end, if there is any. sent counts the bytes of the
// latter.
func StartEndless(t testing.TB, prefix, repeated string) (address string, sent *atomic.Int64) {
	sent = &atomic.Int64{}
	address = Start(t, AnyAddress, func(socket *net.TCPConn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, err := io.WriteString(socket, prefix)
		for err == nil && repeated != "" {
			var n int
			n, err = io.WriteString(socket, repeated)
			sent.Add(int64(n))
		}
		return false
	})
	return address, sent
}
