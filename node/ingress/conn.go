package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/node/memory"
	"github.com/gypsumford/gypsumford/pipeline"
)

const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 5 * time.Second
	// defaultIdleTimeout is well above any limit that operators set.
	defaultIdleTimeout = 5 * time.Minute
	// defaultBodyTimeout bounds the time to read a body whose request states no deadline.
	defaultBodyTimeout = 30 * time.Second
	// firstRequestTimeout is how long, once the server is stopping, it waits for the first
	// request of a connection.
	firstRequestTimeout = 1 * time.Second
	// lingerTimeout is how long the connection is still read after the last response:
	// closing it with unread bytes would reset it, and the response might be lost.
	lingerTimeout = 500 * time.Millisecond
	// maxLingerBytes bounds the bytes that are read after the last response.
	maxLingerBytes = 1 << 20
)

// errNotWritten means that writing a response panicked.
var errNotWritten = errors.New("response not written")

const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// conn is a connection of a caller.
type conn struct {
	server   *Server
	socket   net.Conn
	reader   *bufio.Reader // used by the goroutine in serve only
	ctx      context.Context
	cancel   context.CancelCauseFunc
	account  *memory.Client // what the connection holds
	admitted bool           // there was room for the connection
	// headBytes is the size of the read buffer beyond its initial size; used by the goroutine in
	// serve only.
	headBytes int
	// sendBufferBounded is set once the send buffer is bounded; used while writing is set only.
	sendBufferBounded bool

	mu struct {
		sync.Mutex
		changed   *sync.Cond // a response was written, or the queue closed or abandoned
		queue     pipeline.Queue[*exchange]
		unused    bool      // no request has been read yet
		reading   bool      // a request has arrived in part
		paused    bool      // reading it waits for the responses ahead
		writing   bool      // a goroutine is writing responses
		pipelined bool      // the caller has sent a request before the response to the previous one
		stopping  bool      // the server is stopping
		aborted   bool      // the connection is closed, and its requests are cancelled
		waiting   bool      // the account was told that the connection waits for others than the caller
		idleSince time.Time // when the last response was sent, or the last request was read
	}
}

// exchange is one request and its response.
type exchange struct {
	request  *Request
	outgoing outgoing
}

// newConn returns a connection, which must not be served unless it is admitted.
func newConn(s *Server, socket net.Conn) *conn {
	c := &conn{server: s, socket: socket, reader: bufio.NewReaderSize(socket, bufferBytes)}
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	c.mu.changed = sync.NewCond(&c.mu)
	c.mu.unused = true
	c.account = s.budget.NewClient(c.evict)
	c.admitted = c.account.Open() // which may call evict already
	return c
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer c.server.remove(c)
	defer c.releaseConnection()
	defer c.abort()
	defer c.recoverPanic("connection with a caller")
	for c.awaitRequest() {
		if !c.readRequest() {
			break
		}
	}
	c.linger()
}

// recoverPanic is deferred: it reports a panic, which would otherwise end the process.
func (c *conn) recoverPanic(where string) {
	if v := recover(); v != nil {
		c.server.OnUnexpected(where, errors.Newf("panic: %v\n%s", v, debug.Stack()))
	}
}

// awaitRequest waits for the first byte of a request, and then until the queue has room. It returns
// false if no further request is to be read. It reads ahead while the queue has no room, so that
// it notices a caller that disconnects.
func (c *conn) awaitRequest() bool {
	for {
		idle := c.startIdle()
		if idle == 0 {
			return false
		}
		_, err := c.reader.Peek(1)
		c.mu.Lock()
		c.mu.reading = err == nil
		c.updateWaiting()
		busy, stopping, idleSince := c.mu.queue.Len() > 0, c.mu.stopping, c.mu.idleSince
		if err == nil && !busy {
			c.account.Restart()
		}
		c.mu.Unlock()
		switch {
		case err == nil:
			return c.awaitRoom()
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.abort()
			return false
		case !busy && (stopping || time.Since(idleSince) >= idle):
			c.abort()
			return false
		case stopping:
			return false
		}
		// The deadline passed, but the connection isn't idle while requests are in flight, nor for
		// the idle timeout after the last response.
	}
}

// startIdle sets the deadline of the idle timeout, which begins with the last response, and returns
// the timeout, or 0 if no further request is to be read.
func (c *conn) startIdle() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mu.aborted || c.mu.queue.IsClosed() {
		return 0
	}
	idle := c.idleTimeout()
	if !c.mu.stopping {
		since := c.mu.idleSince
		if c.mu.queue.Len() > 0 || since.IsZero() {
			since = time.Now()
			c.mu.idleSince = since
		}
		_ = c.socket.SetReadDeadline(since.Add(idle)) // fails only on a closed socket, as does the next read
	}
	return idle
}

func (c *conn) idleTimeout() time.Duration {
	if idle := c.server.handler.Limits().IdleTimeout; idle > 0 {
		return idle
	}
	return defaultIdleTimeout
}

