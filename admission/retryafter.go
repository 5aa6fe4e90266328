package admission

import (
	"time"

	"github.com/gypsumford/gypsumford/call"
)

// Bounds of the retry-after delay before it is spread.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// retryAfter returns the delay after which a refused call should be retried. An
// overload is expected to last as long again as it has lasted so far. The rank
// spreads the retries between 0.5 and 1.5 times this value, so that they don't arrive
// together.
func retryAfter(overloadedFor time.Duration, p call.Priority) time.Duration {
	base := min(max(overloadedFor, minRetryAfter), maxRetryAfter)
	spread := float64(p.Rank()) / rankCount
	return base/2 + time.Duration(spread*float64(base))
}
