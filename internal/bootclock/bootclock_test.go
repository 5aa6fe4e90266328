package bootclock

import (
	"testing"
	"time"
)

// Guards against a clock that can't be read, or in another unit.
func TestClockAdvances(t *testing.T) {
	before, start := Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	elapsed, steady := Now()-before, time.Since(start)
	if elapsed < 20*time.Millisecond || elapsed > steady+time.Second {
		t.Errorf("%v passed by this clock, %v by the steady one", elapsed, steady)
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}
