package admission_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gypsumford/gypsumford/admission"
	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/routing"
)

// The closed loop: entry nodes with learned levels, a wide service whose targets
// hold a slot while they call a narrow service, and clients that ask again. All
// in virtual time; chance comes from one seed.

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { old := *e; x := old[len(old)-1]; *e = old[:len(old)-1]; return x }

type plan struct {
	rate    func(at time.Duration) float64   // root calls per second
	slowed  func(at time.Duration) float64   // factor on the narrow service time
	callers func(r *rand.Rand) string        // who sends
	long    func(r *rand.Rand) (string, int) // operation and factor on its service time
	again   int                              // times that a client asks again, 50 ms later
	span    time.Duration
	from    time.Duration // start of the measured part
	plain   bool          // without the layer: first come first served, no levels
}

const (
	hop           = 1500 * time.Microsecond
	frontWork     = 2 * time.Millisecond
	narrowWork    = 10 * time.Millisecond
	frontTargets  = 3
	frontSlots    = 140
	narrowTargets = 3
	narrowSlots   = 15
	entries       = 6
	patience      = 500 * time.Millisecond
	narrowMost    = narrowTargets * narrowSlots * float64(time.Second) / float64(narrowWork)
)

type outcome struct {
	offered, good, refusedEntry, refusedDeep, late int
	firstOrders, goodFirstOrders                   int
	narrowGood, spent, wasted                      time.Duration
	byCaller                                       map[string]int
	short                                          []time.Duration
	seconds                                        map[int]int // whole requests by 100 ms
	offers                                         map[int]int
}

type target struct {
	world    *world
	id       fleet.InstanceID
	queue    *admission.Queue
	next     admission.TicketID
	pending  map[admission.TicketID]*visit
	verdicts []admission.Verdict
}

// visit is one call at one target.
type visit struct {
	request *request
	start   func(done func(admission.Result))
	end     func(call.Outcome, call.Reason)
	begun   time.Time
	running bool
	over    bool
}

type request struct {
	p         call.Priority
	caller    string
	operation string
	factor    int
	deadline  time.Time
	dead      bool
	spent     time.Duration
	narrow    time.Duration
	first     bool
	asked     time.Time
	reason    call.Reason
	again     int
	onDeath   []func()
}

type world struct {
	now   time.Time
	begin time.Time
	seq   int
	queue events
	r     *rand.Rand
	plan  plan
	out   outcome

	entries []*entry
	narrow  []*target
	fronts  []*target
	tables  []*routing.Table // of the front targets' nodes
}

type entry struct {
	levels *admission.Levels
	table  *routing.Table
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now.Add(d), w.seq, do})
}

func newWorld(p plan, seed uint64) *world {
	begin := time.Unix(1_000_000, 0)
	w := &world{now: begin, begin: begin, r: rand.New(rand.NewPCG(seed, 1)), plan: p}
	w.out.byCaller = map[string]int{}
	w.out.seconds = map[int]int{}
	w.out.offers = map[int]int{}
	var fronts, narrows []fleet.Instance
	for i := range frontTargets {
		t := w.newTarget(fmt.Sprint("front", i), frontSlots)
		w.fronts = append(w.fronts, t)
		fronts = append(fronts, fleet.Instance{ID: t.id, Service: "front", Slots: frontSlots, State: fleet.Ready})
	}
	for i := range narrowTargets {
		t := w.newTarget(fmt.Sprint("narrow", i), narrowSlots)
		w.narrow = append(w.narrow, t)
		narrows = append(narrows, fleet.Instance{ID: t.id, Service: "narrow", Slots: narrowSlots, State: fleet.Ready})
	}
	for i := range entries {
		table := routing.NewTable(routing.Config{}, "", "", seed+uint64(i))
		table.SetInstances(begin, "front", fronts)
		w.entries = append(w.entries, &entry{admission.NewLevels(), table})
	}
	for i := range frontTargets {
		table := routing.NewTable(routing.Config{}, "", "", seed+100+uint64(i))
		table.SetInstances(begin, "narrow", narrows)
		w.tables = append(w.tables, table)
	}
	return w
}

