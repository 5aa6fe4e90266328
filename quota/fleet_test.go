package quota

import (
	"fmt"
	"testing"
	"time"
)

func oneAccount() []Account { return []Account{{"a", Limit{200, 200}}} }

// usable returns how much of the account's quota was used between two times.
func (s *sim) usable(account string, from, until time.Duration) float64 {
	return float64(s.started(account, from, until)) / s.limit(account).Rate / (until - from).Seconds()
}

// TestGrowth guards against starts beyond the bound, and against a quota that stays unused, while
// a fleet of 88 nodes grows to 300 at once.
func TestGrowth(t *testing.T) {
	s := newSim(t, 1, 88, oneAccount())
	const grown, end = 14 * time.Second, 34 * time.Second
	s.load("a", 1600, 8*time.Second, end, s.anyNode)
	s.run(grown)
	for len(s.nodes) < 300 {
		s.addNode()
	}
	s.run(end)
	most, _ := s.most("a", 0)
	t.Logf("at most %d starts in a window, allowed %d; used %.3f before, %.3f in the 10 s while it grows, %.3f after",
		most, allowed(s.limit("a")), s.usable("a", 9*time.Second, grown), s.usable("a", grown, grown+10*time.Second), s.usable("a", end-8*time.Second, end))
	s.check(0)
	if used := s.usable("a", end-8*time.Second, end); used < 0.95 {
		t.Errorf("%.3f of the quota used after the fleet has grown", used)
	}
}

// TestGoneForGood guards against a quota that stays unused because the roster holds instances
// that will never return: up to seven of 88.
func TestGoneForGood(t *testing.T) {
	s := newSim(t, 1, 88, oneAccount())
	for _, n := range s.nodes[:7] {
		s.kill(n)
	}
	const end = 26 * time.Second
	s.load("a", 1600, 8*time.Second, end, func() *simNode { return s.nodes[7+s.random.IntN(81)] })
	s.run(end)
	used := s.usable("a", 14*time.Second, end)
	t.Logf("%.3f of the quota used", used)
	if used < 0.95 {
		t.Errorf("%.3f of the quota used", used)
	}
	s.check(0)
}

// TestHomeEnds guards against a home that isn't replaced when it is killed, or one that stops and
// keeps the parts until their terms end.
func TestHomeEnds(t *testing.T) {
	for _, planned := range []bool{false, true} {
		s := newSim(t, 2, 88, oneAccount())
		const ends, end = 14 * time.Second, 26 * time.Second
		s.load("a", 1600, 8*time.Second, end, s.anyNode)
		s.run(ends)
		home := s.byName[s.nodes[0].table.parts[GroupOf("a")].holder]
		if planned {
			s.send(home, home.table.Stop(s.clock(home)))
			for _, n := range s.nodes {
				delete(n.roster, home.name)
			}
			s.after(100*ms, func() { s.kill(home) })
		} else {
			s.kill(home)
		}
		s.run(end)
		outage := time.Duration(0)
		for from := ends; from < end; from += 100 * ms {
			if s.started("a", from, from+100*ms) == 0 {
				outage += 100 * ms
			}
		}
		t.Logf("planned %t: no starts for %v, %.3f of the quota used from 4 s on", planned, outage, s.usable("a", ends+4*time.Second, end))
		if outage > 4*time.Second || planned && outage > time.Second {
			t.Errorf("planned %t: no starts for %v", planned, outage)
		}
		if used := s.usable("a", ends+4*time.Second, end); used < 0.95 {
			t.Errorf("planned %t: %.3f of the quota used afterwards", planned, used)
		}
		s.check(0)
	}
}

