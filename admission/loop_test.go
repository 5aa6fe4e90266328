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

// These tests simulate the closed loop of entry nodes that apply received levels, a
// front service whose targets hold a slot while they call a narrow service of less
// capacity, and clients that retry. Time is virtual, and all random numbers come from
// one seed.

// event is an action at a point of virtual time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

// events is a heap of events by time, then by order of scheduling.
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

// plan is the configuration of one simulation.
type plan struct {
	rate          func(at time.Duration) float64 // root requests per second, without retries
	slowed        func(at time.Duration) float64 // factor on the service time of the narrow service, 1 if nil
	callers       func(r *rand.Rand) string      // draws the caller of a root request, unnamed if nil
	retries       int                            // times that a client retries a request, each after 50 ms
	span          time.Duration                  // length of the simulation
	measureFrom   time.Duration                  // start of the measured time
	oneClass      bool                           // all requests are of class 1
	fixedWork     time.Duration                  // mean service time of the narrow service, varied by up to a fifth; random if zero
	clientTimeout time.Duration                  // defaultClientTimeout if zero
	withoutLevels bool                           // entry nodes admit everything, and the queues refuse no call for waiting long
}

const (
	hopDelay             = 1500 * time.Microsecond // network delay in one direction
	frontWork            = 2 * time.Millisecond
	narrowWork           = 10 * time.Millisecond
	frontTargets         = 3
	frontSlots           = 140
	narrowTargets        = 3
	narrowSlots          = 15
	entryNodes           = 6
	defaultClientTimeout = 500 * time.Millisecond
	narrowCapacity       = narrowTargets * narrowSlots * float64(time.Second) / float64(narrowWork) // calls per second
)

// results are the counts and times of one simulation. Those by bucket cover all of
// it, the others the measured time.
type results struct {
	completed, refusedEntry, refusedDeep, timedOut int
	ordersSent, ordersCompleted                    int
	narrowUseful, spent, wasted                    time.Duration
	completedByCaller, sentByCaller                map[string]int
	completedPerBucket                             map[int]int // completed requests by 100 ms
	offeredPerBucket                               map[int]int // requests sent, with retries, by 100 ms
}

// target is one target with its queue.
type target struct {
	simulation *simulation
	id         fleet.InstanceID
	queue      *admission.Queue
	next       admission.TicketID
	pending    map[admission.TicketID]*targetCall
	verdicts   []admission.Verdict
}

// targetCall is one call at one target.
type targetCall struct {
	request *request
	start   func(done func(admission.Result))
	end     func(call.Outcome, call.Reason)
	begun   time.Time
	running bool
	ended   bool
}

// request is one root request; a retry is a new one.
type request struct {
	p           call.Priority
	caller      string
	operation   string
	deadline    time.Time
	ended       bool
	spent       time.Duration // time in slots
	narrowTime  time.Duration // of spent, time in slots of the narrow service
	first       bool          // not a retry
	retriesLeft int
	onTimeout   []func()
}

// simulation is the state of one simulation.
type simulation struct {
	now     time.Time
	begin   time.Time
	seq     int
	queue   events
	r       *rand.Rand
	plan    plan
	results results

	entries     []*entry
	narrow      []*target
	fronts      []*target
	frontTables []*routing.Table // of the front targets' nodes
}

// entry is one entry node.
type entry struct {
	levels *admission.Levels
	table  *routing.Table
}

// after schedules an action after a delay.
func (sim *simulation) after(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.queue, event{sim.now.Add(d), sim.seq, do})
}

func newSimulation(p plan, seed uint64) *simulation {
	begin := time.Unix(1_000_000, 0)
	sim := &simulation{now: begin, begin: begin, r: rand.New(rand.NewPCG(seed, 1)), plan: p}
	sim.results.completedByCaller = map[string]int{}
	sim.results.sentByCaller = map[string]int{}
	sim.results.completedPerBucket = map[int]int{}
	sim.results.offeredPerBucket = map[int]int{}
	var fronts, narrows []fleet.Instance
	for i := range frontTargets {
		t := sim.newTarget(fmt.Sprint("front", i), frontSlots)
		sim.fronts = append(sim.fronts, t)
		fronts = append(fronts, fleet.Instance{ID: t.id, Service: "front", Slots: frontSlots, State: fleet.Ready})
	}
	for i := range narrowTargets {
		t := sim.newTarget(fmt.Sprint("narrow", i), narrowSlots)
		sim.narrow = append(sim.narrow, t)
		narrows = append(narrows, fleet.Instance{ID: t.id, Service: "narrow", Slots: narrowSlots, State: fleet.Ready})
	}
	for i := range entryNodes {
		table := routing.NewTable(routing.Config{}, "", "", seed+uint64(i))
		table.SetInstances(begin, "front", fronts)
		sim.entries = append(sim.entries, &entry{admission.NewLevels(), table})
	}
	for i := range frontTargets {
		table := routing.NewTable(routing.Config{}, "", "", seed+100+uint64(i))
		table.SetInstances(begin, "narrow", narrows)
		sim.frontTables = append(sim.frontTables, table)
	}
	return sim
}

