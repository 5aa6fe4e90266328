package agent

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gypsumford/gypsumford/callhttp"
)

const (
	// maxBodiesBytes caps the total of the request bodies that a node holds.
	maxBodiesBytes = 128 << 20
	// bodiesRetryAfter is the retry-after delay of calls refused because of that cap.
	bodiesRetryAfter = 250 * time.Millisecond
)

// byteBudget bounds the memory of the request bodies in flight.
type byteBudget struct {
	used atomic.Int64
}

// reserve takes the size of the request's body from the budget before the body is
// read. A body of unstated length counts as the largest allowed one. If ok is true,
// release must be called when the body is no longer needed.
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
