package limiter

import (
	"testing"
	"time"
)

// BenchmarkCall lets a call arrive and end, at a target without a rate limit and at one whose
// limit leaves room for it.
func BenchmarkCall(b *testing.B) {
	for name, rate := range map[string]float64{"unlimited": 0, "limited": maxBenchRate} {
		b.Run(name, func(b *testing.B) {
			l := New(79)
			l.SetRateLimit(start, rate)
			now := start.Add(time.Minute)
			call := &Item{Deadline: now.Add(time.Hour)}
			for b.Loop() {
				now = now.Add(time.Microsecond)
				if l.Arrive(now, call) != Run {
					b.Fatal("a call has to wait")
				}
				l.Done(call, time.Microsecond)
			}
		})
	}
}

// maxBenchRate is a rate limit, in requests per second, that the benchmark doesn't reach.
const maxBenchRate = 1e7
