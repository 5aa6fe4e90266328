package egress

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/internal/httpstatus"
	"github.com/gypsumford/gypsumford/node/memory"
)

var (
	// ErrNotRun means that the target hasn't run the request and never will.
	ErrNotRun = errors.New("request not run")
	// ErrUnreachable means that the request wasn't sent, for lack of a connection to the
	// target or because it was cancelled before: it hasn't run.
	ErrUnreachable = errors.New("target unreachable")
	// ErrBroken means that the response is missing or unusable: the request may have run.
	ErrBroken = errors.New("answer broken")
)

const (
	// maxForeignResponses is the number of responses to other requests after which a
	// connection is closed.
	maxForeignResponses = 3
	// inlineBodyBytes is the size of the largest body that is written before the response
	// is read. A longer one is written concurrently, since the target may respond before it
	// has read all of it.
	inlineBodyBytes = 16 << 10
	// bodyWriteTimeout bounds the time to write the rest of a body after the response
	// has been read.
	bodyWriteTimeout = 200 * time.Millisecond
)

// Response is a target's complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Rest   [][]byte      // parts of a long body that follow Body
	Lease  *memory.Lease // of the memory of a long body, nil for a short one
	Fields ResponseFields
	closes bool // the target closes the connection after the response
}

// IsUnsignedSuccess reports whether the response states a success without the target's signature. It
// was corrupted on its way.
func (r *Response) IsUnsignedSuccess() bool {
	return r.Status < http.StatusMultipleChoices && !r.Fields.Signed
}

// Sender sends requests over a pool's connections to the target.
type Sender struct {
	pool    *Pool
	dialect Dialect
	budget  *memory.Budget
}

// NewSender returns a sender that uses the pool. memoryBytes is the memory limit of the
// process, 0 if it has none.
func NewSender(pool *Pool, dialect Dialect, memoryBytes int64) *Sender {
	return &Sender{pool: pool, dialect: dialect, budget: memory.NewBudget(memoryBytes, 0, pool.now)}
}

// UseBudget replaces the sender's own memory account. It is called before the first request.
func (s *Sender) UseBudget(b *memory.Budget) { s.budget = b }

// Send sends the request once and returns the complete response. The error matches
// ErrUnreachable, ErrNotRun (returned with the response), ErrBroken or the context's error.
func (s *Sender) Send(ctx context.Context, r *Request) (*Response, error) {
	if ctx.Err() != nil {
		return nil, errors.Mark(ctx.Err(), ErrUnreachable) // the caller has disconnected
	}
	c, err := s.pool.get(ctx, r.ID)
	if err != nil {
		return nil, errors.Mark(err, ErrUnreachable)
	}
	stop := context.AfterFunc(ctx, c.reset)
	response, idleTimeout, err := s.exchange(c, r)
	if !stop() {
		if err != nil {
			return nil, errors.CombineErrors(ctx.Err(), err)
		}
		idleTimeout = 0 // the connection is being reset
	}
	if response != nil && response.Fields.NotRun && !c.recordRefusal(r.ID) {
		idleTimeout = 0
	}
	if err == nil && response.IsUnsignedSuccess() {
		idleTimeout = 0 // what follows on the connection may be corrupted, too
	}
	s.release(c, idleTimeout)
	if err != nil {
		return nil, errors.Mark(err, ErrBroken)
	}
	if response.Fields.NotRun {
		response.Lease.Release()
		response.Body, response.Rest, response.Lease = nil, nil, nil
		return response, ErrNotRun
	}
	return response, nil
}

// release returns a connection to the pool, or closes it if it must not be reused: idleTimeout is 0.
func (s *Sender) release(c *conn, idleTimeout time.Duration) {
	if idleTimeout <= 0 || !c.wire.IsReusable() {
		c.close()
		return
	}
	s.pool.put(c, idleTimeout)
}

// exchange writes the request and reads its response. idleTimeout is how long the connection
// may stay unused in the pool, 0 if it must not be reused.
func (s *Sender) exchange(c *conn, r *Request) (response *Response, idleTimeout time.Duration, err error) {
	if r.OnWrite != nil {
		r.OnWrite()
	}
	c.wire.Begin(r.Method)
	written := make(chan error, 1)
	if len(r.Body) <= inlineBodyBytes && len(r.Rest) == 0 {
		written <- s.write(c, r)
	} else {
		go func() { written <- s.write(c, r) }()
	}
	response, idleTimeout, err = s.readMatching(c, r)
	if err != nil {
		return nil, 0, errors.CombineErrors(c.wire.Err(), err)
	}
	select {
	case writeErr := <-written:
		if writeErr != nil {
			idleTimeout = 0
		}
	case <-time.After(bodyWriteTimeout):
		idleTimeout = 0 // closing the connection ends the write
	}
	return response, idleTimeout, nil
}