func (w *world) newTarget(id string, slots int) *target {
	cfg := admission.DefaultConfig(slots)
	if w.plan.plain {
		cfg.MaxWait = time.Hour
	}
	t := &target{world: w, id: fleet.InstanceID(id), queue: admission.NewQueue(cfg, w.now), pending: map[admission.TicketID]*visit{}}
	var tick func()
	tick = func() {
		t.act(t.queue.Tick(w.now, t.verdicts[:0]))
		w.after(admission.TickInterval, tick)
	}
	w.after(admission.TickInterval, tick)
	return t
}

// arrive gives a call to the target's queue.
func (t *target) arrive(v *visit) {
	if v.request.dead {
		return
	}
	t.next++
	id := t.next
	t.pending[id] = v
	v.request.onDeath = append(v.request.onDeath, func() { t.cancel(id) })
	a := admission.Arrival{Priority: v.request.p, Caller: v.request.caller, Operation: v.request.operation, Deadline: v.request.deadline}
	t.act(t.queue.Arrive(t.world.now, id, a, t.verdicts[:0]))
}

func (t *target) cancel(id admission.TicketID) {
	v := t.pending[id]
	if v == nil || v.over {
		return
	}
	if v.running {
		t.finish(id, admission.Abandoned)
		return
	}
	v.over = true
	delete(t.pending, id)
	t.act(t.queue.Cancel(t.world.now, id, t.verdicts[:0]))
}

func (t *target) finish(id admission.TicketID, r admission.Result) {
	v := t.pending[id]
	if v == nil || v.over {
		return
	}
	v.over = true
	delete(t.pending, id)
	v.request.spent += t.world.now.Sub(v.begun)
	if v.request.dead {
		t.world.waste(t.world.now.Sub(v.begun))
	}
	t.act(t.queue.Finish(t.world.now, id, r, nil))
	if r == admission.Completed {
		v.end(call.Completed, call.NoReason)
	}
}

func (t *target) act(verdicts []admission.Verdict) {
	for _, verdict := range verdicts {
		v := t.pending[verdict.Ticket]
		if verdict.Kind == admission.Start {
			v.running = true
			v.begun = t.world.now
			id := verdict.Ticket
			v.start(func(r admission.Result) { t.finish(id, r) })
			continue
		}
		v.over = true
		delete(t.pending, verdict.Ticket)
		v.end(call.NotRun, verdict.Reason)
	}
}

func (w *world) measured() bool { return w.now.Sub(w.begin) >= w.plan.from }

func (w *world) waste(d time.Duration) {
	if w.measured() {
		w.out.wasted += d
	}
}

func (w *world) bucket(at time.Time) int { return int(at.Sub(w.begin) / (100 * time.Millisecond)) }

// ask sends one root request through a random entry node.
func (w *world) ask(again int, class call.Class) {
	r := &request{
		p: call.PriorityOf(class, call.Rank(w.r.Uint32()>>8)), operation: "work", factor: 1, first: again == w.plan.again, again: again,
		deadline: w.now.Add(patience), asked: w.now,
	}
	if w.plan.callers != nil {
		r.caller = w.plan.callers(w.r)
	}
	if w.plan.long != nil {
		r.operation, r.factor = w.plan.long(w.r)
	}
	if w.measured() {
		w.out.offered++
		if r.first && r.p.Class() == 0 {
			w.out.firstOrders++
		}
	}
	w.out.offers[w.bucket(w.now)]++
	w.after(patience, func() { w.die(r) })
	w.after(hop, func() { w.enter(r, w.entries[w.r.IntN(entries)]) })
}

// class draws the class of a root request: a tenth are orders.
func (w *world) class() call.Class {
	switch x := w.r.Float64(); {
	case x < 0.1:
		return 0
	case x < 0.4:
		return 1
	}
	return 2
}

// die is what happens when the client's patience ends.
func (w *world) die(r *request) {
	if r.dead {
		return
	}
	r.dead = true
	trace(r, "late")
	if w.measured() {
		w.out.late++
	}
	w.waste(r.spent)
	for _, f := range r.onDeath {
		f()
	}
	w.retry(r)
}

func (w *world) retry(r *request) {
	if r.again > 0 {
		w.after(50*time.Millisecond, func() { w.ask(r.again-1, r.p.Class()) })
	}
}

var trace = func(*request, string) {}

