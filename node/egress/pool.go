package egress

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/internal/httpwire"
)

const (
	dialTimeout = 500 * time.Millisecond // short, because the target is on the same machine
	// maxIdleTime bounds how long an unused connection is kept; it applies in full if the
	// target states no timeout. A target may close the connection earlier without notice.
	maxIdleTime = 8 * time.Second
	// idleMargin is subtracted from the idle timeout that a target states.
	idleMargin  = 1 * time.Second
	bufferBytes = 8 << 10
	// maxEndTime is how long an ending process may take to close its connections after its
	// listener.
	maxEndTime      = 100 * time.Millisecond
	endPollInterval = 5 * time.Millisecond
	// maxRefusedIDs is the number of requests that the target may refuse on a connection until it
	// is closed. It bounds the IDs that are stored.
	maxRefusedIDs = 64
)

// Pool opens connections to one address and keeps idle ones for reuse.
type Pool struct {
	address string
	now     func() time.Time

	mu struct {
		sync.Mutex
		idle []*conn // in the order of their last use, the most recent one last
	}
}

// conn is one connection with its buffers.
type conn struct {
	socket  net.Conn
	wire    *httpwire.Conn // of the socket
	bounded *boundedReader // reads from wire
	reader  *bufio.Reader  // reads from bounded
	writer  *bufio.Writer  // writes to wire
	expiry  time.Time      // not reused from then on
	reused  bool           // it has served another request before
	// refused are the IDs of the requests that the target has refused on the connection.
	refused []string
}

// NewPool returns a pool without connections.
func NewPool(address string, now func() time.Time) *Pool { return &Pool{address: address, now: now} }

// get returns an idle connection that is still open, or a new one. A request that was refused
// doesn't get the same connection again: the target may repeat the refusal there, and it can't be
// told from the response.
func (p *Pool) get(ctx context.Context, id string) (*conn, error) {
	for {
		c := p.popIdle(id)
		if c == nil {
			return p.dial(ctx)
		}
		if p.now().Before(c.expiry) && isReusable(c.socket) {
			return c, nil
		}
		c.close()
	}
}

// HasEnded reports whether the target's process has ended: it refuses connections, and has
// closed all those that it had accepted. A target that only resets connections beyond its limit
// keeps the others open.
func (p *Pool) HasEnded(ctx context.Context) bool {
	c, err := p.dial(ctx)
	if err == nil {
		c.close()
		return false
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	// An ending process doesn't close all its connections at the same moment.
	for waited := time.Duration(0); p.HasOpenIdle(); waited += endPollInterval {
		if waited >= maxEndTime || ctx.Err() != nil {
			return false
		}
		time.Sleep(endPollInterval)
	}
	return true
}

// HasOpenIdle reports whether the target holds an idle connection open, which shows that its process
// runs.
func (p *Pool) HasOpenIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.mu.idle, func(c *conn) bool { return isReusable(c.socket) })
}

// popIdle returns the connection that was used last among those on which the target hasn't
// refused the request, or nil.
func (p *Pool) popIdle(id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.mu.idle) - 1; i >= 0; i-- {
		if c := p.mu.idle[i]; !slices.Contains(c.refused, id) {
			p.mu.idle = slices.Delete(p.mu.idle, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	socket, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to the target")
	}
	wire := httpwire.NewConn(socket)
	bounded := &boundedReader{source: wire}
	return &conn{
		socket:  socket,
		wire:    wire,
		bounded: bounded,
		reader:  bufio.NewReaderSize(bounded, bufferBytes),
		writer:  bufio.NewWriterSize(wire, bufferBytes),
	}, nil
}

// put returns a connection to the pool. idleTimeout is how long it may stay unused.
func (p *Pool) put(c *conn, idleTimeout time.Duration) {
	c.expiry, c.reused = p.now().Add(idleTimeout), true
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mu.idle = append(p.mu.idle, c)
}

// CloseExpired closes the connections that have been idle for too long.
func (p *Pool) CloseExpired() {
	now := p.now()
	var expired []*conn
	p.mu.Lock()
	kept := p.mu.idle[:0]
	for _, c := range p.mu.idle {
		if now.Before(c.expiry) {
			kept = append(kept, c)
		} else {
			expired = append(expired, c)
		}
	}
	p.mu.idle = kept
	p.mu.Unlock()
	for _, c := range expired {
		c.close()
	}
}

// CloseIdle closes all idle connections, for example when another target has taken the
// address.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.mu.idle
	p.mu.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// recordRefusal records that the target has refused a request on the connection. It reports
// whether the connection may still be used.
func (c *conn) recordRefusal(id string) bool {
	c.refused = append(c.refused, id)
	return len(c.refused) < maxRefusedIDs
}

// reset resets the TCP connection, so that a target that hasn't read the request yet finds an
// error instead of the request.
func (c *conn) reset() {
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // if this fails, a plain close has to do
	}
	c.close()
}

func (c *conn) close() { _ = c.socket.Close() } // an error doesn't matter: the response, if any, has been read

// isReusable reports whether the connection is open and has no unread bytes: bytes that arrive
// on an idle connection belong to no request.
func isReusable(socket net.Conn) bool {
	tcp, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && reusable
}