// TestCutOffNode guards against a node without any quota: one that reaches no other must use its
// own part.
func TestCutOffNode(t *testing.T) {
	s := newSim(t, 1, 10, oneAccount())
	const cut, end = 10 * time.Second, 40 * time.Second
	alone := s.nodes[3]
	s.load("a", 100, cut, end, func() *simNode { return alone })
	s.run(cut)
	for _, n := range s.nodes {
		if n != alone {
			s.cut[pair(n, alone)] = true
		}
	}
	s.run(end)
	used := s.usable("a", cut+10*time.Second, end)
	t.Logf("%.3f of the quota used, %v refused", used, s.refused["a"])
	if d, _ := alone.table.Take(s.clock(alone), "a", false); d.Verdict == Exceeded && !d.IsPartial {
		t.Error("a node that is cut off states that the quota is exceeded")
	}
	if used < 0.095 || used > 0.105 {
		t.Errorf("a node of 10 that is cut off used %.3f of the quota", used)
	}
	s.check(0)
}

// TestManyAccounts guards against memory that grows with the accounts that were ever used: what
// nodes keep of them must go when they aren't used, and leave their buckets full.
func TestManyAccounts(t *testing.T) {
	var accounts []Account
	for i := range 10_000 {
		accounts = append(accounts, Account{fmt.Sprintf("a-%d", i), Limit{10, 10}})
	}
	s := newSim(t, 1, 5, accounts)
	s.run(8 * time.Second)
	for _, a := range accounts {
		s.request(s.anyNode(), a.Name)
	}
	s.run(9 * time.Second)
	kept := func() (entries, buckets int) {
		for _, n := range s.nodes {
			stats := n.table.Stats(s.clock(n))
			entries, buckets = entries+stats.Accounts, buckets+stats.Buckets
		}
		return entries, buckets
	}
	entries, buckets := kept()
	t.Logf("in use: %d entries, %d buckets", entries, buckets)
	s.run(14 * time.Second)
	if entries, buckets = kept(); entries > 0 || buckets > 0 {
		t.Errorf("%d entries and %d buckets kept of accounts that aren't used", entries, buckets)
	}
	for range 10 {
		s.request(s.nodes[0], "a-0")
	}
	s.run(15 * time.Second)
	if got := s.started("a-0", 14*time.Second, 15*time.Second); got != 10 {
		t.Errorf("%d of a burst of 10 started", got)
	}
}

// TestHomeStalls guards against a short stall of a home that costs its accounts a whole term.
func TestHomeStalls(t *testing.T) {
	s := newSim(t, 2, 88, oneAccount())
	const stalls, end = 14 * time.Second, 24 * time.Second
	s.load("a", 1600, 8*time.Second, end, s.anyNode)
	s.run(stalls)
	s.freeze(s.byName[s.nodes[0].table.parts[GroupOf("a")].holder], 1300*ms)
	s.run(end)
	outage := time.Duration(0)
	for from := stalls; from < end; from += 100 * ms {
		if s.started("a", from, from+100*ms) < 4 { // a fifth of the quota
			outage += 100 * ms
		}
	}
	t.Logf("a stall of 1.3 s cost %v", outage)
	if outage > 1700*ms {
		t.Errorf("a stall of 1.3 s cost %v", outage)
	}
	s.check(0)
}

// TestFleetRestarts guards against a fleet that grants no quota for the whole term of earlier
// delegations after all of its processes were killed at once: no process is left that holds them.
func TestFleetRestarts(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		s := newSim(t, seed, 88, oneAccount())
		const ends, end = 14 * time.Second, 26 * time.Second
		s.load("a", 1600, 8*time.Second, end, s.anyNode)
		s.run(ends)
		started := ends
		for _, n := range s.nodes {
			s.kill(n)
			after := 500*ms + time.Duration(s.random.Int64N(int64(500*ms)))
			started = max(started, ends+after)
			s.after(after, func() { s.start(n) })
		}
		s.run(end)
		outage := time.Duration(0)
		for from := started; from < end; from += 100 * ms {
			if s.started("a", from, from+100*ms) == 0 {
				outage += 100 * ms
			}
		}
		t.Logf("seed %d: no starts for %v after the last process was started", seed, outage)
		if outage > time.Second {
			t.Errorf("seed %d: no starts for %v", seed, outage)
		}
		s.check(0)
	}
}
