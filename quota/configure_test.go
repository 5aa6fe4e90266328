package quota

import (
	"testing"
	"time"
)

// TestAccountIsRemovedAndListedAgain guards against a second burst: an account whose limit is taken
// out of the configuration and put back within a window must not find a full bucket.
func TestAccountIsRemovedAndListedAgain(t *testing.T) {
	accounts := []Account{{"a", Limit{Rate: 10, Burst: 100}}}
	home := NewTable(0, "i", 1, simBounds)
	home.FirstStart()
	home.Configure(0, 1, accounts)
	now := time.Duration(0)
	run := func(until time.Duration) {
		for ; now < until; now += TickInterval {
			home.SetRoster(now, []string{"i"}, true)
			home.Tick(now)
		}
	}
	granted := func() (count int) {
		for {
			if d, _ := home.Take(now, "a", false); d.Verdict != Granted {
				return count
			}
			count++
		}
	}
	run(20 * time.Second)
	first := granted()
	if first < 100 {
		t.Fatalf("%d tokens of a full bucket, want at least 100", first)
	}
	run(now + time.Second)
	home.Configure(now, 2, nil)
	run(now + time.Second)
	home.Configure(now, 3, accounts)
	if got := granted(); got > 21 {
		t.Errorf("%d tokens after 2 s, want those of the rate of 10 a second", got)
	}
}
