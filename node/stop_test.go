package node

import (
	"testing"
	"time"
)

// Guards against requests that a stopping node passes on though it may be gone before their end.
func TestRequestsOfAStoppingNodeEndBeforeIt(t *testing.T) {
	const grace = 6 * time.Second
	begun := time.Now()
	s := newStopSchedule(begun, grace)
	if left := begun.Add(grace).Sub(s.cutOff); left <= 0 || left > grace/6 {
		t.Errorf("requests are cut off %v before the end of the grace", left)
	}
	for _, timeout := range []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second, time.Hour} {
		for after := time.Duration(0); after < grace; after += 10 * time.Millisecond {
			now := begun.Add(after)
			deadline, isTaken := s.bound(now, now.Add(timeout))
			isLate, fits := after >= callerStopDelay, !now.Add(timeout).After(s.cutOff)
			switch {
			case isTaken != (fits || !isLate):
				t.Fatalf("a request with %v, %v after the stop: taken %v", timeout, after, isTaken)
			case isTaken && deadline.After(s.cutOff):
				t.Fatalf("a request with %v, %v after the stop, may end after the cut-off", timeout, after)
			case fits && !deadline.Equal(now.Add(timeout)):
				t.Fatalf("a request with %v, %v after the stop, got less time than it has", timeout, after)
			}
		}
	}
	deadline := begun.Add(time.Hour)
	if got, isTaken := (*stopSchedule)(nil).bound(begun, deadline); !isTaken || got != deadline {
		t.Error("a node that isn't stopping bounds a request")
	}
}