func (sim *simulation) newTarget(id string, slots int) *target {
	cfg := admission.DefaultConfig(slots)
	if sim.plan.withoutLevels {
		cfg.MaxWait = time.Hour
	}
	t := &target{simulation: sim, id: fleet.InstanceID(id), queue: admission.NewQueue(cfg, sim.now), pending: map[admission.TicketID]*targetCall{}}
	var tick func()
	tick = func() {
		t.apply(t.queue.Tick(sim.now, t.verdicts[:0]))
		sim.after(admission.TickInterval, tick)
	}
	sim.after(admission.TickInterval, tick)
	return t
}

// arrive adds a call to the target's queue.
func (t *target) arrive(v *targetCall) {
	if v.request.ended {
		return
	}
	t.next++
	id := t.next
	t.pending[id] = v
	v.request.onTimeout = append(v.request.onTimeout, func() { t.cancel(id) })
	a := admission.Arrival{Priority: v.request.p, Caller: v.request.caller, Operation: v.request.operation, Deadline: v.request.deadline}
	t.apply(t.queue.Arrive(t.simulation.now, id, a, t.verdicts[:0]))
}

func (t *target) cancel(id admission.TicketID) {
	v := t.pending[id]
	if v == nil || v.ended {
		return
	}
	if v.running {
		t.finish(id, admission.Abandoned)
		return
	}
	v.ended = true
	delete(t.pending, id)
	t.apply(t.queue.Cancel(t.simulation.now, id, t.verdicts[:0]))
}

func (t *target) finish(id admission.TicketID, r admission.Result) {
	v := t.pending[id]
	if v == nil || v.ended {
		return
	}
	v.ended = true
	delete(t.pending, id)
	v.request.spent += t.simulation.now.Sub(v.begun)
	if v.request.ended {
		t.simulation.recordWaste(t.simulation.now.Sub(v.begun))
	}
	t.apply(t.queue.Finish(t.simulation.now, id, r, nil))
	if r == admission.Completed {
		v.end(call.Completed, call.NoReason)
	}
}

// apply starts the started calls and ends the refused ones.
func (t *target) apply(verdicts []admission.Verdict) {
	for _, verdict := range verdicts {
		v := t.pending[verdict.Ticket]
		if verdict.Kind == admission.Start {
			v.running = true
			v.begun = t.simulation.now
			id := verdict.Ticket
			v.start(func(r admission.Result) { t.finish(id, r) })
			continue
		}
		v.ended = true
		delete(t.pending, verdict.Ticket)
		v.end(call.NotRun, verdict.Reason)
	}
}

func (sim *simulation) measured() bool { return sim.now.Sub(sim.begin) >= sim.plan.measureFrom }

func (sim *simulation) recordWaste(d time.Duration) {
	if sim.measured() {
		sim.results.wasted += d
	}
}

func (sim *simulation) bucket(at time.Time) int {
	return int(at.Sub(sim.begin) / (100 * time.Millisecond))
}

// send sends one root request to a random entry node.
func (sim *simulation) send(retriesLeft int, class call.Class, caller string) {
	r := &request{
		p: call.PriorityOf(class, call.Rank(sim.r.Uint32()>>8)), caller: caller, operation: "work", first: retriesLeft == sim.plan.retries, retriesLeft: retriesLeft,
		deadline: sim.now.Add(sim.clientTimeout()),
	}
	if sim.measured() {
		if r.first {
			sim.results.sentByCaller[r.caller]++
		}
		if r.first && r.p.Class() == 0 {
			sim.results.ordersSent++
		}
	}
	sim.results.offeredPerBucket[sim.bucket(sim.now)]++
	sim.after(sim.clientTimeout(), func() { sim.timeOut(r) })
	sim.after(hopDelay, func() { sim.enter(r, sim.entries[sim.r.IntN(entryNodes)]) })
}

func (sim *simulation) clientTimeout() time.Duration {
	if sim.plan.clientTimeout > 0 {
		return sim.plan.clientTimeout
	}
	return defaultClientTimeout
}

