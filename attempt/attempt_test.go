package attempt_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/gypsumford/gypsumford/attempt"
)

// tree is a request whose calls fan out; answers get lost and calls are tried
// again at every hop.
type tree struct {
	t        *rapid.T
	needs    *attempt.Needs
	fan      int
	tries    int
	lossy    int // answers lost of 100
	failing  int // targets that fail of 100
	handOver int // attempts that really happened
}

// call runs one call with a grant and returns what it leaves unspent, and
// whether it completed.
func (w *tree) call(grant, depth int) (unspent int, ok bool) {
	pot := attempt.NewPot(grant)
	for range w.tries {
		part := pot.Take(pot.Left())
		if part == 0 {
			return 0, false
		}
		left, done, lost := w.try(part, depth)
		if lost {
			continue // nothing comes back
		}
		pot.Return(left)
		if done {
			w.needs.Observe("service", name(depth), grant-pot.Left())
			return pot.Left(), true
		}
	}
	return pot.Left(), false
}

// try hands the call to a target, which makes the child calls.
func (w *tree) try(part, depth int) (left int, done, lost bool) {
	w.handOver++
	pot := attempt.NewPot(part)
	pot.Take(1)
	done = rapid.IntRange(0, 99).Draw(w.t, "failing") >= w.failing
	for range w.fan {
		if depth == 0 || !done {
			break
		}
		share := pot.Take(w.needs.Share("service", name(depth-1), pot.Left()))
		unspent, ok := w.call(share, depth-1)
		pot.Return(unspent)
		done = done && ok
	}
	lost = rapid.IntRange(0, 99).Draw(w.t, "lost") < w.lossy
	return pot.Left(), done, lost
}

func name(depth int) string { return string(rune('a' + depth)) }

func TestAttemptsNeverExceedTheGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &tree{t: t, needs: attempt.NewNeeds()}
		w.fan = rapid.IntRange(1, 3).Draw(t, "fan")
		w.tries = rapid.IntRange(1, 4).Draw(t, "tries")
		w.lossy = rapid.IntRange(0, 60).Draw(t, "lossy")
		w.failing = rapid.IntRange(0, 100).Draw(t, "failingPart")
		grant := rapid.IntRange(0, 64).Draw(t, "grant")
		for range 4 {
			w.handOver = 0
			unspent, _ := w.call(grant, rapid.IntRange(0, 11).Draw(t, "depth"))
			if w.handOver > grant {
				t.Fatalf("%d attempts on a grant of %d", w.handOver, grant)
			}
			if unspent+w.handOver > grant {
				t.Fatalf("%d unspent after %d attempts on a grant of %d", unspent, w.handOver, grant)
			}
		}
	})
}

func TestLearnedNeedsCarryWholeTrees(t *testing.T) {
	Convey("Given a healthy tree of fan-out 2 and depth 4, which needs 31 attempts", t, func() {
		needs := attempt.NewNeeds()
		var run func(grant, depth int) (int, bool)
		run = func(grant, depth int) (int, bool) {
			pot := attempt.NewPot(grant)
			if pot.Take(1) == 0 {
				return 0, false
			}
			ok := true
			for range 2 {
				if depth == 0 {
					break
				}
				unspent, whole := run(pot.Take(needs.Share("s", name(depth-1), pot.Left())), depth-1)
				pot.Return(unspent)
				ok = ok && whole
			}
			if ok {
				needs.Observe("s", name(depth), grant-pot.Left())
			}
			return pot.Left(), ok
		}
		Convey("A grant of 40 suffices from the first request on", func() {
			for range 3 {
				_, ok := run(40, 4)
				So(ok, ShouldBeTrue)
			}
		})
		Convey("A chain of 11 calls completes on a grant of 32 at first sight", func() {
			grant := 32
			for range 11 {
				pot := attempt.NewPot(grant)
				So(pot.Take(1), ShouldEqual, 1)
				grant = needs.Share("s", "unseen", pot.Left())
			}
		})
	})
}

func TestBudget(t *testing.T) {
	Convey("A budget of 10 percent allows one retry for ten successes once the saved ones are used", t, func() {
		now := time.Unix(1_000_000, 0)
		b := attempt.NewBudget(10)
		for b.TryRetry(now) {
		}
		granted := 0
		for range 1000 {
			b.OnSuccess(now)
			if b.TryRetry(now) {
				granted++
			}
		}
		So(granted, ShouldBeBetweenOrEqual, 99, 100)
	})
	Convey("A link without any success gets few retries", t, func() {
		now := time.Unix(1_000_000, 0)
		b := attempt.NewBudget(10)
		granted := 0
		for range 1000 {
			now = now.Add(10 * time.Millisecond)
			if b.TryRetry(now) {
				granted++
			}
		}
		So(granted, ShouldBeLessThanOrEqualTo, 12)
	})
	Convey("A budget of zero allows none", t, func() {
		b := attempt.NewBudget(0)
		So(b.TryRetry(time.Unix(1, 0)), ShouldBeFalse)
	})
}

func BenchmarkAttempts(b *testing.B) {
	needs := attempt.NewNeeds()
	budget := attempt.NewBudget(10)
	now := time.Unix(1_000_000, 0)
	b.ReportAllocs()
	for b.Loop() {
		pot := attempt.NewPot(32)
		granted := pot.Take(needs.Share("search", "plot", pot.Left()))
		pot.Return(granted - 3)
		needs.Observe("search", "plot", 3)
		budget.OnSuccess(now)
	}
}
