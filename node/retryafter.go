package node

import (
	"math/rand/v2"
	"time"
)

const (
	// A refused caller comes back after a fraction of the objective between these, so that the
	// load can change and the objective can still be met.
	minReturnFraction = 0.25
	maxReturnFraction = 0.6
	// maxWaitFraction is the fraction of its remaining time that a caller waits. A third is
	// what they state; the rest is for the network.
	maxWaitFraction = 0.3
	minRetryAfter   = 50 * time.Millisecond
)

// longestWait returns how long a caller waits for a retry that has the remaining time.
func longestWait(remaining time.Duration) time.Duration {
	return max(time.Duration(maxWaitFraction*float64(remaining)), minRetryAfter)
}

// retryAfter returns the delay after which the caller of a refused request should retry. It is
// random, so that the refused callers don't all retry at once.
func (d *dispatcher) retryAfter(r *request, now time.Time) time.Duration {
	objective := r.route.Objective
	if objective <= 0 {
		objective = time.Second
	}
	remaining := r.deadline.Sub(now)
	if r.HasDeadline {
		remaining = r.ArrivedAt.Add(r.RemainingTime).Sub(now)
	}
	fraction := minReturnFraction + rand.Float64()*(maxReturnFraction-minReturnFraction)
	return max(min(time.Duration(fraction*float64(objective)), longestWait(remaining)), minRetryAfter)
}