func (w *world) refused(r *request, entry bool) {
	if r.dead {
		return
	}
	trace(r, fmt.Sprint("refused entry=", entry, r.reason))
	r.dead = true
	if w.measured() {
		if entry {
			w.out.refusedEntry++
		} else {
			w.out.refusedDeep++
		}
	}
	w.waste(r.spent)
	w.retry(r)
}

func (w *world) done(r *request) {
	if r.dead {
		return
	}
	trace(r, "done")
	r.dead = true
	w.out.seconds[w.bucket(w.now)]++
	if !w.measured() {
		return
	}
	w.out.good++
	w.out.byCaller[r.caller]++
	w.out.narrowGood += r.narrow
	w.out.spent += r.spent
	if r.first && r.p.Class() == 0 {
		w.out.goodFirstOrders++
	}
	if r.factor == 1 {
		w.out.short = append(w.out.short, w.now.Sub(r.asked))
	}
}

func (w *world) enter(r *request, e *entry) {
	if !w.plan.plain && !e.levels.Check(w.now, "front", r.operation, r.caller, r.p).Admit {
		w.after(hop, func() { w.refused(r, true) })
		return
	}
	chosen, _ := e.table.Choose(w.now, "front", routing.Ask{Operation: r.operation})
	e.table.Begin(w.now, chosen.ID)
	sent := w.now
	at := int(chosen.ID[len("front")] - '0')
	front := w.fronts[at]
	childLevel := call.AdmitAll
	v := &visit{request: r}
	v.end = func(o call.Outcome, reason call.Reason) {
		if o != call.Completed && r.p.Class() == 0 {
			trace(r, fmt.Sprint("at front", reason))
		}
		level := front.queue.Level(r.caller).Stricter(childLevel)
		s := front.queue.Stats()
		w.after(hop, func() {
			e.levels.Observe(w.now, "front", r.operation, r.caller, level)
			e.table.End(w.now, chosen.ID, routing.Sample{Operation: r.operation, Latency: w.now.Sub(sent), Outcome: o, Reason: reason,
				Feedback: routing.Feedback{Running: s.Running, Limit: s.Limit, Queued: s.Queued}})
			w.after(hop, func() {
				if o == call.Completed {
					w.done(r)
				} else {
					r.reason = reason
					w.refused(r, false)
				}
			})
		})
	}
	v.start = func(done func(admission.Result)) {
		w.after(frontWork, func() { w.child(r, at, &childLevel, v, done) })
	}
	w.after(hop, func() { front.arrive(v) })
}

// child sends the front target's call to the narrow service.
func (w *world) child(r *request, at int, level *call.Level, parent *visit, done func(admission.Result)) {
	if r.dead {
		return
	}
	table := w.tables[at]
	chosen, _ := table.Choose(w.now, "narrow", routing.Ask{Operation: r.operation})
	table.Begin(w.now, chosen.ID)
	sent := w.now
	narrow := w.narrow[int(chosen.ID[len("narrow")]-'0')]
	v := &visit{request: r}
	v.end = func(o call.Outcome, reason call.Reason) {
		told := narrow.queue.Level(r.caller)
		s := narrow.queue.Stats()
		if o == call.Completed {
			r.narrow = w.now.Sub(v.begun)
		}
		w.after(hop, func() {
			*level = told
			table.End(w.now, chosen.ID, routing.Sample{Operation: r.operation, Latency: w.now.Sub(sent), Outcome: o, Reason: reason,
				Feedback: routing.Feedback{Running: s.Running, Limit: s.Limit, Queued: s.Queued}})
			if o == call.Completed {
				done(admission.Completed)
				return
			}
			// The target answers its caller that it could not do the work.
			parent.end = wrapRefusal(parent.end, reason)
			done(admission.Completed)
		})
	}
	v.start = func(done func(admission.Result)) {
		slowed := 1.0
		if w.plan.slowed != nil {
			slowed = w.plan.slowed(w.now.Sub(w.begin))
		}
		work := time.Duration(w.r.ExpFloat64() * 0.5 * float64(narrowWork))
		work += narrowWork / 2
		w.after(time.Duration(float64(work)*slowed)*time.Duration(r.factor), func() { done(admission.Completed) })
	}
	w.after(hop, func() { narrow.arrive(v) })
}

