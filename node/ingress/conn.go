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
	// defaultBodyTimeout bounds the reading of a body whose request states no deadline.
	defaultBodyTimeout = 30 * time.Second
	// writeTimeout bounds the writing of one answer to a caller that reads slowly.
	writeTimeout = 30 * time.Second
	// freshTime is how long a new connection may take to send its first request while
	// the server stops.
	freshTime = 1 * time.Second
	// lingerTime is how long what a caller still sends is read after the last answer:
	// closing at once would reset the connection and the answer might be lost.
	lingerTime = 500 * time.Millisecond
	// lingerBytes bounds what is read then.
	lingerBytes = 1 << 20
)

// errUnwritten: an unexpected error came while an answer was written.
var errUnwritten = errors.New("answer not written")

const continueLine = "HTTP/1.1 100 Continue\r\n\r\n"

// conn is one caller's connection.
type conn struct {
	server *Server
	socket net.Conn
	reader *bufio.Reader // of the goroutine in serve
	ctx    context.Context
	cancel context.CancelFunc

	mu struct {
		sync.Mutex
		room    *sync.Cond
		line    pipeline.Queue[*exchange]
		fresh   bool // no request was read yet
		reading bool // a request has begun to arrive
		writing bool // a goroutine writes answers
		ahead   bool // the caller has sent a request before the one ahead was answered
		stops   bool // the server stops
		dead    bool // the connection has broken
	}
}

// exchange is one request and its answer.
type exchange struct {
	request *Request
	reply   reply
}

func newConn(s *Server, socket net.Conn) *conn {
	c := &conn{server: s, socket: socket, reader: bufio.NewReaderSize(socket, readerBytes)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.mu.room = sync.NewCond(&c.mu)
	c.mu.fresh = true
	return c
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer c.server.forget(c)
	defer c.abort()
	defer c.recovered("connection of a caller")
	for c.awaitRequest() {
		if !c.readRequest() {
			break
		}
	}
	c.linger()
}

// recovered keeps an unexpected error from ending the process.
func (c *conn) recovered(what string) {
	if v := recover(); v != nil {
		c.server.Failed(what, errors.Newf("panic: %v\n%s", v, debug.Stack()))
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
		waits, stops := c.mu.line.Len() > 0, c.mu.stops
		c.mu.Unlock()
		switch {
		case err == nil:
			return true
		case !errors.Is(err, os.ErrDeadlineExceeded) || !waits:
			c.abort()
			return false
		case stops:
			return false
		}
		// A connection is idle only without requests.
	}
}

// awaitRoom waits until the line has room, and starts the idle time.
func (c *conn) awaitRoom() bool {
	idle := c.server.handler.Limits().IdleTimeout
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.mu.dead && !c.mu.line.HasRoom() && !c.mu.line.IsClosed() {
		c.mu.room.Wait()
	}
	if c.mu.dead || c.mu.line.IsClosed() {
		return false
	}
	if !c.mu.stops {
		_ = c.socket.SetReadDeadline(time.Now().Add(idle)) // fails on a closed socket, as does the next read
	}
	return true
}

// readRequest reads a request and puts it in line. It returns false if it was the
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
	_ = c.socket.SetReadDeadline(time.Now().Add(timeout)) // as above
	head, reader, err := readHead(c.reader, maxHead)
	c.reader = reader
	if err != nil {
		c.refuse(&exchange{}, err)
		return false
	}
	x := &exchange{reply: reply{method: head.Method, old: !head.ProtoAtLeast(1, 1), closes: head.Close}}
	fields, err := c.server.dialect.ReadRequest(head.Header)
	x.reply.id = fields.RequestID
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
		Header: EndToEnd(head.Header, c.server.dialect.SetsField), Body: body, Arrived: arrived,
	}
	return c.enter(x)
}

// errNoRoom: the process holds as many bytes as it may.
var errNoRoom = errors.New("no room for the body of the request")

// readBody reads the body. Its bytes count as held until its request is answered.
func (c *conn) readBody(head *http.Request, fields *Fields, arrived time.Time, limit int64) ([]byte, error) {
	if head.ContentLength == 0 {
		return nil, nil
	}
	most := min(int64(maxBodyBytes), c.server.maxHeld)
	if limit > 0 {
		most = min(most, limit)
	}
	if head.ContentLength > most {
		return nil, errBodyTooLarge
	}
	expected := head.ContentLength
	if expected < 0 {
		expected = unstatedBytes
	}
	if !c.server.reserve(expected) {
		return nil, errNoRoom
	}
	timeout := defaultBodyTimeout
	if fields.HasTimeLeft {
		timeout = fields.TimeLeft - c.server.now().Sub(arrived)
	}
	_ = c.socket.SetReadDeadline(time.Now().Add(timeout)) // as above
	if expectsContinue(head) {
		c.writeContinue()
	}
	body, err := readBody(head, most)
	c.server.held.Add(int64(len(body)) - expected)
	if err != nil {
		c.server.release(len(body))
		return nil, err
	}
	return body, nil
}

// writeContinue asks for the body, once the answers ahead are out.
func (c *conn) writeContinue() {
	c.mu.Lock()
	for !c.mu.dead && (c.mu.line.Len() > 0 || c.mu.writing) {
		c.mu.room.Wait()
	}
	c.mu.Unlock()
	_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout)) // as for reads
	_, _ = io.WriteString(c.socket, continueLine)               // the body won't come if this fails
}

