package attempt_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/gypsumford/gypsumford/attempt"
)

// callTree simulates a root request whose calls fan out. Replies get lost, targets
// fail, and calls are retried at every hop.
type callTree struct {
	t              *rapid.T
	needs          *attempt.Needs
	fanOut         int
	maxAttempts    int // of one call
	lossPercent    int // percentage of replies lost
	failurePercent int // percentage of deliveries on which the target fails
	attempts       int // deliveries to targets
}

// call runs one call with a grant. It returns the unspent attempts and whether the
// call completed.
func (tree *callTree) call(grant, depth int) (unspent int, ok bool) {
	allowance := attempt.NewAllowance(grant)
	for range tree.maxAttempts {
		granted := allowance.Take(allowance.Left())
		if granted == 0 {
			return 0, false
		}
		left, completed, lost := tree.deliver(granted, depth)
		if lost {
			continue // a lost reply returns no attempts
		}
		allowance.Return(left)
		if completed {
			tree.needs.Observe("service", name(depth), grant-allowance.Left())
			return allowance.Left(), true
		}
	}
	return allowance.Left(), false
}

// deliver runs the call on a target, which sends the child calls.
func (tree *callTree) deliver(grant, depth int) (left int, completed, lost bool) {
	tree.attempts++
	allowance := attempt.NewAllowance(grant)
	allowance.Take(1)
	completed = rapid.IntRange(0, 99).Draw(tree.t, "failing") >= tree.failurePercent
	for range tree.fanOut {
		if depth == 0 || !completed {
			break
		}
		share := allowance.Take(tree.needs.Share("service", name(depth-1), allowance.Left()))
		unspent, ok := tree.call(share, depth-1)
		allowance.Return(unspent)
		completed = completed && ok
	}
	lost = rapid.IntRange(0, 99).Draw(tree.t, "lost") < tree.lossPercent
	return allowance.Left(), completed, lost
}

func name(depth int) string { return string(rune('a' + depth)) }

// TestAttemptsNeverExceedTheGrant guards against a tree of calls that creates
// attempts when replies are lost, targets fail or calls are retried.
func TestAttemptsNeverExceedTheGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := &callTree{t: t, needs: attempt.NewNeeds()}
		tree.fanOut = rapid.IntRange(1, 3).Draw(t, "fan")
		tree.maxAttempts = rapid.IntRange(1, 4).Draw(t, "tries")
		tree.lossPercent = rapid.IntRange(0, 60).Draw(t, "lossy")
		tree.failurePercent = rapid.IntRange(0, 100).Draw(t, "failingPart")
		grant := rapid.IntRange(0, 64).Draw(t, "grant")
		for range 4 {
			tree.attempts = 0
			unspent, _ := tree.call(grant, rapid.IntRange(0, 11).Draw(t, "depth"))
			if tree.attempts > grant {
				t.Fatalf("%d attempts on a grant of %d", tree.attempts, grant)
			}
			if unspent+tree.attempts > grant {
				t.Fatalf("%d unspent after %d attempts on a grant of %d", unspent, tree.attempts, grant)
			}
		}
	})
}

// TestObservedNeedsSufficeForCallTrees guards against a split of the grant that
// refuses child calls although the grant exceeds the attempts that the tree needs.
func TestObservedNeedsSufficeForCallTrees(t *testing.T) {
	Convey("Given a healthy tree of fan-out 2 and depth 4, which needs 31 attempts", t, func() {
		needs := attempt.NewNeeds()
		var run func(grant, depth int) (int, bool)
		run = func(grant, depth int) (int, bool) {
			allowance := attempt.NewAllowance(grant)
			if allowance.Take(1) == 0 {
				return 0, false
			}
			ok := true
			for range 2 {
				if depth == 0 {
					break
				}
				unspent, completed := run(allowance.Take(needs.Share("s", name(depth-1), allowance.Left())), depth-1)
				allowance.Return(unspent)
				ok = ok && completed
			}
			if ok {
				needs.Observe("s", name(depth), grant-allowance.Left())
			}
			return allowance.Left(), ok
		}
		Convey("a grant of 40 suffices from the first request on", func() {
			for range 3 {
				_, ok := run(40, 4)
				So(ok, ShouldBeTrue)
			}
		})
		Convey("a chain of 11 calls of unknown need completes on a grant of 32", func() {
			grant := 32
			for range 11 {
				allowance := attempt.NewAllowance(grant)
				So(allowance.Take(1), ShouldEqual, 1)
				grant = needs.Share("s", "unseen", allowance.Left())
			}
		})
	})
}

func TestBudget(t *testing.T) {
	Convey("A budget of 10 percent allows one retry for ten successes after the saved retries are used", t, func() {
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
	Convey("A budget without any success allows few retries", t, func() {
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
	Convey("A budget of zero percent allows no retry", t, func() {
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
		allowance := attempt.NewAllowance(32)
		granted := allowance.Take(needs.Share("search", "plot", allowance.Left()))
		allowance.Return(granted - 3)
		needs.Observe("search", "plot", 3)
		budget.OnSuccess(now)
	}
}
