package agent

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gypsumford/gypsumford/callhttp"
)

const (
	// maxBodiesBytes caps the request bodies that a node holds at a time.
	maxBodiesBytes = 128 << 20
	// bodiesRetryAfter is told to those who exceed it.
	bodiesRetryAfter = 250 * time.Millisecond
)

// byteBudget bounds the memory of the request bodies in flight.
type byteBudget struct {
	used atomic.Int64
}

// reserve takes room for the request's body before it is read. A body of
// unstated length counts as the largest one. If ok, release must be called when
// the body is no longer needed.
func (b *byteBudget) reserve(r *http.Request) (release func(), ok bool) {
	size := r.ContentLength
	if size < 0 || size > callhttp.MaxBodyBytes {
		size = callhttp.MaxBodyBytes
	}
	if b.used.Add(size) > maxBodiesBytes {
		b.used.Add(-size)
		return nil, false
	}
	return func() { b.used.Add(-size) }, true
}