func wrapRefusal(end func(call.Outcome, call.Reason), reason call.Reason) func(call.Outcome, call.Reason) {
	return func(call.Outcome, call.Reason) { end(call.NotRun, reason) }
}

func (w *world) run() outcome {
	var arrive func()
	arrive = func() {
		w.ask(w.plan.again, w.class())
		w.after(w.gap(), arrive)
	}
	w.after(w.gap(), arrive)
	end := w.begin.Add(w.plan.span)
	for len(w.queue) > 0 && w.queue[0].at.Before(end) {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.do()
	}
	return w.out
}

func (w *world) gap() time.Duration {
	rate := w.plan.rate(w.now.Sub(w.begin))
	return time.Duration(w.r.ExpFloat64() / rate * float64(time.Second))
}

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

func (o outcome) report(t *testing.T, name string, p plan) {
	seconds := (p.span - p.from).Seconds()
	slots := float64(narrowTargets * narrowSlots)
	t.Logf("%s: goodput %.3f of the most (%.0f/s), utilisation %.3f, waste %.4f, orders %.4f (%d), refused entry %d deep %d, late %d",
		name, float64(o.good)/seconds/narrowMost, float64(o.good)/seconds, o.narrowGood.Seconds()/(slots*seconds),
		o.wasted.Seconds()/(o.spent+o.wasted).Seconds(),
		float64(o.goodFirstOrders)/float64(max(o.firstOrders, 1)), o.firstOrders, o.refusedEntry, o.refusedDeep, o.late)
}

func TestLoopTwice(t *testing.T) {
	p := plan{rate: constant(2 * narrowMost), again: 3, span: 8 * time.Second, from: 2 * time.Second}
	newWorld(p, 1).run().report(t, "2x", p)
	p.plain = true
	newWorld(p, 1).run().report(t, "2x without levels", p)
}

func TestLoopCrest(t *testing.T) {
	p := plan{again: 3, span: 7 * time.Second, from: 2 * time.Second}
	p.rate = func(at time.Duration) float64 {
		if at < 2*time.Second {
			return 0.8 * narrowMost
		}
		return 4 * narrowMost
	}
	out := newWorld(p, 2).run()
	out.report(t, "step by 5", p)
	for b := 18; b < 40; b++ {
		t.Logf("at %.1f s: %d whole of %d offered", float64(b)/10, out.seconds[b], out.offers[b])
	}
}

func TestLoopRecovery(t *testing.T) {
	p := plan{again: 3, span: 9 * time.Second, from: 2 * time.Second}
	p.rate = func(at time.Duration) float64 {
		if at > 2*time.Second && at < 5*time.Second {
			return 1.6 * narrowMost
		}
		return 0.8 * narrowMost
	}
	p.slowed = func(at time.Duration) float64 {
		if at > 2*time.Second && at < 5*time.Second {
			return 4
		}
		return 1
	}
	out := newWorld(p, 3).run()
	out.report(t, "slowed by 4 while demand doubles", p)
	for b := 48; b < 70; b++ {
		t.Logf("at %.1f s: %d whole of %d offered", float64(b)/10, out.seconds[b], out.offers[b])
	}
}

func TestLoopFairShare(t *testing.T) {
	share := narrowMost * 0.8 / 4
	alone := plan{rate: constant(3 * share), span: 8 * time.Second, from: 2 * time.Second}
	alone.callers = func(r *rand.Rand) string { return [...]string{"a", "b", "c"}[r.IntN(3)] }
	without := newWorld(alone, 4).run()
	flooded := plan{rate: constant(13 * share), span: 8 * time.Second, from: 2 * time.Second, again: 3}
	flooded.callers = func(r *rand.Rand) string {
		if x := r.IntN(13); x < 3 {
			return [...]string{"a", "b", "c"}[x]
		}
		return "d"
	}
	with := newWorld(flooded, 4).run()
	with.report(t, "one of four at 10 times its share", flooded)
	t.Logf("a %d/%d b %d/%d c %d/%d d %d", with.byCaller["a"], without.byCaller["a"], with.byCaller["b"], without.byCaller["b"], with.byCaller["c"], without.byCaller["c"], with.byCaller["d"])
}
