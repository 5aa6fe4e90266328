// Package pipeline orders the pipelined requests of one connection: those that a caller
// sends without waiting for earlier responses.
//
// An idempotent request starts as soon as it arrives, so that it doesn't wait for another
// to finish. Any other request starts once all responses ahead of it are sent: if the
// connection breaks before that, the caller knows that the request has not run. Responses,
// refusals included, are sent in the order of the requests. The number of requests and
// bytes that a connection may hold is bounded; the rest isn't read from the connection
// until there is room.
package pipeline

const (
	// MaxRequests bounds the requests of a connection whose response isn't sent yet.
	MaxRequests = 32
	// MaxBytes bounds the bytes of a connection's requests and of its responses that wait
	// to be sent: once it is reached, no further request is read. One request may exceed it.
	MaxBytes = 1 << 20
)

// Entry is one request in a queue.
type Entry[T any] struct {
	Value T
	// Closes is set if the connection is closed after the response to this request.
	Closes     bool
	idempotent bool
	started    bool
	done       bool
	bytes      int
}

// Bytes returns the bytes of the request and of its response, if it has one.
func (e *Entry[T]) Bytes() int { return e.bytes }

// Queue holds the requests of one connection in the order of their arrival. It is not safe
// for concurrent use.
type Queue[T any] struct {
	entries []*Entry[T]
	bytes   int
	closed  bool // no further request is accepted
}

// Len returns the number of requests whose response isn't sent yet.
func (q *Queue[T]) Len() int { return len(q.entries) }

// HasRoom reports whether a further request may be read.
func (q *Queue[T]) HasRoom() bool {
	return !q.closed && len(q.entries) < MaxRequests && q.bytes < MaxBytes
}

// IsClosed reports whether no further request is accepted.
func (q *Queue[T]) IsClosed() bool { return q.closed }

// Add appends a request of that many bytes. closes tells that the connection is closed
// after its response. Add returns nil if the queue is closed; the request must then be
// dropped as if it had not been read.
func (q *Queue[T]) Add(value T, idempotent, closes bool, bytes int) *Entry[T] {
	if q.closed {
		return nil
	}
	entry := &Entry[T]{Value: value, Closes: closes, idempotent: idempotent, bytes: bytes}
	q.entries = append(q.entries, entry)
	q.bytes += bytes
	q.closed = closes
	return entry
}

// Close makes the last request in the queue the last one of the connection.
func (q *Queue[T]) Close() {
	q.closed = true
	if last := len(q.entries) - 1; last >= 0 {
		q.entries[last].Closes = true
	}
}

// Next returns a request that is to start now and marks it as started. It returns nil if
// there is none.
func (q *Queue[T]) Next() *Entry[T] {
	for i, entry := range q.entries {
		if !entry.started && (entry.idempotent || i == 0) {
			entry.started = true
			return entry
		}
	}
	return nil
}

// Done records that a request has a response of that many bytes.
func (q *Queue[T]) Done(entry *Entry[T], bytes int) {
	entry.done = true
	entry.bytes += bytes
	q.bytes += bytes
}

// IsFirst reports whether no response is to be sent before the one to this request.
func (q *Queue[T]) IsFirst(entry *Entry[T]) bool {
	return len(q.entries) > 0 && q.entries[0] == entry
}

// Ready returns the request whose response is to be sent now, or nil if there is none.
func (q *Queue[T]) Ready() *Entry[T] {
	if len(q.entries) == 0 || !q.entries[0].done {
		return nil
	}
	return q.entries[0]
}

// Sent removes the first request, whose response has been sent.
func (q *Queue[T]) Sent() {
	q.bytes -= q.entries[0].bytes
	q.entries[0] = nil
	q.entries = q.entries[1:]
}

// Abandon empties and closes the queue after its connection has broken. It returns the number of
// requests that have not started, and the bytes of these, of the requests that had a response, and
// of these responses. The requests that run are counted off when they end.
func (q *Queue[T]) Abandon() (unstarted, bytes int) {
	for _, entry := range q.entries {
		if !entry.started && !entry.done {
			unstarted++
			bytes += entry.bytes
		} else if entry.done {
			bytes += entry.bytes
		}
	}
	q.entries, q.bytes, q.closed = nil, 0, true
	return unstarted, bytes
}
