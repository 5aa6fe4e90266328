package admission_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

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
	rate     func(at time.Duration) float64 // root calls per second
	slowed   func(at time.Duration) float64 // factor on the narrow service time
	callers  func(r *rand.Rand) string      // who sends
	again    int                            // times that a client asks again, 50 ms later
	span     time.Duration
	from     time.Duration // start of the measured part
	oneClass bool
	even     time.Duration // service time of the narrow service, spread by a fifth
	wait     time.Duration // how long clients wait, patience if zero
	plain    bool          // without the layer: first come first served, no levels
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
	good, refusedEntry, refusedDeep, late int
	firstOrders, goodFirstOrders          int
	narrowGood, spent, wasted             time.Duration
	byCaller, firstBy                     map[string]int
	whole                                 map[int]int // whole requests by 100 ms
	offers                                map[int]int
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
	deadline  time.Time
	dead      bool
	spent     time.Duration
	narrow    time.Duration
	first     bool
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
	w.out.firstBy = map[string]int{}
	w.out.whole = map[int]int{}
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
func (w *world) ask(again int, class call.Class, caller string) {
	r := &request{
		p: call.PriorityOf(class, call.Rank(w.r.Uint32()>>8)), caller: caller, operation: "work", first: again == w.plan.again, again: again,
		deadline: w.now.Add(w.patience()),
	}
	if w.measured() {
		if r.first {
			w.out.firstBy[r.caller]++
		}
		if r.first && r.p.Class() == 0 {
			w.out.firstOrders++
		}
	}
	w.out.offers[w.bucket(w.now)]++
	w.after(w.patience(), func() { w.die(r) })
	w.after(hop, func() { w.enter(r, w.entries[w.r.IntN(entries)]) })
}

func (w *world) patience() time.Duration {
	if w.plan.wait > 0 {
		return w.plan.wait
	}
	return patience
}

// class draws the class of a root request: a tenth are orders.
func (w *world) class() call.Class {
	if w.plan.oneClass {
		return 1
	}
	switch x := w.r.Float64(); {
	case x < 0.1:
		return 0
	case x < 0.4:
		return 1
	}
	return 2
}

func (w *world) caller() string {
	if w.plan.callers == nil {
		return ""
	}
	return w.plan.callers(w.r)
}

// die is what happens when the client's patience ends.
func (w *world) die(r *request) {
	if r.dead {
		return
	}
	r.dead = true
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
		w.after(50*time.Millisecond, func() { w.ask(r.again-1, r.p.Class(), r.caller) })
	}
}

func (w *world) refused(r *request, entry bool) {
	if r.dead {
		return
	}
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
	r.dead = true
	w.out.whole[w.bucket(w.now)]++
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
}