// awaitRoom waits until the queue has room. It returns false if no further request is to be read.
func (c *conn) awaitRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pauseReading(func() bool { return !c.mu.queue.HasRoom() && !c.mu.queue.IsClosed() })
	return !c.mu.aborted && !c.mu.queue.IsClosed()
}

// pauseReading waits while the condition holds and the connection is open. The caller holds the lock.
func (c *conn) pauseReading(condition func() bool) {
	for !c.mu.aborted && condition() {
		c.mu.paused = true
		c.updateWaiting()
		c.mu.changed.Wait()
	}
	c.mu.paused = false
	c.updateWaiting()
}

// readRequest reads a request and adds it to the queue. It returns false if it was the
// last one of the connection.
func (c *conn) readRequest() bool {
	limits := c.server.handler.Limits()
	timeout, maxHead := limits.HeaderTimeout, limits.HeaderBytes
	if timeout <= 0 {
		timeout = defaultHeaderTimeout
	}
	if maxHead <= 0 {
		maxHead = defaultHeaderBytes
	}
	arrived := c.server.now()
	_ = c.socket.SetReadDeadline(time.Now().Add(timeout)) // fails only on a closed socket
	head, reader, err := readHeadIn(c.reader, c.socket, maxHead, c.takeHead)
	c.reader = reader
	if err == nil && !c.account.Take(int64(requestBytes(head))) {
		err = errBufferFull
	}
	if err != nil {
		c.refuse(&exchange{}, err)
		return false
	}
	counted := requestBytes(head)
	x := &exchange{outgoing: outgoing{method: head.Method, http10: !head.ProtoAtLeast(1, 1), closes: head.Close}}
	fields, err := c.server.dialect.ReadRequest(head.Header)
	x.outgoing.requestID = fields.RequestID
	if err != nil {
		c.account.Release(int64(counted))
		c.refuse(x, err)
		return false
	}
	body, rest, taken, err := c.readBody(head, &fields, arrived, limits.BodyBytes)
	if err != nil {
		c.account.Release(int64(counted) + taken)
		c.refuse(x, err)
		return false
	}
	uri := requestURI(head)
	path, _, _ := strings.Cut(uri, "?")
	x.request = &Request{
		Fields: fields, Method: head.Method, URI: uri, Path: path, Host: head.Host,
		Header: EndToEndFields(head.Header, c.server.dialect.SetsField), Body: body, Rest: rest, ArrivedAt: arrived,
	}
	c.shrinkReader()
	return c.enqueue(x, counted+int(taken))
}

// readBody reads the body. The bytes that were taken for it from the account are held until the
// response is written.
func (c *conn) readBody(head *http.Request, fields *Fields, arrived time.Time, limit int64) (first []byte, rest [][]byte, taken int64, err error) {
	if head.ContentLength == 0 {
		return nil, nil, 0, nil
	}
	maxBytes := int64(maxBodyBytes)
	if limit > 0 {
		maxBytes = min(maxBytes, limit)
	}
	if head.ContentLength > maxBytes || head.ContentLength > c.server.budget.MaxBytes() {
		return nil, nil, 0, errBodyTooLarge
	}
	timeout := defaultBodyTimeout
	if fields.HasDeadline {
		timeout = fields.RemainingTime - c.server.now().Sub(arrived)
	}
	_ = c.socket.SetReadDeadline(time.Now().Add(timeout)) // fails only on a closed socket
	if expectsContinue(head) {
		c.writeContinue()
	}
	first, rest, taken, err = memory.ReadBody(progressReader{head.Body, c.account}, head.ContentLength, maxBytes, c.account.Take)
	switch {
	case errors.Is(err, memory.ErrTooLong):
		err = errBodyTooLarge
	case errors.Is(err, memory.ErrNoRoom):
		err = errBufferFull
	}
	return first, rest, taken, errors.Wrap(err, "body of the request")
}

// writeContinue asks the caller for the body, once the responses ahead are written.
func (c *conn) writeContinue() {
	c.mu.Lock()
	c.pauseReading(func() bool { return c.mu.queue.Len() > 0 || c.mu.writing })
	c.mu.Unlock()
	_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed socket
	_, _ = io.WriteString(c.socket, continueResponse)           // if this fails, reading the body does, too
}

// refuse ends the connection with an error response to a request that can't be read.
func (c *conn) refuse(x *exchange, err error) {
	response := &Response{Status: http.StatusBadRequest, FromNode: true, Body: []byte(err.Error())}
	switch {
	case errors.Is(err, errHeadTooLong):
		response.Status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLarge):
		response.Status = http.StatusRequestEntityTooLarge
	case errors.Is(err, errBufferFull):
		c.closed(CauseNoRoom, memory.Eviction{})
		response.Status, response.RetryAfter = http.StatusServiceUnavailable, bufferFullRetryAfter
	case errors.Is(err, os.ErrDeadlineExceeded):
		response.Status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isConnError(err):
		c.abort() // the caller has disconnected
		return
	}
	x.outgoing.Response, x.outgoing.closes = response, true
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.reading = false
	entry := c.mu.queue.Add(x, true, true, 0)
	if entry == nil {
		return
	}
	c.server.inFlight.Add(1)
	for next := c.mu.queue.Next(); next != nil; next = c.mu.queue.Next() {
		if next != entry { // entry has its response already
			go c.run(next)
		}
	}
	go c.finish(entry, response) // in a goroutine, as the write may block until the caller reads
}

