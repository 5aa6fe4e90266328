package quota

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	simWait = 250 * time.Millisecond // that a request waits for tokens
	ms      = time.Millisecond
)

var simBounds = Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// sim runs the tables of many nodes in virtual time, with a network between them.
type sim struct {
	t        *testing.T
	random   *rand.Rand
	now      time.Duration
	events   eventQueue
	sequence int
	nodes    []*simNode
	byName   map[string]*simNode
	accounts []Account
	cut      map[[2]int]bool // pairs of nodes that don't reach each other
	spread   time.Duration   // up to which nodes learn of each other at different times
	lossRate float64         // of messages
	lateRate float64         // of messages that are delayed by up to lateBy
	lateBy   time.Duration
	// notRun is the fraction of admitted requests that end without a start, after a while.
	notRun  float64
	starts  map[string][]time.Duration
	refused map[string]map[Verdict]int
	// wrongly counts refusals of requests that a single bucket for all nodes would admit.
	wrongly map[string]int
	ideal   map[string]*bucket
	frames  int
	asks    int
}

type simNode struct {
	index       int
	name        string
	table       *Table
	offset      time.Duration // of its boot clock
	process     int64
	incarnation int64 // start of the process in milliseconds
	isUp        bool
	frozen      bool
	held        []func()        // what happens when it wakes
	roster      map[string]bool // instances that it knows
	names       []string        // the same, sorted
	waiting     map[string][]*simRequest
}

type simRequest struct {
	account  string
	ended    bool
	conforms bool // a single bucket for all nodes would admit it
}

type event struct {
	at       time.Duration
	sequence int
	do       func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSim(t *testing.T, seed uint64, nodes int, accounts []Account) *sim {
	s := &sim{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), spread: 2 * time.Second, byName: map[string]*simNode{}, accounts: accounts, cut: map[[2]int]bool{},
		wrongly: map[string]int{}, ideal: map[string]*bucket{}, starts: map[string][]time.Duration{}, refused: map[string]map[Verdict]int{},
	}
	for range nodes {
		s.addNode()
	}
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.events, event{s.now + d, s.sequence, do})
}

func (s *sim) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// addNode starts a further node. All nodes learn of each other within spread.
func (s *sim) addNode() *simNode {
	n := &simNode{index: len(s.nodes), name: fmt.Sprintf("i-%03d", len(s.nodes)), roster: map[string]bool{}}
	s.nodes, s.byName[n.name] = append(s.nodes, n), n
	s.start(n)
	for _, other := range s.nodes {
		s.after(time.Duration(s.random.Int64N(int64(s.spread))), func() { other.roster[n.name] = true })
		s.after(time.Duration(s.random.Int64N(int64(s.spread))), func() { n.roster[other.name] = true })
	}
	return n
}

// start starts a process of the node. Now and then its machine was started, too.
func (s *sim) start(n *simNode) {
	if s.random.IntN(2) == 0 {
		n.offset = time.Duration(s.random.Int64N(int64(time.Hour))) - s.now
	}
	n.process++
	n.isUp, n.frozen, n.held, n.waiting = true, false, nil, map[string][]*simRequest{}
	n.incarnation = max(n.incarnation+1, s.now.Milliseconds())
	n.table = NewTable(s.clock(n), n.name, n.incarnation, simBounds)
	if s.now == 0 {
		n.table.FirstStart()
	}
	n.table.Configure(s.clock(n), 1, s.accounts)
	process := n.process
	var tick func()
	tick = func() {
		if n.process != process || !n.isUp {
			return
		}
		s.after(TickInterval, tick)
		s.at(n, func() {
			n.roster[n.name] = true
			if len(n.roster) != len(n.names) {
				n.names = slices.Collect(maps.Keys(n.roster))
				slices.Sort(n.names)
			}
			n.table.SetRoster(s.clock(n), n.names, len(n.names) > 1)
			s.send(n, n.table.Tick(s.clock(n)))
		})
	}
	s.after(time.Duration(s.random.Int64N(int64(TickInterval))), tick)
}

func (s *sim) clock(n *simNode) time.Duration { return s.now + n.offset }

// at lets the node do something now, or when it wakes.
func (s *sim) at(n *simNode, do func()) {
	if !n.isUp {
		return
	}
	if n.frozen {
		n.held = append(n.held, do)
		return
	}
	do()
}

func (s *sim) kill(n *simNode) { n.isUp = false }

func (s *sim) freeze(n *simNode, d time.Duration) {
	process := n.process
	n.frozen = true
	s.after(d, func() {
		if n.process != process {
			return
		}
		n.frozen = false
		held := n.held
		n.held = nil
		s.random.Shuffle(len(held), func(i, j int) { held[i], held[j] = held[j], held[i] })
		for _, do := range held {
			do()
		}
	})
}

