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

	"github.com/gypsumford/gypsumford/pipeline"
)

const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 5 * time.Second
	// defaultIdleTimeout is well above any limit that operators set.
	defaultIdleTimeout = 5 * time.Minute
	// defaultBodyTimeout bounds the time to read a body whose request states no deadline.
	defaultBodyTimeout = 30 * time.Second
	// writeTimeout bounds the time to write one response, however slowly the caller reads.
	writeTimeout = 30 * time.Second
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
	server *Server
	socket net.Conn
	reader *bufio.Reader // used by the goroutine in serve only
	ctx    context.Context
	cancel context.CancelFunc

	mu struct {
		sync.Mutex
		changed   *sync.Cond // a response was written, or the queue closed or abandoned
		queue     pipeline.Queue[*exchange]
		unused    bool // no request has been read yet
		reading   bool // a request has arrived in part
		writing   bool // a goroutine is writing responses
		pipelined bool // the caller has sent a request before the response to the previous one
		stopping  bool // the server is stopping
		aborted   bool // the connection is closed, and its requests are cancelled
	}
}

// exchange is one request and its response.
type exchange struct {
	request  *Request
	outgoing outgoing
}

func newConn(s *Server, socket net.Conn) *conn {
	c := &conn{server: s, socket: socket, reader: bufio.NewReaderSize(socket, bufferBytes)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.mu.changed = sync.NewCond(&c.mu)
	c.mu.unused = true
	return c
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer c.server.remove(c)
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

// awaitRequest waits for the first byte of a request. It returns false if no further
// request is to be read.
func (c *conn) awaitRequest() bool {
	for {
		if !c.awaitRoom() {
			return false
		}
		_, err := c.reader.Peek(1)
		c.mu.Lock()
		c.mu.reading = err == nil
		busy, stopping := c.mu.queue.Len() > 0, c.mu.stopping
		c.mu.Unlock()
		switch {
		case err == nil:
			return true
		case !errors.Is(err, os.ErrDeadlineExceeded) || !busy:
			c.abort()
			return false
		case stopping:
			return false
		}
		// The idle timeout passed, but the connection isn't idle while requests are in flight.
	}
}

// awaitRoom waits until the queue has room, and starts the idle timeout. It returns false
// if no further request is to be read.
func (c *conn) awaitRoom() bool {
	idle := c.server.handler.Limits().IdleTimeout
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.mu.aborted && !c.mu.queue.HasRoom() && !c.mu.queue.IsClosed() {
		c.mu.changed.Wait()
	}
	if c.mu.aborted || c.mu.queue.IsClosed() {
		return false
	}
	if !c.mu.stopping {
		_ = c.socket.SetReadDeadline(time.Now().Add(idle)) // fails only on a closed socket, as does the next read
	}
	return true
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
	head, reader, err := readHead(c.reader, maxHead)
	c.reader = reader
	if err != nil {
		c.refuse(&exchange{}, err)
		return false
	}
	x := &exchange{outgoing: outgoing{method: head.Method, http10: !head.ProtoAtLeast(1, 1), closes: head.Close}}
	fields, err := c.server.dialect.ReadRequest(head.Header)
	x.outgoing.requestID = fields.RequestID
	if err != nil {
		c.refuse(x, err)
		return false
	}
	body, err := c.readBody(head, &fields, arrived, limits.BodyBytes)
	if err != nil {
		c.refuse(x, err)
		return false
	}
	uri := requestURI(head)
	path, _, _ := strings.Cut(uri, "?")
	x.request = &Request{
		Fields: fields, Method: head.Method, URI: uri, Path: path, Host: head.Host,
		Header: EndToEndFields(head.Header, c.server.dialect.SetsField), Body: body, ArrivedAt: arrived,
	}
	return c.enqueue(x)
}

// errBufferFull means that the server's bound on buffered bytes is reached.
var errBufferFull = errors.New("no room for the body of the request")

// readBody reads the body. Its bytes count as buffered until the response is written.
func (c *conn) readBody(head *http.Request, fields *Fields, arrived time.Time, limit int64) ([]byte, error) {
	if head.ContentLength == 0 {
		return nil, nil
	}
	maxBytes := min(int64(maxBodyBytes), c.server.maxBuffered)
	if limit > 0 {
		maxBytes = min(maxBytes, limit)
	}
	if head.ContentLength > maxBytes {
		return nil, errBodyTooLarge
	}
	expected := head.ContentLength
	if expected < 0 {
		expected = unknownLengthBytes
	}
	if !c.server.reserve(expected) {
		return nil, errBufferFull
	}
	timeout := defaultBodyTimeout
	if fields.HasDeadline {
		timeout = fields.RemainingTime - c.server.now().Sub(arrived)
	}
	_ = c.socket.SetReadDeadline(time.Now().Add(timeout)) // fails only on a closed socket
	if expectsContinue(head) {
		c.writeContinue()
	}
	body, err := readBody(head, maxBytes)
	c.server.buffered.Add(int64(len(body)) - expected)
	if err != nil {
		c.server.release(len(body))
		return nil, err
	}
	return body, nil
}

// writeContinue asks the caller for the body, once the responses ahead are written.
func (c *conn) writeContinue() {
	c.mu.Lock()
	for !c.mu.aborted && (c.mu.queue.Len() > 0 || c.mu.writing) {
		c.mu.changed.Wait()
	}
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

// enqueue adds a request to the queue and starts it if it may start now. It reports
// whether more requests are to be read.
func (c *conn) enqueue(x *exchange) (more bool) {
	idempotent := c.server.handler.IsIdempotent(x.request)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.reading, c.mu.unused = false, false
	c.mu.pipelined = c.mu.pipelined || c.mu.queue.Len() > 0
	x.request.Awaited = c.mu.pipelined
	entry := c.mu.queue.Add(x, idempotent, x.outgoing.closes || c.mu.stopping, len(x.request.Body))
	if entry == nil {
		c.server.release(len(x.request.Body))
		return false // the queue was closed while the request was read
	}
	c.server.inFlight.Add(1)
	c.startNext()
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
		c.server.release(entry.Bytes())
		return
	}
	c.server.buffered.Add(int64(len(response.Body)))
	c.mu.queue.Done(entry, len(response.Body))
	if c.mu.writing {
		return
	}
	c.mu.writing = true
	for next := c.mu.queue.Ready(); next != nil; next = c.mu.queue.Ready() {
		if !c.send(next) {
			break
		}
	}
	c.mu.writing = false
	c.mu.changed.Broadcast()
}

// send writes the response to the first request in the queue. The caller holds the lock,
// which is released during the write. It returns false if nothing more is to be written
// on the connection.
func (c *conn) send(entry *pipeline.Entry[*exchange]) bool {
	r := entry.Value.outgoing
	r.closes = entry.Closes
	c.mu.Unlock()
	err := c.write(&r)
	c.mu.Lock()
	if c.mu.aborted {
		return false
	}
	c.server.release(entry.Bytes())
	c.mu.queue.Sent()
	if err != nil {
		c.mu.Unlock()
		c.abort()
		c.mu.Lock()
		return false
	}
	if entry.Closes {
		c.closeWrite()
		return false
	}
	c.startNext()
	c.mu.changed.Broadcast()
	return true
}

// write writes a whole response. A panic ends the connection only, not the process.
func (c *conn) write(r *outgoing) (err error) {
	err = errNotWritten
	defer c.recoverPanic("response to a caller")
	w := c.server.writers.Get().(*bufio.Writer)
	w.Reset(c.socket)
	defer func() {
		w.Reset(nil)
		c.server.writers.Put(w)
	}()
	if err := c.socket.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	r.writeTo(w, c.server.dialect, c.server.now())
	return w.Flush()
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
	c.cancel()
	_ = c.socket.Close() // nothing can be done about a failure
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mu.aborted {
		return
	}
	c.mu.aborted = true
	waiting := c.mu.queue.Abandon()
	c.server.release(waiting)
	c.mu.changed.Broadcast()
}
