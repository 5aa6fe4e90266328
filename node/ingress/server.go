package ingress

import (
	"bufio"
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/node/memory"
)

const (
	// bufferFullRetryAfter is the retry-after delay stated to callers whose requests are
	// refused because the memory account has no room.
	bufferFullRetryAfter = 500 * time.Millisecond

	minAcceptPause = 5 * time.Millisecond // after a failed accept, doubled each time
	maxAcceptPause = 1 * time.Second
	// backlogDrainTime is how long a stopping server still accepts connections that
	// callers have already made.
	backlogDrainTime = 20 * time.Millisecond
	// maxBacklogDrainTime bounds the wait for that, since accepting may fail for long.
	maxBacklogDrainTime = 500 * time.Millisecond
	stopPollInterval    = 20 * time.Millisecond
	// cutOffTime is how long the responses to requests that were cut off may take.
	cutOffTime = 300 * time.Millisecond
)

// ErrStopped means that the server was stopped. It is the cause with which the contexts of requests
// are cancelled that are cut off: their callers wait for a response.
var ErrStopped = errors.New("server stopped")

// Server serves the connections of callers.
type Server struct {
	dialect Dialect
	handler Handler
	now     func() time.Time
	// OnUnexpected is called with errors that the caller didn't cause: a panic while a
	// connection or a request was served, or a failed accept.
	OnUnexpected func(where string, err error)
	// OnClosed is called when a client's connection is refused or closed to bound what clients
	// hold.
	OnClosed func(c Closed)
	budget   *memory.Budget
	inFlight atomic.Int64 // requests without a response yet
	writers  sync.Pool

	mu struct {
		sync.Mutex
		listener net.Listener
		ended    chan struct{} // closed when Serve has closed the listener
		conns    map[*conn]struct{}
		stopping bool
	}
}

// NewServer returns a server that passes requests to the handler. memoryBytes is the
// memory limit of the process, 0 if there is none.
func NewServer(dialect Dialect, handler Handler, memoryBytes int64, now func() time.Time) *Server {
	s := &Server{dialect: dialect, handler: handler, now: now, budget: memory.NewBudget(memoryBytes, 0, now)}
	s.OnUnexpected = func(string, error) {}
	s.OnClosed = func(Closed) {}
	s.writers.New = func() any { return bufio.NewWriterSize(nil, bufferBytes) }
	s.mu.conns = map[*conn]struct{}{}
	return s
}

// UseBudget replaces the server's own memory account. It is called before Serve.
func (s *Server) UseBudget(b *memory.Budget) { s.budget = b }

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Serve accepts connections from the listener until the server is stopped.
func (s *Server) Serve(listener net.Listener) error {
	ended := make(chan struct{})
	defer close(ended)
	s.mu.Lock()
	s.mu.listener, s.mu.ended = listener, ended
	s.mu.Unlock()
	pause := minAcceptPause
	for {
		socket, err := listener.Accept()
		switch {
		case err == nil:
			pause = minAcceptPause
			s.accept(socket)
		case errors.Is(err, net.ErrClosed):
			return ErrStopped
		case s.isStopping() && errors.Is(err, os.ErrDeadlineExceeded):
			// The backlog is empty. Connections that callers make from here on would be reset
			// when the listener is closed, so it is closed at once.
			_ = listener.Close() // nothing can be done about a failure
			return ErrStopped
		default:
			s.OnUnexpected("accept a connection from a caller", err) // out of file descriptors, for example
			time.Sleep(pause)
			pause = min(2*pause, maxAcceptPause)
		}
	}
}

func (s *Server) accept(socket net.Conn) {
	c := newConn(s, socket)
	if !c.admitted {
		s.OnClosed(Closed{Client: socket.RemoteAddr().String(), Cause: CauseNoRoom})
		_ = socket.Close() // nothing was read from it
		return
	}
	s.mu.Lock()
	s.mu.conns[c] = struct{}{}
	stopping := s.mu.stopping
	s.mu.Unlock()
	if stopping {
		c.stop()
	}
	go c.serve()
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.mu.conns, c)
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.stopping
}

func (s *Server) openConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*conn, 0, len(s.mu.conns))
	for c := range s.mu.conns {
		conns = append(conns, c)
	}
	return conns
}

// Stop accepts the connections that callers have already made and no further ones. It
// waits until each connection has ended with the response to its last request. When the context
// ends, it cuts off the requests that are still in flight and waits until their responses are written,
// which must be soon, and returns the error of the context.
func (s *Server) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.mu.stopping = true
	listener, ended := s.mu.listener, s.mu.ended
	s.mu.Unlock()
	s.closeListener(listener, ended)
	for _, c := range s.openConns() {
		c.stop()
	}
	if s.awaitEnd(ctx) {
		return nil
	}
	for _, c := range s.openConns() {
		c.cancel(ErrStopped)
	}
	writing, cancel := context.WithTimeout(context.Background(), cutOffTime)
	defer cancel()
	s.awaitEnd(writing)
	return ctx.Err()
}

// awaitEnd waits until all connections have ended, and reports whether they have.
func (s *Server) awaitEnd(ctx context.Context) bool {
	for len(s.openConns()) > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(stopPollInterval):
		}
	}
	return true
}

// closeListener makes Serve close the listener after the connections in its backlog are
// accepted, since closing it would reset them, and waits until it has.
func (s *Server) closeListener(listener net.Listener, ended <-chan struct{}) {
	if listener == nil {
		return
	}
	if tcp, ok := listener.(*net.TCPListener); ok {
		if err := tcp.SetDeadline(time.Now().Add(backlogDrainTime)); err == nil {
			select {
			case <-ended:
			case <-time.After(maxBacklogDrainTime):
			}
		}
	}
	_ = listener.Close() // fails if Serve has closed it
}

// Close closes all connections at once and cancels their requests.
func (s *Server) Close() {
	for _, c := range s.openConns() {
		c.abort()
	}
}
