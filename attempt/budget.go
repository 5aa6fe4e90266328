package attempt

import "time"

// Parameters of retry budgets.
const (
	maxSavedRetries = 10.0 // retries that a budget saves up at most
	minRetryRate    = 0.2  // retries per second that a budget earns even without successes
)

// Budget limits the retries of calls to one service to a fraction of the successful
// calls.
type Budget struct {
	retriesPerSuccess float64
	retries           float64   // saved retries
	refilled          time.Time // time of the last refill, zero before the first one
}

// NewBudget returns a budget of percent retries per 100 successes. A budget of zero
// percent or less allows no retry at all.
func NewBudget(percent int) Budget {
	b := Budget{retriesPerSuccess: float64(max(percent, 0)) / 100}
	if b.retriesPerSuccess > 0 {
		b.retries = maxSavedRetries
	}
	return b
}

// SetPercent changes the percentage. Saved retries are kept, unless the percentage
// is zero or less.
func (b *Budget) SetPercent(percent int) {
	b.retriesPerSuccess = float64(max(percent, 0)) / 100
	if b.retriesPerSuccess == 0 {
		b.retries = 0
	}
}

// OnSuccess adds the fraction of a retry that one success earns.
func (b *Budget) OnSuccess(now time.Time) {
	b.retries = min(maxSavedRetries, b.retries+b.retriesPerSuccess)
}

// TryRetry takes one retry from the budget and reports whether there was one.
func (b *Budget) TryRetry(now time.Time) bool {
	b.refill(now)
	if b.retries < 1 {
		return false
	}
	b.retries--
	return true
}

// refill adds the retries earned by time since the last refill.
func (b *Budget) refill(now time.Time) {
	if b.retriesPerSuccess > 0 && !b.refilled.IsZero() && now.After(b.refilled) {
		b.retries = min(maxSavedRetries, b.retries+minRetryRate*now.Sub(b.refilled).Seconds())
	}
	b.refilled = now
}