// isConnError reports whether the connection failed, other than by a timeout.
func isConnError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && !opErr.Timeout()
}

// enqueue adds a request, for which that many bytes were taken from the account, to the queue and
// starts it if it may start now. It reports whether more requests are to be read.
func (c *conn) enqueue(x *exchange, bytes int) (more bool) {
	idempotent := c.server.handler.IsIdempotent(x.request)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.reading, c.mu.unused = false, false
	c.mu.pipelined = c.mu.pipelined || c.mu.queue.Len() > 0
	x.request.Awaited = c.mu.pipelined
	entry := c.mu.queue.Add(x, idempotent, x.outgoing.closes || c.mu.stopping, bytes)
	if entry == nil {
		c.account.Release(int64(bytes))
		return false // the queue was closed while the request was read
	}
	c.server.inFlight.Add(1)
	c.startNext()
	c.updateWaiting()
	return !c.mu.queue.IsClosed()
}

// startNext starts all requests that may start now. The caller holds the lock.
func (c *conn) startNext() {
	for next := c.mu.queue.Next(); next != nil; next = c.mu.queue.Next() {
		go c.run(next)
	}
}

// run handles a request and finishes its exchange.
func (c *conn) run(entry *pipeline.Entry[*exchange]) {
	c.finish(entry, c.handle(entry.Value.request))
}

// handle returns the handler's response, or 502 Bad Gateway if the handler panics.
func (c *conn) handle(r *Request) (response *Response) {
	response = &Response{Status: http.StatusBadGateway, FromNode: true}
	defer c.recoverPanic("request from a caller")
	response = c.server.handler.Handle(c.ctx, r)
	return response
}

// finish records a response, nil if the caller has disconnected, and writes all responses
// that are due, unless another goroutine is writing already.
func (c *conn) finish(entry *pipeline.Entry[*exchange], response *Response) {
	c.server.inFlight.Add(-1)
	if response == nil {
		c.abort() // the caller has disconnected
		response = &Response{}
	}
	entry.Value.outgoing.Response = response
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mu.aborted {
		c.account.Release(int64(entry.Bytes()))
		response.Lease.Release()
		return
	}
	c.mu.queue.Done(entry, c.takeResponse(entry, response))
	if c.mu.writing {
		return
	}
	c.mu.writing = true
	c.updateWaiting()
	for next := c.mu.queue.Ready(); next != nil; next = c.mu.queue.Ready() {
		if !c.send(next) {
			break
		}
	}
	c.mu.writing = false
	c.mu.idleSince = time.Now()
	c.updateWaiting()
	c.mu.changed.Broadcast()
}

// closeWrite shuts down the sending side of the connection. The caller holds the lock.
func (c *conn) closeWrite() {
	if closer, ok := c.socket.(interface{ CloseWrite() error }); ok {
		_ = closer.CloseWrite() // fails if the caller has disconnected
	}
	_ = c.socket.SetReadDeadline(time.Now().Add(lingerTimeout)) // fails only on a closed socket
}

// linger discards what the caller still sends after its last request. It returns when the
// connection is closed, or lingerTimeout after the last response, and not before that
// response is written.
func (c *conn) linger() {
	c.mu.Lock()
	if !c.mu.aborted && c.mu.queue.Len() > 0 {
		_ = c.socket.SetReadDeadline(time.Time{}) // closeWrite sets it after the last response
	}
	c.mu.Unlock()
	remaining := maxLingerBytes
	for remaining > 0 {
		n, err := c.reader.Discard(min(remaining, max(c.reader.Buffered(), 1)))
		remaining -= n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			break // closeWrite's deadline, or one that was set before
		}
		if err != nil {
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.mu.aborted && c.mu.queue.Len() > 0 {
		c.mu.changed.Wait()
	}
}

// stop ends the connection after the response to its last request. A connection without
// any request so far gets firstRequestTimeout to send one.
func (c *conn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.stopping = true
	switch {
	case c.mu.queue.Len() > 0:
		if !c.mu.reading {
			c.mu.queue.Close()
			c.mu.changed.Broadcast()
		}
	case c.mu.reading:
	case c.mu.unused:
		_ = c.socket.SetReadDeadline(time.Now().Add(firstRequestTimeout)) // fails only on a closed socket
	default:
		// The connection looks idle, but serve may just have read a byte of a request. The
		// deadline only ends a read that waits, so such a request is still served.
		_ = c.socket.SetReadDeadline(time.Now()) // fails only on a closed socket
	}
}

// abort closes the connection at once and cancels its requests.
func (c *conn) abort() {
	c.cancel(nil)
	_ = c.socket.Close() // nothing can be done about a failure
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mu.aborted {
		return
	}
	c.mu.aborted = true
	unstarted, waiting := c.mu.queue.Abandon()
	c.server.inFlight.Add(-int64(unstarted))
	c.account.Release(int64(waiting))
	c.mu.changed.Broadcast()
}
