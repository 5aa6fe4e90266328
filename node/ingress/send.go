package ingress

import (
	"bufio"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/node/memory"
	"github.com/gypsumford/gypsumford/pipeline"
)

const (
	// writeTimeout bounds the time to write writeStepBytes, however slowly the caller reads: it must
	// read about 2 KiB a second.
	writeTimeout = 30 * time.Second
	// writeStepBytes is the most that is written with one deadline.
	writeStepBytes = 64 << 10
	// sendBufferBytes bounds the send buffer of a connection in the system, for responses longer
	// than writeStepBytes. In a larger one a steady reader's progress would show too late.
	sendBufferBytes = 128 << 10
)

// send writes the response to the first request in the queue. The caller holds the lock,
// which is released during the write. It returns false if nothing more is to be written
// on the connection.
func (c *conn) send(entry *pipeline.Entry[*exchange]) bool {
	r := entry.Value.outgoing
	r.closes = entry.Closes
	c.mu.Unlock()
	err := c.write(&r)
	entry.Value.outgoing.Response = nil // so that its body can be freed
	c.mu.Lock()
	if c.mu.aborted {
		return false
	}
	c.account.Release(int64(entry.Bytes()))
	c.mu.queue.Sent()
	if err != nil {
		c.mu.Unlock()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.closed(CauseTooSlow, memory.Eviction{Held: int64(entry.Bytes()), StalledFor: writeTimeout})
		}
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
	w.Reset(stepWriter{c})
	defer func() {
		w.Reset(nil)
		c.server.writers.Put(w)
	}()
	r.writeTo(w, c.server.dialect, c.server.now())
	return w.Flush()
}

// stepWriter writes to the connection in steps, each with its own deadline, and records what the
// caller has read.
type stepWriter struct{ conn *conn }

func (w stepWriter) Write(content []byte) (written int, err error) {
	c := w.conn
	if len(content) >= writeStepBytes && !c.sendBufferBounded {
		c.sendBufferBounded = true
		if tcp, ok := c.socket.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(sendBufferBytes) // if this fails, the buffer is larger
		}
	}
	for {
		if err := c.socket.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.socket.Write(content[:min(len(content), writeStepBytes)])
		written += n
		content = content[n:]
		if err != nil || len(content) == 0 && n < writeStepBytes {
			return written, err
		}
		c.account.Progress(n)
		if len(content) == 0 {
			return written, nil
		}
	}
}
