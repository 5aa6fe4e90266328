package ingress

import (
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// stopOnReadConn is a connection that is stopped at the moment at which a request has been
// read from it.
type stopOnReadConn struct {
	net.Conn
	stop    func()
	request string
	mu      struct {
		sync.Mutex
		closed  bool
		expired bool
		written strings.Builder
	}
	writeClosed chan struct{}
}

func (c *stopOnReadConn) Read(p []byte) (int, error) {
	if c.request != "" {
		n := copy(p, c.request)
		c.request = ""
		c.stop()
		return n, nil
	}
	select {
	case <-c.writeClosed:
	case <-time.After(patience):
	}
	return 0, io.EOF
}

func (c *stopOnReadConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mu.closed {
		return 0, net.ErrClosed
	}
	return c.mu.written.Write(p)
}

func (c *stopOnReadConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.closed = true
	return nil
}

func (c *stopOnReadConn) CloseWrite() error                { close(c.writeClosed); return nil }
func (c *stopOnReadConn) SetReadDeadline(time.Time) error  { return nil }
func (c *stopOnReadConn) SetWriteDeadline(time.Time) error { return nil }

// Guards against a lost response: a stopping node closes its idle connections, and a
// request that had just been read from one of them ran, but its response could not be sent
// (users' bench: kerhoant-mesh, scale-1).
func TestStopWhileARequestIsRead(t *testing.T) {
	Convey("A request that was read at the moment of the stop gets its response", t, func() {
		handler := newGatedHandler()
		handler.release("1")
		server := NewServer(plainDialect{}, handler, 0, time.Now)
		socket := &stopOnReadConn{request: "GET / HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n", writeClosed: make(chan struct{})}
		c := newConn(server, socket)
		c.mu.unused = false // it was used before
		socket.stop = c.stop
		c.serve()
		So(socket.mu.written.String(), ShouldStartWith, "HTTP/1.1 200 OK")
		So(socket.mu.written.String(), ShouldContainSubstring, "Connection: close")
	})
}

// expiringConn is a connection whose read deadline has passed when it is read again.
type expiringConn struct{ stopOnReadConn }

func (c *expiringConn) Read(p []byte) (int, error) {
	if c.request != "" {
		n := copy(p, c.request)
		c.request = ""
		return n, nil
	}
	return 0, os.ErrDeadlineExceeded
}

func TestIdleTimeOfAStoppedConnection(t *testing.T) {
	Convey("A request in flight gets its response though no other arrives within the idle timeout", t, func() {
		handler := newGatedHandler()
		server := NewServer(plainDialect{}, handler, 0, time.Now)
		socket := &expiringConn{stopOnReadConn{request: "GET / HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n", writeClosed: make(chan struct{})}}
		c := newConn(server, socket)
		served := make(chan struct{})
		go func() {
			c.serve()
			close(served)
		}()
		So(len(handler.nextStarted(1)), ShouldEqual, 1)
		c.stop()
		time.Sleep(20 * time.Millisecond)
		handler.release("1")
		select {
		case <-served:
		case <-time.After(patience):
		}
		So(socket.mu.written.String(), ShouldStartWith, "HTTP/1.1 200 OK")
	})
}
