package claim_test

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/claim"
	"github.com/gypsumford/gypsumford/fleet"
)

const (
	service         = "orders"
	platformTimeout = 200 * time.Millisecond
	fewMillis       = 20 // longest latency of one way to the platform or a target
	maxEvents       = 200_000
)

var epoch = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// choose draws a number below n.
type choose func(label string, n int) int

// world drives several homes over a fake platform in virtual time, and keeps
// the oracle: a count of runs for each key.
type world struct {
	now      time.Time
	choose   choose
	fail     func(format string, args ...any)
	events   eventHeap
	eventSeq int
	handled  int

	nodes    []*node
	platform *fakePlatform
	oneWayMS int // longest latency of one way to the platform or a target
	faults   faults
	config   claim.Config
	keys     map[claim.Fingerprint]*keyHistory
	asks     []*ask
}

// faults are the chances, in percent, that a call goes wrong.
type faults struct {
	platform int
	runs     int
}

// node is one instance. Its home is replaced when it restarts.
type node struct {
	world    *world
	number   int
	restarts int
	id       fleet.InstanceID
	home     *claim.Home
	paused   bool
	draining bool
	backlog  []func(*claim.Home) []claim.Action
	tickAt   time.Time
}

// keyHistory is what the oracle knows of one key.
type keyHistory struct {
	runs   int
	answer *claim.Answer // of the first run
	asks   []*ask
}

// ask is one call of a caller.
type ask struct {
	id       claim.WaiterID
	key      claim.Key
	node     *node
	instance fleet.InstanceID
	asked    time.Time
	deadline time.Time
	ended    time.Time // zero while pending
	gone     bool      // the caller went away
	ran      bool      // the call was handed to a target
	outcome  call.Outcome
	reason   call.Reason
	retry    time.Duration
	answer   *claim.Answer
	handed   time.Time // when the call was handed to a target
	done     func()    // called at the end, may be nil
}

