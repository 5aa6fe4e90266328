package attempt

import "time"

// Parameters of retry budgets.
const (
	budgetBurst   = 10.0 // retries that can be saved up
	budgetTrickle = 0.2  // retries per second that are allowed without any success
)

// Budget bounds the retries on one link to a part of its successes.
type Budget struct {
	part  float64 // retries per success
	saved float64
	last  time.Time
}

// NewBudget returns a budget of percent retries per 100 successes. A budget of
// zero or less percent allows no retry at all.
func NewBudget(percent int) Budget {
	b := Budget{part: float64(max(percent, 0)) / 100}
	if b.part > 0 {
		b.saved = budgetBurst
	}
	return b
}

// SetPercent changes the budget and keeps what is saved.
func (b *Budget) SetPercent(percent int) {
	b.part = float64(max(percent, 0)) / 100
	if b.part == 0 {
		b.saved = 0
	}
}

// OnSuccess earns a part of a retry.
func (b *Budget) OnSuccess(now time.Time) {
	b.saved = min(budgetBurst, b.saved+b.part)
}

// TryRetry takes one retry from the budget and reports whether there was one.
func (b *Budget) TryRetry(now time.Time) bool {
	b.trickle(now)
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

func (b *Budget) trickle(now time.Time) {
	if b.part > 0 && !b.last.IsZero() && now.After(b.last) {
		b.saved = min(budgetBurst, b.saved+budgetTrickle*now.Sub(b.last).Seconds())
	}
	b.last = now
}