func (w *world) enter(r *request, e *entry) {
	if !w.plan.plain && !e.levels.Check(w.now, "front", r.operation, r.caller, r.p).Admit {
		w.after(hop, func() { w.refused(r, true) })
		return
	}
	chosen, _ := e.table.Choose(w.now, "front", routing.ChooseOptions{Operation: r.operation})
	e.table.Begin(w.now, chosen.ID)
	sent := w.now
	at := int(chosen.ID[len("front")] - '0')
	front := w.fronts[at]
	childLevel := call.AdmitAll
	v := &visit{request: r}
	v.end = func(o call.Outcome, reason call.Reason) {
		if o != call.Completed && r.p.Class() == 0 {
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
	chosen, _ := table.Choose(w.now, "narrow", routing.ChooseOptions{Operation: r.operation})
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
		if w.plan.even > 0 {
			work = time.Duration((0.8 + 0.4*w.r.Float64()) * float64(w.plan.even))
		}
		w.after(time.Duration(float64(work)*slowed), func() { done(admission.Completed) })
	}
	w.after(hop, func() { narrow.arrive(v) })
}

func wrapRefusal(end func(call.Outcome, call.Reason), reason call.Reason) func(call.Outcome, call.Reason) {
	return func(call.Outcome, call.Reason) { end(call.NotRun, reason) }
}

func (w *world) run() outcome {
	var arrive func()
	arrive = func() {
		w.ask(w.plan.again, w.class(), w.caller())
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

// figures are what a run of the loop gives.
type figures struct {
	goodput     float64 // of the most that the narrow service can do
	utilisation float64 // slot time of the narrow service that served whole requests
	waste       float64 // part of all slot time
	orders      float64 // first asks of the most important class that ended whole
}

func (o outcome) figures(p plan) figures {
	seconds := (p.span - p.from).Seconds()
	slots := float64(narrowTargets * narrowSlots)
	return figures{
		goodput:     float64(o.good) / seconds / narrowMost,
		utilisation: o.narrowGood.Seconds() / (slots * seconds),
		waste:       o.wasted.Seconds() / (o.spent + o.wasted).Seconds(),
		orders:      float64(o.goodFirstOrders) / float64(max(o.firstOrders, 1)),
	}
}

// log prints the figures; go test -v shows them.
func (o outcome) log(t *testing.T, name string, p plan) figures {
	f := o.figures(p)
	t.Logf("%s: goodput %.3f, utilisation %.3f, wasted %.4f, orders %.4f, refused at the entry %d, deeper %d, late %d",
		name, f.goodput, f.utilisation, f.waste, f.orders, o.refusedEntry, o.refusedDeep, o.late)
	return f
}

// sum returns what was offered and what was whole in a range of tenths of a
// second.
func (o outcome) sum(from, to int) (offered, whole int) {
	for bucket := from; bucket < to; bucket++ {
		offered += o.offers[bucket]
		whole += o.whole[bucket]
	}
	return offered, whole
}

// edge allows for requests that are in flight when the measured time ends.
const edge = 0.005

func TestLoopAtTwiceTheCapacity(t *testing.T) {
	Convey("At twice the capacity, with clients asking again", t, func() {
		p := plan{rate: constant(2 * narrowMost), again: 3, span: 4 * time.Second, from: time.Second}
		f := newWorld(p, 1).run().log(t, "2x", p)
		plain := p
		plain.plain = true
		without := newWorld(plain, 1).run().log(t, "2x without levels", plain)
		Convey("the narrow service is kept busy with requests that complete", func() {
			So(f.goodput, ShouldBeGreaterThanOrEqualTo, 0.95)
			So(f.utilisation, ShouldBeGreaterThanOrEqualTo, 0.95)
		})
		Convey("next to nothing is wasted, which the queues alone don't achieve", func() {
			So(f.waste, ShouldBeLessThanOrEqualTo, 0.02)
			So(without.waste, ShouldBeGreaterThan, 0.02)
		})
		Convey("orders complete at first ask", func() {
			So(f.orders, ShouldBeGreaterThanOrEqualTo, 0.999-edge)
		})
	})
}

func TestLoopAtTheCrest(t *testing.T) {
	Convey("When demand rises to five times at once", t, func() {
		p := plan{again: 3, span: 4 * time.Second, from: 2 * time.Second}
		p.rate = func(at time.Duration) float64 {
			if at < 2*time.Second {
				return 0.8 * narrowMost
			}
			return 4 * narrowMost
		}
		f := newWorld(p, 2).run().log(t, "step by 5", p)
		So(f.goodput, ShouldBeGreaterThanOrEqualTo, 0.95)
	})
}

func TestLoopRecovers(t *testing.T) {
	Convey("After three seconds of twice the demand on a service slowed by four", t, func() {
		surge := func(at time.Duration) bool { return at > 2*time.Second && at < 5*time.Second }
		p := plan{again: 3, span: 7 * time.Second, from: 2 * time.Second}
		p.rate = func(at time.Duration) float64 {
			if surge(at) {
				return 1.6 * narrowMost
			}
			return 0.8 * narrowMost
		}
		p.slowed = func(at time.Duration) float64 {
			if surge(at) {
				return 4
			}
			return 1
		}
		out := newWorld(p, 3).run()
		out.log(t, "slowed by 4 while demand doubles", p)
		Convey("whole requests equal what is offered within a second", func() {
			offered, whole := out.sum(60, 70)
			So(float64(whole)/float64(offered), ShouldBeGreaterThanOrEqualTo, 0.98)
		})
	})
}

func TestLoopSharesFairly(t *testing.T) {
	Convey("Of four callers at a fifth of the capacity each, one sends ten times as much", t, func() {
		share := narrowMost / 5
		alone := plan{rate: constant(3 * share), span: 4 * time.Second, from: time.Second, oneClass: true}
		alone.callers = func(r *rand.Rand) string { return [...]string{"a", "b", "c"}[r.IntN(3)] }
		flooded := alone
		flooded.rate = constant(13 * share)
		flooded.again = 1
		flooded.callers = func(r *rand.Rand) string {
			if x := r.IntN(13); x < 3 {
				return [...]string{"a", "b", "c"}[x]
			}
			return "d"
		}
		before := newWorld(alone, 4).run()
		with := newWorld(flooded, 4).run()
		with.log(t, "one of four at ten times its share", flooded)
		of := func(o outcome) float64 {
			good := o.byCaller["a"] + o.byCaller["b"] + o.byCaller["c"]
			first := o.firstBy["a"] + o.firstBy["b"] + o.firstBy["c"]
			return float64(good) / float64(first)
		}
		t.Logf("whole requests of the others: %.4f alone, %.4f beside it; its own %d", of(before), of(with), with.byCaller["d"])
		So(of(with)/of(before), ShouldBeGreaterThanOrEqualTo, 0.98)
	})
}

func TestLoopWithLongCalls(t *testing.T) {
	Convey("When calls of 120 ms slow by three and demand quadruples for four seconds", t, func() {
		const most = narrowTargets * narrowSlots / 0.12
		p := plan{again: 3, span: 9 * time.Second, from: 2 * time.Second, even: 120 * time.Millisecond, wait: 2 * time.Second}
		surge := func(at time.Duration) bool { return at > 3*time.Second && at < 7*time.Second }
		p.rate = func(at time.Duration) float64 {
			if surge(at) {
				return 2 * most
			}
			return most / 2
		}
		p.slowed = func(at time.Duration) float64 {
			if surge(at) {
				return 3
			}
			return 1
		}
		out := newWorld(p, 5).run()
		f := out.log(t, "long calls slowed by 3", p)
		Convey("orders still complete at first ask", func() {
			So(f.orders, ShouldBeGreaterThanOrEqualTo, 0.95)
		})
		Convey("whole requests equal what is offered within a second", func() {
			offered, whole := out.sum(80, 90)
			first, atFirst := out.sum(70, 80)
			t.Logf("first second after: %d whole of %d offered; next: %d of %d", atFirst, first, whole, offered)
			So(float64(whole)/float64(offered), ShouldBeGreaterThanOrEqualTo, 0.95)
		})
	})
}
