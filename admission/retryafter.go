package admission

import (
	"time"

	"github.com/gypsumford/gypsumford/call"
)

// Bounds of the time after which a refused caller is asked to come back.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// retryAfter returns when a refused call should come back. An overload that has
// lasted for some time is expected to last as long again. The rank spreads the
// callers over half to one and a half of that, so they don't return together.
func retryAfter(lasted time.Duration, p call.Priority) time.Duration {
	base := min(max(lasted, minRetryAfter), maxRetryAfter)
	spread := float64(p.Rank()) / rankSpan
	return base/2 + time.Duration(spread*float64(base))
}
