package balance

import (
	"testing"
	"time"

	"github.com/gypsumford/gypsumford/spillover"
)

// BenchmarkChoose chooses among 24 targets in three failure domains, as each request does.
func BenchmarkChoose(b *testing.B) {
	table := NewTable("a")
	table.UseSpillover(spillover.NewTable())
	var domains []string
	for range 8 {
		domains = append(domains, "a", "b", "c")
	}
	list := candidates(domains...)
	now := start
	for _, r := range list {
		table.Sent(now, r.Target.ID)
		table.Responded(now, r.Target.ID, "r", 50*time.Millisecond, 400, Load{Running: 3, Slots: 10}, false)
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		if _, ok := table.Choose(now, Request{Route: "r", Service: "s"}, list, nil); !ok {
			b.Fatal("no target")
		}
	}
}