func newWorld(nodes int, config claim.Config, choose choose, fail func(string, ...any)) *world {
	w := &world{
		now:      epoch,
		oneWayMS: fewMillis,
		config:   config,
		choose:   choose,
		fail:     fail,
		platform: &fakePlatform{objects: map[int]object{}},
		keys:     map[claim.Fingerprint]*keyHistory{},
	}
	for i := range nodes {
		n := &node{world: w, number: i}
		n.start()
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (n *node) start() {
	n.restarts++
	n.id = fleet.InstanceID(fmt.Sprintf("n%d-%d", n.number, n.restarts))
	n.home = claim.NewHome(n.world.config, n.id, service, n.world.now)
	n.backlog = nil
	n.paused = false
	n.draining = false
	n.tickAt = time.Time{}
}

// restart kills the process and starts another one at once. Calls that it held
// are unknown to their callers.
func (n *node) restart() {
	for _, a := range n.world.asks {
		if a.instance == n.id && a.ended.IsZero() {
			n.world.end(a, call.Unknown, nil)
		}
	}
	n.start()
}

// deliver gives the home an event, once it is not paused any more.
func (n *node) deliver(event func(*claim.Home) []claim.Action) {
	if n.paused {
		n.backlog = append(n.backlog, event)
		return
	}
	n.perform(event(n.home))
	n.scheduleTick()
}

// later delivers an event to this run of the process after a delay.
func (n *node) later(delay time.Duration, event func(*claim.Home) []claim.Action) {
	n.laterTo(n.home, delay, event)
}

// laterTo delivers an event after a delay if the node has not been restarted
// since it had this home.
func (n *node) laterTo(home *claim.Home, delay time.Duration, event func(*claim.Home) []claim.Action) {
	n.world.after(delay, func() {
		if n.home == home {
			n.deliver(event)
		}
	})
}

func (n *node) resume() {
	n.paused = false
	backlog := n.backlog
	n.backlog = nil
	for _, event := range backlog {
		n.deliver(event)
	}
	n.scheduleTick()
}

func (n *node) scheduleTick() {
	next, ok := n.home.NextTick()
	if !ok || n.tickAt.Equal(next) && next.After(n.world.now) {
		return
	}
	n.tickAt = next
	delay := max(next.Sub(n.world.now), time.Millisecond)
	n.later(delay, func(h *claim.Home) []claim.Action {
		n.tickAt = time.Time{}
		return h.Tick(n.world.now)
	})
}

func (n *node) perform(actions []claim.Action) {
	for _, a := range actions {
		switch a.Kind {
		case claim.Read:
			n.world.read(n, a)
		case claim.Write:
			n.world.write(n, a)
		case claim.Run:
			n.world.run(n, a)
		case claim.Reply:
			n.world.answer(a, call.Completed)
		case claim.RefuseNotRun:
			n.world.answer(a, call.NotRun)
		case claim.AnswerUnknown:
			n.world.answer(a, call.Unknown)
		}
	}
}

// ask sends a call with the key to the node.
func (w *world) ask(n *node, key claim.Key, timeout time.Duration) *ask {
	a := &ask{
		id:       claim.WaiterID(len(w.asks) + 1),
		key:      key,
		node:     n,
		instance: n.id,
		asked:    w.now,
		deadline: w.now.Add(timeout),
	}
	w.asks = append(w.asks, a)
	history := w.history(key)
	history.asks = append(history.asks, a)
	n.deliver(func(h *claim.Home) []claim.Action { return h.Ask(w.now, a.id, key, a.deadline) })
	return a
}

// leave tells the node that the caller of a pending call went away.
func (w *world) leave(a *ask) {
	a.gone = true
	w.end(a, call.Unknown, nil)
	if a.instance == a.node.id {
		a.node.deliver(func(h *claim.Home) []claim.Action { return h.Gone(w.now, a.id) })
	}
}

func (w *world) history(key claim.Key) *keyHistory {
	h := w.keys[key.Fingerprint()]
	if h == nil {
		h = &keyHistory{}
		w.keys[key.Fingerprint()] = h
	}
	return h
}

func (w *world) end(a *ask, outcome call.Outcome, answer *claim.Answer) {
	a.ended = w.now
	a.outcome = outcome
	a.answer = answer
	if a.done != nil {
		a.done()
	}
}

// answer takes a home's answer to a waiter and checks what it says.
func (w *world) answer(action claim.Action, outcome call.Outcome) {
	a := w.asks[action.Waiter-1]
	if a.gone {
		return
	}
	if !a.ended.IsZero() || a.ran {
		w.fail("call %d got a second answer: %v", a.id, action.Kind)
	}
	if action.Key != a.key {
		w.fail("call %d got the answer of another key", a.id)
	}
	if outcome == call.Completed && action.Answer != w.history(a.key).answer {
		w.fail("call %d got an answer that is not the first run's", a.id)
	}
	a.reason = action.Reason
	a.retry = action.RetryAfter
	w.end(a, outcome, action.Answer)
}

// run hands a call to a target. The target may shed it, run it and answer, or
// run it while the answer is lost.
func (w *world) run(n *node, action claim.Action) {
	a := w.asks[action.Waiter-1]
	if !a.gone && !a.ended.IsZero() {
		w.fail("call %d runs after its answer %v", a.id, a.outcome)
	}
	if a.ran {
		w.fail("call %d was handed over twice", a.id)
	}
	a.ran = true
	a.handed = w.now
	result := w.target(a)
	n.later(w.latency(), func(h *claim.Home) []claim.Action {
		if a.ended.IsZero() {
			w.end(a, result.Outcome, result.Answer)
		}
		return h.Ran(w.now, a.key, result)
	})
}

func (w *world) target(a *ask) claim.RunResult {
	const sheds, loses = 0, 1
	fault := -1
	if w.choose("run fault", 100) < w.faults.runs {
		fault = w.choose("run fault kind", 2)
	}
	if fault == sheds {
		a.ran = false
		return claim.RunResult{Outcome: call.NotRun, Reason: call.ReasonShed}
	}
	history := w.history(a.key)
	history.runs++
	if history.runs > 1 {
		w.fail("key %v ran %d times", a.key.Fingerprint(), history.runs)
	}
	history.answer = &claim.Answer{Status: 201, Body: []byte(a.key.Fingerprint().String())}
	if fault == loses {
		return claim.RunResult{Outcome: call.Unknown}
	}
	return claim.RunResult{Outcome: call.Completed, Answer: history.answer}
}

// checkNotRun checks that a key whose calls were all refused never ran.
func (w *world) checkNotRun() {
	for _, history := range w.keys {
		if history.runs > 0 && len(history.asks) > 0 && history.allRefused() {
			w.fail("key %v ran, but all its calls were answered 'not run'", history.asks[0].key.Fingerprint())
		}
	}
}

func (h *keyHistory) allRefused() bool {
	for _, a := range h.asks {
		if a.ended.IsZero() || a.outcome != call.NotRun {
			return false
		}
	}
	return true
}

func (w *world) latency() time.Duration {
	return time.Duration(1+w.choose("latency ms", w.oneWayMS)) * time.Millisecond
}

// advance handles all events of the next d.
func (w *world) advance(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
		w.handled++
		if w.handled > maxEvents {
			w.fail("more than %d events: a home is busy with nothing", maxEvents)
			return
		}
	}
	w.now = end
}

func (w *world) after(delay time.Duration, do func()) {
	w.eventSeq++
	heap.Push(&w.events, event{w.now.Add(delay), w.eventSeq, do})
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
