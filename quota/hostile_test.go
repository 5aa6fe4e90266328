package quota

import (
	"testing"
	"time"
)

// TestBoundWhilePartsMove guards against parts that count at two homes: partitions change every
// second or two, so nodes delegate to ever other homes, while messages are late by seconds.
func TestBoundWhilePartsMove(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		s := newSim(t, seed, 88, oneAccount())
		const start, end = 8 * time.Second, 28 * time.Second
		s.load("a", 1600, start, end, s.anyNode)
		s.run(start)
		if seed == 2 {
			s.lateRate, s.lateBy = 0.3, 4*time.Second
		}
		var next func()
		next = func() {
			s.partition(2, 0)
			s.after(900*ms+time.Duration(s.random.Int64N(int64(time.Second))), next)
		}
		next()
		s.run(end)
		most, _ := s.most("a", 0)
		t.Logf("at most %d starts in a window, allowed %d; %.2f of the quota used", most, allowed(s.limit("a")), s.usable("a", start, end))
		s.check(0)
	}
}

// TestBoundWhileNodesRestart guards against processes that use a part again which their earlier
// process has delegated.
func TestBoundWhileNodesRestart(t *testing.T) {
	s := newSim(t, 1, 88, oneAccount())
	const start, end = 8 * time.Second, 28 * time.Second
	s.load("a", 1600, start, end, s.anyNode)
	s.run(start)
	for _, n := range s.nodes {
		var next func()
		next = func() {
			s.kill(n)
			s.start(n)
			s.after(time.Duration(s.random.Int64N(int64(6*time.Second))), next)
		}
		s.after(time.Duration(s.random.Int64N(int64(3*time.Second))), next)
	}
	s.run(end)
	most, _ := s.most("a", 0)
	t.Logf("at most %d starts in a window, allowed %d; %.2f of the quota used", most, allowed(s.limit("a")), s.usable("a", start, end))
	s.check(0)
}

// TestPartsAreHeldOnce guards against the sum of the parts, over all homes, that exceeds the whole
// while every node knows all others, whatever is cut off, frozen, late or restarted.
func TestPartsAreHeldOnce(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		s := newSim(t, seed, 60, oneAccount())
		s.run(8 * time.Second)
		most := 0.0
		var watch func()
		watch = func() {
			for g := range Groups {
				sum := 0.0
				for _, n := range s.nodes {
					// A frozen home grants nothing until it wakes, and then ends what has expired first.
					if n.isUp && !n.frozen {
						n.table.homes[g].advance(s.clock(n))
						sum += n.table.homes[g].sum
					}
				}
				most = max(most, sum)
			}
			s.after(20*ms, watch)
		}
		watch()
		var next func()
		next = func() {
			n := s.anyNode()
			switch s.random.IntN(4) {
			case 0:
				s.partition(2+s.random.IntN(2), 0.3)
			case 1:
				s.cut = map[[2]int]bool{}
			case 2:
				s.kill(n)
				if s.random.IntN(2) == 0 {
					s.start(n)
				} else {
					s.after(time.Duration(s.random.Int64N(int64(2*time.Second))), func() { s.start(n) })
				}
			case 3:
				s.lateRate, s.lateBy = 0.3*s.random.Float64(), 3*time.Second
				s.freeze(n, time.Duration(s.random.Int64N(int64(4*time.Second))))
			}
			s.after(time.Duration(s.random.Int64N(int64(1500*ms))), next)
		}
		next()
		s.run(38 * time.Second)
		t.Logf("seed %d: at most %.6f of the parts held", seed, most)
		if most > 1 {
			t.Errorf("seed %d: %.6f of the parts held", seed, most)
		}
	}
}
