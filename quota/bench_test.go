package quota

import (
	"fmt"
	"testing"
	"time"
)

// homeTable returns a table that holds the parts of all of 300 instances.
func homeTable(accounts []Account) (*Table, time.Duration) {
	t := NewTable(0, "home", 1, simBounds)
	t.Configure(0, 1, accounts)
	for g := range t.homes {
		t.parts[g].choice, t.parts[g].holder = "home", "home"
		for i := range 300 {
			t.homes[g].delegate(0, fmt.Sprintf("i-%d", i), delegation{part: partOf(300)})
		}
	}
	return t, time.Minute
}

// BenchmarkTake measures the decision on one request at an entry that holds tokens.
func BenchmarkTake(b *testing.B) {
	t, now := homeTable([]Account{{"a", Limit{1e9, 1e9}}})
	t.parts[GroupOf("a")].choice = "other"
	t.entries["a"] = &entry{batches: []batch{{1 << 60, time.Hour}}}
	b.ReportAllocs()
	for b.Loop() {
		if d, _ := t.Take(now, "a", false); d.Verdict != Granted {
			b.Fatal(d)
		}
	}
}

// BenchmarkAsk measures what an ask costs its home.
func BenchmarkAsk(b *testing.B) {
	t, now := homeTable(simAccounts())
	m := &Message{From: "i-1", Incarnation: 1, Asks: []Ask{{Account: "a-0", Need: 1}}}
	b.ReportAllocs()
	for b.Loop() {
		now += time.Millisecond
		t.Receive(now, m)
	}
}

// BenchmarkRenewal measures what a renewal costs a home of all groups, with buckets of 10,000
// accounts.
func BenchmarkRenewal(b *testing.B) {
	var accounts []Account
	for i := range 10_000 {
		accounts = append(accounts, Account{fmt.Sprintf("a-%d", i), Limit{100, 100}})
	}
	t, now := homeTable(accounts)
	for _, a := range accounts {
		t.grant(now, &Ask{Account: a.Name, Need: 1})
	}
	b.ReportAllocs()
	for b.Loop() {
		now += time.Millisecond
		m := &Message{From: "i-1", Incarnation: 1, Sent: now, Renewal: &Renewal{Incarnation: 1, Stamp: now, Term: term(300), Part: partOf(300), Groups: 1<<Groups - 1}}
		t.Receive(now, m)
	}
}

// BenchmarkTick measures the periodic work of a node of a fleet in calm.
func BenchmarkTick(b *testing.B) {
	s := newSim(&testing.T{}, 1, 88, simAccounts())
	s.run(10 * time.Second)
	t, now := s.nodes[0].table, s.clock(s.nodes[0])
	b.ReportAllocs()
	for b.Loop() {
		t.Tick(now)
	}
}