func (s *Sender) write(c *conn, r *Request) error {
	w := c.writer
	writeHead(w, r.Method, r.URI, r.Host, r.Header, s.dialect.RequestFields(r))
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		writeParts(w, "Content-Length: ", strconv.Itoa(memory.Size(r.Body, r.Rest)), "\r\n")
	}
	writeParts(w, "\r\n")
	_, _ = w.Write(r.Body)
	for _, part := range r.Rest {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return w.Flush()
}

// writeHead writes the head of a request, but for the empty line that ends it. Each of fields has
// alternating names and values.
func writeHead(w *bufio.Writer, method, uri, host string, fields ...[]string) {
	writeParts(w, method, " ", uri, " HTTP/1.1\r\nHost: ", host, "\r\n")
	for _, group := range fields {
		for i := 0; i+1 < len(group); i += 2 {
			writeParts(w, group[i], ": ", group[i+1], "\r\n")
		}
	}
}

// writeParts writes texts one after the other. The error, if any, is returned by the writer's Flush.
func writeParts(w *bufio.Writer, parts ...string) {
	for _, part := range parts {
		_, _ = w.WriteString(part)
	}
}

// readMatching reads responses until the one to the request arrives.
func (s *Sender) readMatching(c *conn, r *Request) (*Response, time.Duration, error) {
	for skipped := range maxForeignResponses {
		response, idleTimeout, err := s.readResponse(c, r.Method)
		if err != nil {
			return nil, 0, err
		}
		if response.Fields.RequestID == r.ID {
			if c.reader.Buffered() > 0 || skipped > 0 {
				idleTimeout = 0 // responses to other requests may follow
			}
			return response, idleTimeout, nil
		}
		if response.Fields.RequestID == "" {
			return s.handleWithoutID(c, response)
		}
		response.Lease.Release()
		if idleTimeout == 0 {
			break
		}
	}
	return nil, 0, errors.New("only responses to other requests received")
}

// handleWithoutID handles a response without a request ID. It accepts a refusal on a connection
// that has served no other request, but the connection isn't reused. Any other response is an
// error: a faulty target may repeat the refusal of an earlier request.
func (s *Sender) handleWithoutID(c *conn, response *Response) (*Response, time.Duration, error) {
	if response.Fields.NotRun && !c.reused {
		return response, 0, nil
	}
	response.Lease.Release()
	return nil, 0, errors.Newf("response with status %d has no request ID", response.Status)
}

// readResponse reads one response to a request of the method, and skips interim ones. c.wire bounds
// their number, and the size of each head.
func (s *Sender) readResponse(c *conn, method string) (*Response, time.Duration, error) {
	for {
		c.bounded.remaining = framingFactor * maxBodyBytes
		head, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, 0, errors.Wrap(err, "read response head")
		}
		if httpstatus.IsInterim(head.StatusCode) {
			continue
		}
		length := head.ContentLength
		if head.Body == http.NoBody {
			length = 0 // a response to HEAD states the length of a body that doesn't follow
		}
		body, rest, lease, err := s.readBody(head.Body, length)
		if err != nil {
			return nil, 0, errors.Wrap(err, "read response body")
		}
		response := &Response{Status: head.StatusCode, Header: head.Header, Body: body, Rest: rest, Lease: lease, closes: head.Close}
		response.Fields = s.dialect.ReadResponse(head.StatusCode, head.Header)
		return response, allowedIdleTime(head), nil
	}
}

// allowedIdleTime returns how long the connection may stay idle after the response, 0 if it must
// not be reused.
func allowedIdleTime(head *http.Response) time.Duration {
	if head.Close || head.ContentLength < 0 && len(head.TransferEncoding) == 0 {
		return 0
	}
	for _, field := range strings.Split(head.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return min(max(time.Duration(seconds)*time.Second-idleMargin, 0), maxIdleTime)
		}
	}
	return maxIdleTime
}
