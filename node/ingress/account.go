package ingress

import (
	"bufio"
	"io"
	"net/http"
	"time"

	"github.com/gypsumford/gypsumford/node/memory"
	"github.com/gypsumford/gypsumford/pipeline"
)

// requestOverheadBytes is what a request holds besides its head and body: the stack of its
// goroutine, and its state.
const requestOverheadBytes = 8 << 10

// Cause is why a client's connection was closed or refused.
type Cause string

const (
	// CauseEvicted means that the connection was closed to make room for others.
	CauseEvicted Cause = "evicted"
	// CauseNoRoom means that there was no room for the connection or a request on it.
	CauseNoRoom Cause = "no-room"
	// CauseTooSlow means that the client read less of a response than the minimum rate.
	CauseTooSlow Cause = "too-slow"
)

// Closed is a client's connection that was closed or refused to bound what clients hold.
type Closed struct {
	Client     string // address
	Cause      Cause
	Held       int64 // bytes
	StalledFor time.Duration
}

// evict closes the connection to make room for others.
func (c *conn) evict(e memory.Eviction) {
	c.closed(CauseEvicted, e)
	go c.abort() // in a goroutine, as the caller may hold the lock of another connection
}

func (c *conn) closed(cause Cause, e memory.Eviction) {
	c.server.OnClosed(Closed{Client: c.socket.RemoteAddr().String(), Cause: cause, Held: e.Held, StalledFor: e.StalledFor})
}

// requestBytes returns what a request holds besides its body. A head is held as fields, and as
// those that are forwarded.
func requestBytes(head *http.Request) int {
	const fieldBytes = 48 // of a field, besides name and value
	size := len(head.RequestURI)
	for name, values := range head.Header {
		for _, value := range values {
			size += len(name) + len(value) + fieldBytes
		}
	}
	return requestOverheadBytes + 2*size
}

// takeHead takes memory for a read buffer of the given size.
func (c *conn) takeHead(size int) bool {
	more := size - bufferBytes - c.headBytes
	if !c.account.Take(int64(more)) {
		return false
	}
	c.headBytes += more
	return true
}

// shrinkReader replaces a read buffer that has grown for a long head, once nothing is in it.
func (c *conn) shrinkReader() {
	if c.headBytes == 0 || c.reader.Buffered() > 0 {
		return
	}
	c.reader = bufio.NewReaderSize(c.socket, bufferBytes)
	c.account.Release(int64(c.headBytes))
	c.headBytes = 0
}

// progressReader records what is read of a body as progress of its client. The parts of a body are
// too large for that: a steady sender may need many seconds for one.
type progressReader struct {
	io.Reader
	account *memory.Client
}

func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.account.Progress(n)
	return n, err
}

// takeResponse makes the connection hold a response, and returns the bytes that it took. If there is
// no room for them, the response is written only if it is next in order. The caller holds the lock.
func (c *conn) takeResponse(entry *pipeline.Entry[*exchange], r *Response) int {
	moved := int(c.account.Receive(r.Lease))
	size := fieldsBytes(r.Header)
	if r.Lease == nil {
		size += memory.Size(r.Body, r.Rest)
	}
	if size == 0 || c.account.Take(int64(size)) {
		return moved + size
	}
	if !c.mu.queue.IsFirst(entry) {
		go c.abort() // it would have to be held until the responses ahead are written
	}
	return moved
}

// fieldsBytes returns the bytes of alternating names and values.
func fieldsBytes(fields []string) (size int) {
	for _, text := range fields {
		size += len(text)
	}
	return size
}

// updateWaiting tells the account whether the connection waits for others than its caller: a
// request is in flight, none is being read or its reading is paused, and no response is being
// written. The caller holds the lock.
func (c *conn) updateWaiting() {
	waiting := c.mu.queue.Len() > 0 && (!c.mu.reading || c.mu.paused) && !c.mu.writing
	if waiting != c.mu.waiting {
		c.mu.waiting = waiting
		c.account.SetWaiting(waiting)
	}
}

// releaseConnection gives back what the connection holds without a request.
func (c *conn) releaseConnection() {
	c.account.Close()
	c.account.Release(int64(c.headBytes))
}
