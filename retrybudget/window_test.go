package retrybudget

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// plainHeadroom computes headroom from the buckets alone.
func plainHeadroom(c *counter, ratio, slack float64) (remaining, whole float64) {
	sum := func(from, until int, value func(totals) float64) (sum float64) {
		for i := from; i < until; i++ {
			sum += value(c.totals[(c.newestNumber+1+int64(i))%bucketsKept])
		}
		return sum
	}
	requests := func(t totals) float64 { return t.requests }
	remaining = math.Inf(1)
	for from := bucketsPerWindow; from < bucketsKept; from++ {
		before := sum(from-bucketsPerWindow, from, requests)
		after := sum(from, bucketsKept, requests)
		between := sum(from-bucketsPerWindow/2, min(from+bucketsPerWindow/2, bucketsKept), requests)
		sent := max(before, before+growthShare*(after-before), before+growthShare*(between-before))
		allowed := ratio*sent + slack
		if from >= bucketsKept-spendBuckets {
			whole = max(whole, allowed)
		}
		remaining = min(remaining, allowed-sum(from, bucketsKept, func(t totals) float64 { return t.granted }))
	}
	return remaining, whole
}

func plainReserved(c *counter, level int) (sum float64) {
	for i := range c.recent {
		for l := range levels {
			if l < level {
				sum += float64(c.recent[i].wanted[l])
			} else {
				sum += float64(c.recent[i].granted[l])
			}
		}
	}
	return sum
}

// TestSumsAreThoseOfTheBuckets guards against kept sums that miss a change: a new bucket, a pause
// longer than all buckets, or a request or retry that is taken back from an earlier bucket.
func TestSumsAreThoseOfTheBuckets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := New(config), start
		c := b.counter(now, "s")
		near := func(got, want float64) bool { return math.Abs(got-want) < 1e-3 }
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 10, 300, 2000, 30000}).Draw(t, "pause in ms")) * time.Millisecond)
			earlier := now.Add(-time.Duration(rapid.IntRange(0, 21000).Draw(t, "age in ms")) * time.Millisecond)
			charge := Charge{Service: "s", Requests: float64(rapid.IntRange(1, 8).Draw(t, "calls")), Estimated: rapid.Bool().Draw(t, "estimated")}
			importance := Importance{Priority: rapid.IntRange(0, 7).Draw(t, "priority"), Rank: rapid.Byte().Draw(t, "rank")}
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				b.RecordRequests(now, "s", float64(rapid.IntRange(1, 50).Draw(t, "requests")))
			case 1:
				b.AllowRetry(now, 3, importance, []Charge{charge})
			case 2:
				b.Spend(now, importance, charge)
			case 3:
				b.Refund(now, earlier, charge)
			case 4:
				b.CancelRequest(now, earlier, "s")
			}
			remaining, whole := c.headroom(0.2, 10)
			wantRemaining, wantWhole := plainHeadroom(c, 0.2, 10)
			if !near(remaining, wantRemaining) || !near(whole, wantWhole) {
				t.Fatalf("headroom %v of %v, want %v of %v", remaining, whole, wantRemaining, wantWhole)
			}
			if level := importance.level(); !near(c.reserved(level), plainReserved(c, level)) {
				t.Fatalf("reserved %v, want %v", c.reserved(level), plainReserved(c, level))
			}
		}
	})
}
