package retrybudget

import (
	"testing"
	"time"
)

// BenchmarkAllowRetry measures a retry beside a target, BenchmarkArrive a root request at an
// entry whose calls reach ten services, of which one rejects calls.
func BenchmarkAllowRetry(b *testing.B) {
	budget, now := New(config), start
	charges := []Charge{{Service: "s", Requests: 1}}
	for i := range b.N {
		now = now.Add(time.Millisecond)
		for range 5 {
			budget.RecordRequest(now, "s")
		}
		budget.AllowRetry(now, 10, Importance{Priority: i % 3, Rank: uint8(i * 37)}, charges)
	}
}

func BenchmarkArrive(b *testing.B) {
	rejections := NewRejections()
	admission := NewAdmission(config, rejections)
	var calls []Calls
	for _, service := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "s"} {
		calls = append(calls, Calls{Service: service, Requests: 2})
	}
	now := start
	for i := range b.N {
		now = now.Add(time.Millisecond)
		rejections.RecordArrival(now, "s", i%2 == 0)
		importance := Importance{Priority: i % 3, Rank: uint8(i * 37)}
		if carried := admission.Arrive(now, 10, importance, 1, calls); carried.Admits(importance) {
			admission.Admitted(now, calls)
		}
	}
}
