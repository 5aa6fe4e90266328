package roster

import (
	"fmt"
	"testing"
)

// BenchmarkServing looks up the targets of one service, as each request does, in a table
// of 19,000 instances with 20 targets per service.
func BenchmarkServing(b *testing.B) {
	const instances, perService = 19_000, 20
	table := NewTable()
	for i := range instances {
		table.Update(Record{
			Instance: fmt.Sprint("n", i), Incarnation: 1,
			Target: Target{ID: fmt.Sprint("t", i), Service: fmt.Sprint("s", i/perService), State: Ready},
		})
	}
	for b.Loop() {
		if len(table.Serving("s7")) != perService {
			b.Fatal("targets are missing")
		}
	}
}
