package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumford/gypsumford/admission"
	"github.com/gypsumford/gypsumford/call"
)

// BenchmarkAdmit measures the arrival and the end of one call in a queue with a
// number of waiting calls.
func BenchmarkAdmit(b *testing.B) {
	for _, waiting := range []int{0, 64, 1024} {
		b.Run(fmt.Sprint("waiting=", waiting), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			cfg := admission.DefaultConfig(max(70, waiting))
			cfg.MaxWait = time.Hour
			q := admission.NewQueue(cfg, now)
			a := admission.Arrival{Priority: call.PriorityOf(1, 77), Caller: "parish", Operation: "plot"}
			var out []admission.Verdict
			id := admission.TicketID(0)
			for range max(70, waiting) + waiting - 1 {
				id++
				out = q.Arrive(now, id, a, out[:0])
			}
			oldest := admission.TicketID(1)
			b.ReportAllocs()
			for b.Loop() {
				id++
				now = now.Add(time.Microsecond)
				a.Priority = call.PriorityOf(1, call.Rank(id*7919)&(1<<24-1))
				out = q.Arrive(now, id, a, out[:0])
				out = q.Finish(now, oldest, admission.Completed, out[:0])
				oldest++
			}
			b.ReportMetric(float64(q.Stats().Queued), "waiting")
		})
	}
}

// BenchmarkCheck measures an update and a check of an entry node's levels.
func BenchmarkCheck(b *testing.B) {
	l := admission.NewLevels()
	now := time.Unix(1_000_000, 0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		l.Observe(now, "search", "plot", "parish", call.Level(call.PriorityOf(2, 99)))
		l.Check(now, "search", "plot", "parish", call.PriorityOf(1, 5))
	}
}

// BenchmarkTick measures the work that each node does every TickInterval.
func BenchmarkTick(b *testing.B) {
	for _, callers := range []int{1, 64} {
		b.Run(fmt.Sprint("callers=", callers), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			q := admission.NewQueue(admission.DefaultConfig(70), now)
			var out []admission.Verdict
			for id := range 500 {
				a := admission.Arrival{Priority: call.PriorityOf(1, 77), Caller: fmt.Sprint(id % callers), Operation: "plot"}
				out = q.Arrive(now, admission.TicketID(id), a, out[:0])
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(admission.TickInterval)
				out = q.Tick(now, out[:0])
			}
		})
	}
}
