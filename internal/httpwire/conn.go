// Package httpwire checks the responses that a client reads from its connections.
//
// net/http is lenient: it accepts any three digits as a status, field names with blanks, lines that
// end with a bare line feed, and more than one statement of a body's length. Two programs may read
// such bytes as different responses, and a faulty server sends them. A Conn therefore follows the
// framing of the responses (RFC 9112) and returns no byte from the first invalid one on, so that a
// parser behind it never completes an invalid response.
//
// A Conn also tells the end of a body that ends with the connection from a reset. The system reports
// a reset once. If the write of the request meets it, a read finds what looks like an orderly end.
package httpwire

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Conn is a client's connection in HTTP/1.1. One goroutine may read and another one write.
type Conn struct {
	net.Conn
	writing sync.Mutex // held during a write
	failure error      // of the connection, as a write has met it; guarded by writing

	mu struct {
		sync.Mutex
		checker checker
		err     error // of the first invalid byte
	}
}

// NewConn returns a Conn on a connection on which nothing was sent or received.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Begin states the method of the request that is sent next, on which the framing of its response
// depends.
func (c *Conn) Begin(method string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.checker.method = method
}

// IsReusable reports whether all bytes that were received belong to complete responses.
func (c *Conn) IsReusable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mu.err == nil && c.mu.checker.position == betweenResponses
}

// Read reads bytes of responses. The error matches ErrInvalid after the last valid byte. It is
// io.EOF only if the server has closed the connection where a response may end.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.Err(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	n, c.mu.err = c.mu.checker.check(p[:n])
	switch {
	case c.mu.err != nil && n > 0:
		return n, nil // the next read returns the error
	case c.mu.err != nil:
		return 0, c.mu.err
	case errors.Is(err, io.EOF) && c.mu.checker.position == bodyUntilClose:
		return n, c.endBody()
	case errors.Is(err, io.EOF):
		return n, c.mu.checker.end()
	}
	return n, err
}

// Err returns the error of the first invalid byte, nil if there was none. A parser behind the
// connection may report another one.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mu.err
}

// endBody returns io.EOF if the server has ended a body by closing the connection, or the failure
// that a write has met.
func (c *Conn) endBody() error {
	// A write that has met a reset returns it. The deadline ends one that waits.
	_ = c.Conn.SetWriteDeadline(time.Now()) // fails only on a closed socket
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.failure != nil {
		return c.failure
	}
	return io.EOF
}

// Write writes bytes of a request.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	// EPIPE means that the server closed the connection before it reset it.
	if err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.failure = err
	}
	return n, err
}
