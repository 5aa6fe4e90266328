package retrybudget

import (
	"testing"
	"time"
)

// filledBudget returns a budget that has counted requests and retries of a full period, and the time
// after it.
func filledBudget() (*Budget, time.Time) {
	budget, now := New(config), start
	for i := range 20000 {
		now = now.Add(time.Millisecond)
		budget.RecordRequest(now, "s")
		budget.AllowRetry(now, 1, Importance{Priority: i % 5, Rank: uint8(i)}, []Charge{{Service: "s", Requests: 1}})
	}
	return budget, now
}

// BenchmarkAllowRetry measures the decision on a retry, which the node makes under a lock.
func BenchmarkAllowRetry(b *testing.B) {
	budget, now := filledBudget()
	charges := []Charge{{Service: "s", Requests: 1}}
	for i := 0; b.Loop(); i++ {
		now = now.Add(500 * time.Microsecond)
		budget.RecordRequest(now, "s")
		budget.AllowRetry(now, 1, Importance{Priority: 3, Rank: uint8(i)}, charges)
	}
}

// BenchmarkHeadroom measures what the entry computes for each request of a service that rejects
// calls.
func BenchmarkHeadroom(b *testing.B) {
	budget, now := filledBudget()
	c := budget.counter(now, "s")
	for b.Loop() {
		c.newest().requests++
		c.headroom(0.2, 10)
	}
}

// BenchmarkAdmission measures the decision on a request, made under the lock of the node's tables.
func BenchmarkAdmission(b *testing.B) {
	rejections := NewRejections()
	admission := NewAdmission(config, rejections)
	calls := []Calls{{Service: "front", Requests: 1, Direct: true}, {Service: "back", Requests: 4}}
	now := start
	for i := 0; b.Loop(); i++ {
		now = now.Add(500 * time.Microsecond)
		rejections.RecordArrival(now, "back", i%2 == 0)
		rejections.RecordArrival(now, "front", i%2 == 0)
		admission.Arrive(now, 10, Importance{Priority: 3, Rank: uint8(i)}, 1, calls)
		admission.Admitted(now, calls)
	}
}