// class draws the class of a root request. A tenth are orders, which have the most
// important class.
func (sim *simulation) class() call.Class {
	if sim.plan.oneClass {
		return 1
	}
	switch x := sim.r.Float64(); {
	case x < 0.1:
		return 0
	case x < 0.4:
		return 1
	}
	return 2
}

func (sim *simulation) caller() string {
	if sim.plan.callers == nil {
		return ""
	}
	return sim.plan.callers(sim.r)
}

// timeOut ends a request whose client has waited for its timeout.
func (sim *simulation) timeOut(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	if sim.measured() {
		sim.results.timedOut++
	}
	sim.recordWaste(r.spent)
	for _, f := range r.onTimeout {
		f()
	}
	sim.retry(r)
}

func (sim *simulation) retry(r *request) {
	if r.retriesLeft > 0 {
		sim.after(50*time.Millisecond, func() { sim.send(r.retriesLeft-1, r.p.Class(), r.caller) })
	}
}

func (sim *simulation) refused(r *request, entry bool) {
	if r.ended {
		return
	}
	r.ended = true
	if sim.measured() {
		if entry {
			sim.results.refusedEntry++
		} else {
			sim.results.refusedDeep++
		}
	}
	sim.recordWaste(r.spent)
	sim.retry(r)
}

func (sim *simulation) done(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	sim.results.completedPerBucket[sim.bucket(sim.now)]++
	if !sim.measured() {
		return
	}
	sim.results.completed++
	sim.results.completedByCaller[r.caller]++
	sim.results.narrowUseful += r.narrowTime
	sim.results.spent += r.spent
	if r.first && r.p.Class() == 0 {
		sim.results.ordersCompleted++
	}
}

func (sim *simulation) enter(r *request, e *entry) {
	if !sim.plan.withoutLevels && !e.levels.Check(sim.now, "front", r.operation, r.caller, r.p).Admit {
		sim.after(hopDelay, func() { sim.refused(r, true) })
		return
	}
	chosen, _ := e.table.Choose(sim.now, "front", routing.ChooseOptions{Operation: r.operation})
	e.table.Begin(sim.now, chosen.ID)
	sent := sim.now
	at := int(chosen.ID[len("front")] - '0')
	front := sim.fronts[at]
	childLevel := call.AdmitAll
	v := &targetCall{request: r}
	v.end = func(o call.Outcome, reason call.Reason) {
		if o != call.Completed && r.p.Class() == 0 {
		}
		level := front.queue.Level(r.caller).Stricter(childLevel)
		s := front.queue.Stats()
		sim.after(hopDelay, func() {
			e.levels.Observe(sim.now, "front", r.operation, r.caller, level)
			e.table.End(sim.now, chosen.ID, routing.Sample{Operation: r.operation, Latency: sim.now.Sub(sent), Outcome: o, Reason: reason,
				Feedback: routing.Feedback{Running: s.Running, Limit: s.Limit, Queued: s.Queued}})
			sim.after(hopDelay, func() {
				if o == call.Completed {
					sim.done(r)
				} else {
					sim.refused(r, false)
				}
			})
		})
	}
	v.start = func(done func(admission.Result)) {
		sim.after(frontWork, func() { sim.sendChildCall(r, at, &childLevel, v, done) })
	}
	sim.after(hopDelay, func() { front.arrive(v) })
}

// sendChildCall sends the front target's call to the narrow service.
func (sim *simulation) sendChildCall(r *request, at int, level *call.Level, parent *targetCall, done func(admission.Result)) {
	if r.ended {
		return
	}
	table := sim.frontTables[at]
	chosen, _ := table.Choose(sim.now, "narrow", routing.ChooseOptions{Operation: r.operation})
	table.Begin(sim.now, chosen.ID)
	sent := sim.now
	narrow := sim.narrow[int(chosen.ID[len("narrow")]-'0')]
	v := &targetCall{request: r}
	v.end = func(o call.Outcome, reason call.Reason) {
		reported := narrow.queue.Level(r.caller)
		s := narrow.queue.Stats()
		if o == call.Completed {
			r.narrowTime = sim.now.Sub(v.begun)
		}
		sim.after(hopDelay, func() {
			*level = reported
			table.End(sim.now, chosen.ID, routing.Sample{Operation: r.operation, Latency: sim.now.Sub(sent), Outcome: o, Reason: reason,
				Feedback: routing.Feedback{Running: s.Running, Limit: s.Limit, Queued: s.Queued}})
			if o == call.Completed {
				done(admission.Completed)
				return
			}
			// The front target responds that it could not do the work.
			parent.end = wrapRefusal(parent.end, reason)
			done(admission.Completed)
		})
	}
	v.start = func(done func(admission.Result)) {
		slowed := 1.0
		if sim.plan.slowed != nil {
			slowed = sim.plan.slowed(sim.now.Sub(sim.begin))
		}
		work := time.Duration(sim.r.ExpFloat64() * 0.5 * float64(narrowWork))
		work += narrowWork / 2
		if sim.plan.fixedWork > 0 {
			work = time.Duration((0.8 + 0.4*sim.r.Float64()) * float64(sim.plan.fixedWork))
		}
		sim.after(time.Duration(float64(work)*slowed), func() { done(admission.Completed) })
	}
	sim.after(hopDelay, func() { narrow.arrive(v) })
}

