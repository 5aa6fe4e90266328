package quota

import (
	"fmt"
	"testing"
	"time"
)

// simAccounts are some of the accounts that are usual: rates by a Zipf law, burst = rate.
func simAccounts() []Account {
	var list []Account
	for i, rate := range []float64{680, 340, 170, 85, 40, 20, 10, 5} {
		list = append(list, Account{fmt.Sprintf("a-%d", i), Limit{rate, rate}})
	}
	return list
}

// TestCalm guards against quotas that can't be used: after the start of the fleet, accounts at
// their usual load must not be refused, and one that sends 8 times its quota must get 0.95 of it.
func TestCalm(t *testing.T) {
	for _, nodes := range []int{88, 300} {
		for _, oneNode := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d/%t", nodes, oneNode), func(t *testing.T) {
				t.Parallel()
				s := newSim(t, 1, 0, simAccounts())
				if s.spread = 6 * time.Second; oneNode {
					s.spread = 2 * time.Second
				}
				for range nodes {
					s.addNode()
				}
				const start, surge, end = 8 * time.Second, 14 * time.Second, 22 * time.Second
				for i, a := range s.accounts {
					pick := s.anyNode
					if oneNode {
						pick = func() *simNode { return s.nodes[(7*i+3)%len(s.nodes)] }
					}
					s.load(a.Name, a.Rate/1.6, start, end, pick)
				}
				s.run(surge)
				for _, a := range s.accounts {
					if n := s.wrongly[a.Name]; n > 0 {
						t.Errorf("%s: refused below the quota: %d, %d started", a.Name, n, s.started(a.Name, start, surge))
					}
				}
				frames, asks := s.frames, s.asks
				for i, name := range []string{"a-0", "a-3", "a-6"} {
					pick := s.anyNode
					if oneNode {
						pick = func() *simNode { return s.nodes[(11*i+5)%len(s.nodes)] }
					}
					s.load(name, 8*s.limit(name).Rate, surge, end, pick)
				}
				s.run(end)
				seconds := (end - surge).Seconds()
				t.Logf("frames a second and node %.1f, asks %.1f", float64(s.frames-frames)/seconds/float64(nodes), float64(s.asks-asks)/seconds/float64(nodes))
				for _, name := range []string{"a-0", "a-3", "a-6"} {
					got := s.started(name, surge+time.Second, end)
					want := s.limit(name).Rate * (end - surge - time.Second).Seconds()
					t.Logf("%s: %.3f of the quota", name, float64(got)/want)
					if float64(got) < 0.95*want {
						t.Errorf("%s: %d starts, want 0.95 of %.0f", name, got, want)
					}
				}
				for _, name := range []string{"a-1", "a-2", "a-4", "a-5", "a-7"} {
					if n := s.wrongly[name]; n > 0 {
						t.Errorf("%s: refused below the quota: %d", name, n)
					}
				}
				s.check(0)
			})
		}
	}
}
