package node

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumford/gypsumford/loadshed"
	"github.com/gypsumford/gypsumford/node/ingress"
	"github.com/gypsumford/gypsumford/returntime"
)

// returns keeps what the callers of refused requests were told.
type returns struct {
	mu struct {
		sync.Mutex
		table *returntime.Table
	}
}

func newReturns() *returns {
	r := &returns{}
	r.mu.table = returntime.NewTable()
	return r
}

// returnFingerprint identifies a request by what a caller doesn't change between tries.
func returnFingerprint(r *request) uint64 {
	digest := xxhash.New()
	parts := [...]string{r.Method, r.Host, r.URI, ""}
	if r.account != nil {
		parts[3] = r.account.Name
	}
	for _, part := range parts {
		_, _ = digest.WriteString(part) // never fails
		_, _ = digest.WriteString("\x00")
	}
	return digest.Sum64()
}

// arrive returns whether the request comes back after a refusal.
func (s *returns) arrive(now time.Time, r *request) (status returntime.Status, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.table.IsEmpty() {
		return returntime.New, 0
	}
	return s.mu.table.Arrive(now, returnFingerprint(r))
}

// decide records what admission decided on a new request, and returns whether it is admitted.
func (s *returns) decide(now time.Time, r *request, admit bool) bool {
	if r.limit.Service == "" {
		return admit
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if admit {
		return s.mu.table.Admitted(now, r.limit)
	}
	s.mu.table.Refused(now, r.limit)
	return false
}

// tell returns after which time the caller of the refused request should come back.
func (s *returns) tell(now time.Time, r *request, earliest, useful, longest time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.table.Tell(now, returnFingerprint(r), r.limit, earliest, useful, longest)
}

// refuseEarly refuses a request that comes back before the time that its caller was told.
func (d *dispatcher) refuseEarly(r *request, wait time.Duration) *ingress.Response {
	d.metrics.refused.Add(strconv.Itoa(r.priority), 1)
	d.metrics.returns.Add(returntime.Early.String(), 1)
	d.log.Info("request refused", "request", r.RequestID, "route", r.route.Name, "priority", r.priority,
		"cost", "early", "retryAfterMs", wait.Milliseconds())
	return refusal(wait)
}

// isRestricted reports whether some requests like this one are refused. While none is, what
// callers were told before doesn't matter. The tables' lock is held.
func (d *dispatcher) isRestricted(now time.Time, r *request) bool {
	costs := d.tables.mu.costs.ByService(r.route.Name)
	return d.tables.mu.shed.IsRestricted(now, r.priority, costs) ||
		slices.ContainsFunc(costs, func(c loadshed.ServiceCost) bool { return d.whole.isRestricting(now, c.Service) })
}

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

// retryAfter returns the delay after which the caller of a refused request should retry: when
// the service that restricts its priority has room for it. Where that isn't known, the delay is
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
	longest := longestWait(remaining)
	if r.limit.Service == "" {
		fraction := minReturnFraction + rand.Float64()*(maxReturnFraction-minReturnFraction)
		return max(min(time.Duration(fraction*float64(objective)), longest), minRetryAfter)
	}
	earliest := max(min(time.Duration(minReturnFraction*float64(objective)), longest), minRetryAfter)
	return d.returns.tell(now, r, earliest, objective-r.workTime, longest)
}