func wrapRefusal(end func(call.Outcome, call.Reason), reason call.Reason) func(call.Outcome, call.Reason) {
	return func(call.Outcome, call.Reason) { end(call.NotRun, reason) }
}

func (sim *simulation) run() results {
	var arrive func()
	arrive = func() {
		sim.send(sim.plan.retries, sim.class(), sim.caller())
		sim.after(sim.gap(), arrive)
	}
	sim.after(sim.gap(), arrive)
	end := sim.begin.Add(sim.plan.span)
	for len(sim.queue) > 0 && sim.queue[0].at.Before(end) {
		next := heap.Pop(&sim.queue).(event)
		sim.now = next.at
		next.do()
	}
	return sim.results
}

func (sim *simulation) gap() time.Duration {
	rate := sim.plan.rate(sim.now.Sub(sim.begin))
	return time.Duration(sim.r.ExpFloat64() / rate * float64(time.Second))
}

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// figures are the ratios computed from the results of one simulation.
type figures struct {
	goodput     float64 // completed requests as a fraction of the narrow service's capacity
	utilisation float64 // fraction of the narrow service's slot time that served completed requests
	wasted      float64 // fraction of the used slot time that served requests that didn't complete
	orders      float64 // fraction of requests of the most important class that completed without a retry
}

func (r results) figures(p plan) figures {
	seconds := (p.span - p.measureFrom).Seconds()
	slots := float64(narrowTargets * narrowSlots)
	return figures{
		goodput:     float64(r.completed) / seconds / narrowCapacity,
		utilisation: r.narrowUseful.Seconds() / (slots * seconds),
		wasted:      r.wasted.Seconds() / (r.spent + r.wasted).Seconds(),
		orders:      float64(r.ordersCompleted) / float64(max(r.ordersSent, 1)),
	}
}

// log logs the figures and returns them.
func (r results) log(t *testing.T, name string, p plan) figures {
	f := r.figures(p)
	t.Logf("%s: goodput %.3f, utilisation %.3f, wasted %.4f, orders %.4f, refused at the entry %d, deeper %d, timed out %d",
		name, f.goodput, f.utilisation, f.wasted, f.orders, r.refusedEntry, r.refusedDeep, r.timedOut)
	return f
}

// sum returns the requests offered and completed in a range of buckets of 100 ms.
func (r results) sum(from, to int) (offered, completed int) {
	for bucket := from; bucket < to; bucket++ {
		offered += r.offeredPerBucket[bucket]
		completed += r.completedPerBucket[bucket]
	}
	return offered, completed
}

// inFlightMargin is the fraction of requests that may be in flight when the measured
// time ends.
const inFlightMargin = 0.005

func TestLoopAtTwiceTheCapacity(t *testing.T) {
	Convey("At twice the capacity, with clients that retry", t, func() {
		p := plan{rate: constant(2 * narrowCapacity), retries: 3, span: 4 * time.Second, measureFrom: time.Second}
		f := newSimulation(p, 1).run().log(t, "2x", p)
		noLevelsPlan := p
		noLevelsPlan.withoutLevels = true
		noLevels := newSimulation(noLevelsPlan, 1).run().log(t, "2x without levels", noLevelsPlan)
		Convey("the narrow service is kept busy with requests that complete", func() {
			So(f.goodput, ShouldBeGreaterThanOrEqualTo, 0.95)
			So(f.utilisation, ShouldBeGreaterThanOrEqualTo, 0.95)
		})
		Convey("at most 2% of slot time is wasted, which the queues alone don't achieve", func() {
			So(f.wasted, ShouldBeLessThanOrEqualTo, 0.02)
			So(noLevels.wasted, ShouldBeGreaterThan, 0.02)
		})
		Convey("orders complete without a retry", func() {
			So(f.orders, ShouldBeGreaterThanOrEqualTo, 0.999-inFlightMargin)
		})
	})
}