// refuse ends the connection with an answer to a request that can't be read.
func (c *conn) refuse(x *exchange, err error) {
	answer := &Answer{Status: http.StatusBadRequest, Own: true, Body: []byte(err.Error())}
	switch {
	case errors.Is(err, errHeadTooLong):
		answer.Status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLarge):
		answer.Status = http.StatusRequestEntityTooLarge
	case errors.Is(err, errNoRoom):
		answer.Status, answer.RetryAfter = http.StatusServiceUnavailable, heldRetryAfter
	case errors.Is(err, os.ErrDeadlineExceeded):
		answer.Status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isReset(err):
		c.abort() // the caller has left
		return
	}
	x.reply.Answer, x.reply.closes = answer, true
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.reading = false
	entry := c.mu.line.Add(x, true, true, 0)
	if entry == nil {
		return
	}
	c.server.active.Add(1)
	for next := c.mu.line.Next(); next != nil; next = c.mu.line.Next() {
		if next != entry { // which has its answer
			go c.run(next)
		}
	}
	go c.finish(entry, answer) // not here, it may wait for the caller to read
}

func isReset(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && !failed.Timeout()
}

// enter puts a request in line and lets it run if it may.
func (c *conn) enter(x *exchange) (more bool) {
	idempotent := c.server.handler.IsIdempotent(x.request)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.reading, c.mu.fresh = false, false
	c.mu.ahead = c.mu.ahead || c.mu.line.Len() > 0
	x.request.Awaited = c.mu.ahead
	entry := c.mu.line.Add(x, idempotent, x.reply.closes || c.mu.stops, len(x.request.Body))
	if entry == nil {
		c.server.release(len(x.request.Body))
		return false // it crossed the end of the connection
	}
	c.server.active.Add(1)
	c.begin()
	return !c.mu.line.IsClosed()
}

// begin lets all requests run that may. The lock is held.
func (c *conn) begin() {
	for next := c.mu.line.Next(); next != nil; next = c.mu.line.Next() {
		go c.run(next)
	}
}

// run has a request handled.
func (c *conn) run(entry *pipeline.Entry[*exchange]) {
	c.finish(entry, c.handle(entry.Value.request))
}

func (c *conn) handle(r *Request) (answer *Answer) {
	answer = &Answer{Status: http.StatusBadGateway, Own: true}
	defer c.recovered("request of a caller")
	answer = c.server.handler.Handle(c.ctx, r)
	return answer
}

// finish takes in an answer and writes all that are due, unless another goroutine is
// at it.
func (c *conn) finish(entry *pipeline.Entry[*exchange], answer *Answer) {
	c.server.active.Add(-1)
	if answer == nil {
		c.abort() // the caller has left
		answer = &Answer{}
	}
	entry.Value.reply.Answer = answer
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mu.dead {
		c.server.release(entry.Bytes())
		return
	}
	c.server.held.Add(int64(len(answer.Body)))
	c.mu.line.Done(entry, len(answer.Body))
	if c.mu.writing {
		return
	}
	c.mu.writing = true
	for next := c.mu.line.Ready(); next != nil; next = c.mu.line.Ready() {
		if !c.send(next) {
			break
		}
	}
	c.mu.writing = false
	c.mu.room.Broadcast()
}

// send writes the answer of the first request in line. The lock is held, and free
// while the bytes go out. It returns false if the connection is at its end.
func (c *conn) send(entry *pipeline.Entry[*exchange]) bool {
	r := entry.Value.reply
	r.closes = entry.Closes
	c.mu.Unlock()
	err := c.write(&r)
	c.mu.Lock()
	if c.mu.dead {
		return false
	}
	c.server.release(entry.Bytes())
	c.mu.line.Sent()
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
	c.begin()
	c.mu.room.Broadcast()
	return true
}

// write writes a whole answer. An unexpected error ends the connection alone.
func (c *conn) write(r *reply) (err error) {
	err = errUnwritten
	defer c.recovered("answer to a caller")
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

// closeWrite tells the caller that nothing more comes. The lock is held.
func (c *conn) closeWrite() {
	if half, ok := c.socket.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // fails if the caller has left
	}
	_ = c.socket.SetReadDeadline(time.Now().Add(lingerTime)) // as above
}

// linger reads what the caller still sends, none of which is a request any more, until
// the caller has closed or the last answer is out for lingerTime.
func (c *conn) linger() {
	c.mu.Lock()
	if !c.mu.dead && c.mu.line.Len() > 0 {
		_ = c.socket.SetReadDeadline(time.Time{}) // until the last answer is out
	}
	c.mu.Unlock()
	left := lingerBytes
	for left > 0 {
		n, err := c.reader.Discard(min(left, max(c.reader.Buffered(), 1)))
		left -= n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			break // set before the last answer was out, or after it
		}
		if err != nil {
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.mu.dead && c.mu.line.Len() > 0 {
		c.mu.room.Wait()
	}
}

// stop ends the connection with the answer to its last request. One that has sent
// none gets time for it.
func (c *conn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mu.stops = true
	switch {
	case c.mu.line.Len() > 0:
		if !c.mu.reading {
			c.mu.line.Close()
			c.mu.room.Broadcast()
		}
	case c.mu.reading:
	case c.mu.fresh:
		_ = c.socket.SetReadDeadline(time.Now().Add(freshTime)) // as above
	default:
		// Idle, as far as is known here: the reader ends it unless it has just read
		// something.
		_ = c.socket.SetReadDeadline(time.Now()) // as above
	}
}

// abort cuts the connection off and cancels its requests.
func (c *conn) abort() {
	c.cancel()
	_ = c.socket.Close() // nothing more is to be said
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mu.dead {
		return
	}
	c.mu.dead = true
	waiting := c.mu.line.Abandon()
	c.server.release(waiting)
	c.mu.room.Broadcast()
}