func (s *sim) send(from *simNode, out []Outgoing) {
	for _, o := range out {
		s.frames++
		s.asks += len(o.Message.Asks)
		to := s.byName[o.To]
		if s.random.Float64() < s.lossRate {
			continue
		}
		delay := 200*time.Microsecond + time.Duration(s.random.Int64N(int64(1300*time.Microsecond)))
		if s.random.Float64() < s.lateRate {
			delay += time.Duration(s.random.Int64N(int64(s.lateBy)))
		}
		s.after(delay, func() {
			if s.isCut(from, to) {
				return
			}
			s.at(to, func() {
				out, wake := to.table.Receive(s.clock(to), o.Message)
				s.send(to, out)
				for _, account := range wake {
					waiting := to.waiting[account]
					delete(to.waiting, account)
					for _, r := range waiting {
						s.decide(to, r, true)
					}
				}
			})
		})
	}
}

func pair(a, b *simNode) [2]int { return [2]int{min(a.index, b.index), max(a.index, b.index)} }

func (s *sim) isCut(a, b *simNode) bool { return s.cut[pair(a, b)] }

// partition divides the nodes into groups by chance. Pairs of groups still reach each other with
// the probability.
func (s *sim) partition(groups int, reach float64) {
	s.cut = map[[2]int]bool{}
	reaches := map[[2]int]bool{}
	for a := range groups {
		for b := a + 1; b < groups; b++ {
			reaches[[2]int{a, b}] = s.random.Float64() < reach
		}
	}
	group := make([]int, len(s.nodes))
	for i := range group {
		group[i] = s.random.IntN(groups)
	}
	for i := range s.nodes {
		for j := i + 1; j < len(s.nodes); j++ {
			a, b := min(group[i], group[j]), max(group[i], group[j])
			if a != b && !reaches[[2]int{a, b}] {
				s.cut[[2]int{i, j}] = true
			}
		}
	}
}

func (s *sim) request(n *simNode, account string) {
	s.at(n, func() {
		r := &simRequest{account: account, conforms: s.conforms(account)}
		s.decide(n, r, false)
		if !r.ended {
			s.after(simWait, func() {
				s.at(n, func() {
					if !r.ended {
						n.waiting[account] = slices.DeleteFunc(n.waiting[account], func(w *simRequest) bool { return w == r })
						s.end(n, r, n.table.TakeLate(s.clock(n), account))
					}
				})
			})
		}
	})
}

// conforms takes a token from a single bucket for all nodes.
func (s *sim) conforms(account string) bool {
	b := s.ideal[account]
	if b == nil {
		limit := s.limit(account)
		b = &bucket{limit: limit, level: limit.Burst}
		s.ideal[account] = b
	}
	b.level = min(b.level+b.limit.Rate*(s.now-b.at).Seconds(), b.limit.Burst)
	b.at = s.now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

func (s *sim) decide(n *simNode, r *simRequest, isRepeated bool) {
	d, out := n.table.Take(s.clock(n), r.account, isRepeated)
	s.send(n, out)
	if d.Verdict == Wait {
		n.waiting[r.account] = append(n.waiting[r.account], r)
		return
	}
	s.end(n, r, d)
}

func (s *sim) end(n *simNode, r *simRequest, d Decision) {
	r.ended = true
	if d.Verdict != Granted {
		if s.refused[r.account] == nil {
			s.refused[r.account] = map[Verdict]int{}
		}
		s.refused[r.account][d.Verdict]++
		if r.conforms {
			s.wrongly[r.account]++
		}
		return
	}
	if s.random.Float64() < s.notRun {
		s.after(time.Duration(s.random.Int64N(int64(600*ms))), func() {
			s.at(n, func() { n.table.Return(s.clock(n), d.Token) })
		})
		return
	}
	s.starts[r.account] = append(s.starts[r.account], s.now)
}

// load sends requests of the account at a rate, at random times, from one of the nodes each.
func (s *sim) load(account string, rate float64, from, until time.Duration, nodes func() *simNode) {
	var next func()
	next = func() {
		if s.now >= until {
			return
		}
		s.request(nodes(), account)
		s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	s.after(from-s.now, next)
}

func (s *sim) anyNode() *simNode { return s.nodes[s.random.IntN(len(s.nodes))] }

// most returns the largest number of starts of the account in a window that ends after the time.
func (s *sim) most(account string, since time.Duration) (count int, end time.Duration) {
	list := s.starts[account]
	first := 0
	for i, at := range list {
		for list[first] <= at-simBounds.Window {
			first++
		}
		if at >= since && i-first+1 > count {
			count, end = i-first+1, at
		}
	}
	return count, end
}

func (s *sim) started(account string, from, until time.Duration) int {
	count := 0
	for _, at := range s.starts[account] {
		if at >= from && at < until {
			count++
		}
	}
	return count
}

func (s *sim) limit(account string) Limit {
	return s.accounts[slices.IndexFunc(s.accounts, func(a Account) bool { return a.Name == account })].Limit
}

func allowed(l Limit) int { return int((l.Rate*simBounds.Window.Seconds()+l.Burst)*1.1 + 20) }

// check fails if the starts of an account exceed the bound in a window that ends after the time.
func (s *sim) check(since time.Duration) {
	s.t.Helper()
	for _, a := range s.accounts {
		if most, end := s.most(a.Name, since); most > allowed(a.Limit) {
			s.t.Errorf("%s: %d starts in the window up to %v, allowed are %d", a.Name, most, end, allowed(a.Limit))
		}
	}
}
