package quota

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var (
	firstSeed = flag.Uint64("seed", 1, "first seed of TestBoundUnderFaults")
	simSeeds  = flag.Uint64("seeds", 4, "number of seeds of TestBoundUnderFaults; each third one has 300 nodes")
)

// disturb makes faults of all kinds at random until a time.
func (s *sim) disturb(until time.Duration, lasts time.Duration) {
	var next func()
	next = func() {
		if s.now >= until {
			s.cut, s.lossRate, s.lateRate = map[[2]int]bool{}, 0, 0
			return
		}
		n := s.anyNode()
		d := time.Duration(s.random.Int64N(int64(lasts)))
		switch s.random.IntN(7) {
		case 0:
			s.partition(2+s.random.IntN(3), s.random.Float64())
			s.after(d, func() { s.cut = map[[2]int]bool{} })
		case 1:
			s.kill(n)
			s.after(d, func() { s.start(n) })
		case 2:
			s.freeze(n, d)
		case 3: // the home of a group
			if home := s.nodes[s.random.IntN(len(s.nodes))].table.parts[s.random.IntN(Groups)].choice; home != "" {
				for _, h := range s.nodes {
					if h.name == home && s.random.IntN(2) == 0 {
						s.freeze(h, d)
					} else if h.name == home {
						s.kill(h)
						s.after(d, func() { s.start(h) })
					}
				}
			}
		case 4:
			s.lossRate = 0.3 * s.random.Float64()
			s.after(d, func() { s.lossRate = 0 })
		case 5:
			s.lateRate, s.lateBy = s.random.Float64(), time.Duration(s.random.Int64N(int64(6*time.Second)))+1
			s.after(d, func() { s.lateRate = 0 })
		case 6:
			s.addNode()
		}
		s.after(time.Duration(s.random.Int64N(int64(lasts))), next)
	}
	next()
}

// TestBoundUnderFaults guards against starts beyond the bound while the fleet is partitioned,
// nodes are killed, restarted, frozen and added, and messages are lost or late.
func TestBoundUnderFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*simSeeds; seed++ {
		nodes := 88
		if seed%3 == 0 {
			nodes = 300
		}
		t.Run(fmt.Sprintf("%d/%d", nodes, seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, seed, nodes, []Account{{"a", Limit{200, 200}}, {"b", Limit{40, 40}}, {"c", Limit{100, 5}}, {"d", Limit{5, 50}}})
			s.notRun = 0.1
			const start, end = 8 * time.Second, 48 * time.Second
			for i, a := range s.accounts {
				pick := s.anyNode
				if i%2 == int(seed%2) {
					pick = func() *simNode { return s.nodes[(7*i+3)%nodes] }
				}
				rate := min(8*a.Rate, 1000)
				if seed%2 == 0 {
					s.load(a.Name, rate, start, end, pick)
					continue
				}
				for at := start; at < end; { // bursts from buckets that are full
					until := at + time.Duration(s.random.Int64N(int64(3*time.Second)))
					s.load(a.Name, rate, at, min(until, end), pick)
					at = until + time.Duration(s.random.Int64N(int64(4*time.Second)))
				}
			}
			s.run(start + time.Second)
			s.disturb(end-5*time.Second, 6*time.Second)
			s.run(end)
			for _, a := range s.accounts {
				most, at := s.most(a.Name, 0)
				t.Logf("%s: at most %d starts in a window (up to %v), allowed %d; %.2f of the quota used", a.Name, most, at,
					allowed(a.Limit), float64(s.started(a.Name, start, end))/a.Rate/(end-start).Seconds())
			}
			s.check(0)
		})
	}
}

// TestLoweredLimit guards against tokens and buckets that outlive a limit which was lowered far
// below the use.
func TestLoweredLimit(t *testing.T) {
	s := newSim(t, 1, 88, []Account{{"a", Limit{400, 400}}})
	const lowered, end = 14 * time.Second, 26 * time.Second
	s.load("a", 1600, 8*time.Second, end, s.anyNode)
	s.run(lowered)
	s.accounts = []Account{{"a", Limit{20, 20}}}
	const applied = 2500 * time.Millisecond
	for _, n := range s.nodes {
		s.after(time.Duration(s.random.Int64N(int64(applied))), func() { n.table.Configure(s.clock(n), 2, s.accounts) })
	}
	s.run(end)
	most, at := s.most("a", lowered+applied+simBounds.Window)
	t.Logf("at most %d starts in a window (up to %v), allowed %d", most, at, allowed(s.accounts[0].Limit))
	s.check(lowered + applied + simBounds.Window)
	if got := s.started("a", lowered+applied+simBounds.Window, end); float64(got) < 0.9*20*(end-lowered-applied-simBounds.Window).Seconds() {
		t.Errorf("%d starts after the limit was lowered, want nearly the quota", got)
	}
}
