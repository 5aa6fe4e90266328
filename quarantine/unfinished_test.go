package quarantine

import (
	"slices"
	"testing"
	"time"
)

// Guards against a crash that isn't put down to the run that caused it, since its caller had left
// more than a second before.
func TestUnfinishedRunsAreInFlightUntilTheirDeadline(t *testing.T) {
	var u Unfinished[int]
	start := time.Unix(1000, 0)
	u.Add(1, start.Add(4*time.Second))
	u.Add(2, start.Add(2*time.Second))
	for _, c := range []struct {
		after time.Duration
		want  []int
	}{{2900 * time.Millisecond, []int{1, 2}}, {3100 * time.Millisecond, []int{1}}, {5100 * time.Millisecond, nil}} {
		if got := u.InFlight(start.Add(c.after)); !slices.Equal(got, c.want) {
			t.Errorf("after %v the runs %v are in flight, want %v", c.after, got, c.want)
		}
	}
	for i := range maxUnfinished + 10 {
		u.Add(i, start)
	}
	if got := u.InFlight(start); len(got) != maxUnfinished || got[0] != 10 {
		t.Errorf("%d runs are remembered, the first is %d", len(got), got[0])
	}
}
