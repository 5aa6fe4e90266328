package freshness

import (
	"testing"
	"time"
)

// BenchmarkPeerAnswered is what each reply costs besides two readings of the clock.
func BenchmarkPeerAnswered(b *testing.B) {
	t := NewTracker(5*time.Second, true, 1)
	t.InForce(0, 1)
	b.ReportAllocs()
	now := time.Duration(0)
	for b.Loop() {
		now += time.Millisecond
		t.PeerAnswered(now, now-time.Millisecond, 1, time.Millisecond, true)
		t.Fresh(now, 1)
	}
}