func TestLoopAtDemandStep(t *testing.T) {
	Convey("When demand rises fivefold in one step", t, func() {
		p := plan{retries: 3, span: 4 * time.Second, measureFrom: 2 * time.Second}
		p.rate = func(at time.Duration) float64 {
			if at < 2*time.Second {
				return 0.8 * narrowCapacity
			}
			return 4 * narrowCapacity
		}
		f := newSimulation(p, 2).run().log(t, "step by 5", p)
		So(f.goodput, ShouldBeGreaterThanOrEqualTo, 0.95)
	})
}

func TestLoopRecovers(t *testing.T) {
	Convey("After three seconds of doubled demand on a service that is four times slower", t, func() {
		surge := func(at time.Duration) bool { return at > 2*time.Second && at < 5*time.Second }
		p := plan{retries: 3, span: 7 * time.Second, measureFrom: 2 * time.Second}
		p.rate = func(at time.Duration) float64 {
			if surge(at) {
				return 1.6 * narrowCapacity
			}
			return 0.8 * narrowCapacity
		}
		p.slowed = func(at time.Duration) float64 {
			if surge(at) {
				return 4
			}
			return 1
		}
		out := newSimulation(p, 3).run()
		out.log(t, "slowed by 4 while demand doubles", p)
		Convey("the completed requests match the offered ones within a second", func() {
			offered, completed := out.sum(60, 70)
			So(float64(completed)/float64(offered), ShouldBeGreaterThanOrEqualTo, 0.98)
		})
	})
}

func TestLoopSharesFairly(t *testing.T) {
	Convey("Given four callers at a fifth of the capacity each, one of which sends ten times as much", t, func() {
		share := narrowCapacity / 5
		alone := plan{rate: constant(3 * share), span: 4 * time.Second, measureFrom: time.Second, oneClass: true}
		alone.callers = func(r *rand.Rand) string { return [...]string{"a", "b", "c"}[r.IntN(3)] }
		flooded := alone
		flooded.rate = constant(13 * share)
		flooded.retries = 1
		flooded.callers = func(r *rand.Rand) string {
			if x := r.IntN(13); x < 3 {
				return [...]string{"a", "b", "c"}[x]
			}
			return "d"
		}
		before := newSimulation(alone, 4).run()
		with := newSimulation(flooded, 4).run()
		with.log(t, "one of four at ten times its share", flooded)
		completedFraction := func(o results) float64 {
			completed := o.completedByCaller["a"] + o.completedByCaller["b"] + o.completedByCaller["c"]
			sent := o.sentByCaller["a"] + o.sentByCaller["b"] + o.sentByCaller["c"]
			return float64(completed) / float64(sent)
		}
		t.Logf("completed fraction of the other callers: %.4f without it, %.4f with it; it completed %d requests", completedFraction(before), completedFraction(with), with.completedByCaller["d"])
		So(completedFraction(with)/completedFraction(before), ShouldBeGreaterThanOrEqualTo, 0.98)
	})
}

func TestLoopWithLongCalls(t *testing.T) {
	Convey("When calls of 120 ms take three times as long and demand quadruples for four seconds", t, func() {
		const capacity = narrowTargets * narrowSlots / 0.12
		p := plan{retries: 3, span: 9 * time.Second, measureFrom: 2 * time.Second, fixedWork: 120 * time.Millisecond, clientTimeout: 2 * time.Second}
		surge := func(at time.Duration) bool { return at > 3*time.Second && at < 7*time.Second }
		p.rate = func(at time.Duration) float64 {
			if surge(at) {
				return 2 * capacity
			}
			return capacity / 2
		}
		p.slowed = func(at time.Duration) float64 {
			if surge(at) {
				return 3
			}
			return 1
		}
		out := newSimulation(p, 5).run()
		f := out.log(t, "long calls slowed by 3", p)
		Convey("orders still complete without a retry", func() {
			So(f.orders, ShouldBeGreaterThanOrEqualTo, 0.95)
		})
		Convey("the completed requests match the offered ones within a second", func() {
			offered, completed := out.sum(80, 90)
			offeredFirst, completedFirst := out.sum(70, 80)
			t.Logf("first second after the surge: %d of %d offered requests completed; second: %d of %d", completedFirst, offeredFirst, completed, offered)
			So(float64(completed)/float64(offered), ShouldBeGreaterThanOrEqualTo, 0.95)
		})
	})
}
