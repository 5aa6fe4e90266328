package loadshed

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/internal/virtual"
)

// The tests of this file simulate an overloaded service ("narrow", a print queue) in
// virtual time. Callers send root requests to many entries. A request calls the service
// several times, one call after the other: a lookup eight times, an order four times, a
// status check once. The service runs a few calls at a time and queues the rest. A request
// that isn't done at its timeout is wasted, and so are all of its calls.

// requestKind is one kind of request.
type requestKind struct {
	name      string
	ratePerS  float64
	priority  int
	calls     int
	ownWork   time.Duration // before the first call
	timeout   time.Duration
	objective time.Duration
}

// counts counts the requests of one kind by their end.
type counts struct{ requests, refused, completed, wasted int }

// simulation is the narrow service with its entries.
type simulation struct {
	*virtual.Clock
	random     *rand.Rand
	entries    []*Table
	targets    []*bottleneckTarget
	counts     map[string]*counts
	busy       float64 // time of calls whose request was served in time, in slot seconds
	replyDelay time.Duration
	demand     func(now time.Duration) float64
}

// bottleneckTarget is one target of the narrow service.
type bottleneckTarget struct {
	slots, running int
	queue          []func()
	inFlight       [Priorities]int // calls that run or wait
}

var start = time.Unix(1000, 0)

const meanCallTime = 30 * time.Millisecond

func newSimulation(seed uint64, entries, targets, slots int, demand func(time.Duration) float64) *simulation {
	sim := &simulation{Clock: virtual.NewClock(start), random: rand.New(rand.NewPCG(seed, 7)), counts: map[string]*counts{}, replyDelay: 2 * time.Millisecond, demand: demand}
	for range entries {
		sim.entries = append(sim.entries, NewTable())
	}
	for range targets {
		sim.targets = append(sim.targets, &bottleneckTarget{slots: slots})
	}
	return sim
}

// call runs one call on the target with the fewest calls and reports its pressures at the
// end.
func (sim *simulation) call(priority int, done func(pressures *Pressures)) {
	best := sim.targets[sim.random.IntN(len(sim.targets))]
	for _, t := range sim.targets {
		if t.running+len(t.queue) < best.running+len(best.queue) {
			best = t
		}
	}
	run := func() {
		best.running++
		work := time.Duration(sim.random.ExpFloat64() * float64(meanCallTime))
		sim.After(work, func() {
			best.running--
			if len(best.queue) > 0 {
				next := best.queue[0]
				best.queue = best.queue[1:]
				next()
			}
			best.inFlight[priority]--
			pressures := PressuresOf(best.inFlight, best.slots)
			sim.After(sim.replyDelay, func() { done(&pressures) })
		})
	}
	best.inFlight[priority]++
	if best.running < best.slots {
		run()
		return
	}
	best.queue = append(best.queue, run)
}

func (sim *simulation) request(k *requestKind, entry *Table, isRetry bool) {
	counts := sim.counts[k.name]
	if !isRetry {
		counts.requests++
	}
	cost := time.Duration(k.calls) * meanCallTime
	if !entry.Admit(sim.Now(), k.priority, []ServiceCost{{Service: "narrow", Time: cost}}).Admit {
		if isRetry {
			counts.refused++
			return
		}
		wait := time.Duration((0.25 + 0.35*sim.random.Float64()) * float64(k.objective))
		sim.After(wait, func() { sim.request(k, entry, true) })
		return
	}
	started := sim.Now()
	remaining := k.calls
	var next func(*Pressures)
	next = func(pressures *Pressures) {
		if pressures != nil {
			entry.Observe(sim.Now(), "narrow", sim.Now(), *pressures, Direct)
			remaining--
		}
		switch {
		case sim.Now().Sub(started) > k.timeout:
			counts.wasted++
		case remaining == 0:
			counts.completed++
			sim.busy += cost.Seconds()
		default:
			sim.call(k.priority, next)
		}
	}
	sim.After(k.ownWork, func() { next(nil) })
}

func (sim *simulation) simulate(kinds []requestKind, length time.Duration) {
	for i := range kinds {
		k := &kinds[i]
		sim.counts[k.name] = &counts{}
		var arrive func()
		arrive = func() {
			sim.request(k, sim.entries[sim.random.IntN(len(sim.entries))], false)
			sim.After(time.Duration(sim.random.ExpFloat64()/(k.ratePerS*sim.demand(sim.Now().Sub(start)))*float64(time.Second)), arrive)
		}
		arrive()
	}
	var tick func()
	tick = func() {
		for _, e := range sim.entries {
			e.Tick(sim.Now())
		}
		sim.After(TickInterval, tick)
	}
	sim.After(0, tick)
	sim.RunUntil(start.Add(length))
}

func printQueueLoad() []requestKind {
	return []requestKind{
		{name: "lookup", ratePerS: 94, priority: 2, calls: 8, ownWork: 100 * time.Millisecond, timeout: 800 * time.Millisecond, objective: 1500 * time.Millisecond},
		{name: "order", ratePerS: 36, priority: 0, calls: 4, ownWork: 140 * time.Millisecond, timeout: time.Second, objective: 1500 * time.Millisecond},
		{name: "status", ratePerS: 28, priority: 1, calls: 1, ownWork: 0, timeout: 600 * time.Millisecond, objective: 150 * time.Millisecond},
	}
}

// The objective is that targets run close to full and root requests complete. While demand
// exceeds capacity, minUsefulShare of the narrow service's time must go to requests that
// are served in time, at most maxWastedShare of the lookups may be admitted in vain, and
// minImportantShare of the important requests must be served.
const (
	minUsefulShare    = 0.75
	maxWastedShare    = 0.03
	minImportantShare = 0.97
)

func TestWholeRequestsCompleteUnderOverload(t *testing.T) {
	constant := func(x float64) func(time.Duration) float64 { return func(time.Duration) float64 { return x } }
	for name, c := range map[string]struct {
		targets int
		demand  func(time.Duration) float64
	}{
		"twice the usual demand":               {3, constant(2)},
		"1.6 times the usual demand":           {3, constant(1.6)},
		"two of three targets are unavailable": {1, constant(1.5)},
		"demand varies around the limit":       {3, func(now time.Duration) float64 { return 2 + 0.4*math.Sin(2*math.Pi*now.Seconds()/15) }},
	} {
		Convey(name, t, func() {
			for seed := range uint64(5) {
				sim := newSimulation(seed, 12, c.targets, 14, c.demand)
				const length = 30 * time.Second
				sim.simulate(printQueueLoad(), length)
				So(sim.busy/(float64(c.targets*14)*length.Seconds()), ShouldBeGreaterThan, minUsefulShare)
				order, lookup := sim.counts["order"], sim.counts["lookup"]
				So(float64(order.completed)/float64(order.requests), ShouldBeGreaterThan, minImportantShare)
				So(float64(lookup.wasted)/float64(lookup.requests), ShouldBeLessThan, maxWastedShare)
			}
		})
	}
}

func TestNothingIsRefusedWithRoom(t *testing.T) {
	Convey("At the usual demand hardly anything is refused", t, func() {
		sim := newSimulation(1, 12, 3, 14, func(time.Duration) float64 { return 1 })
		sim.simulate(printQueueLoad(), 30*time.Second)
		So(sim.counts["lookup"].refused, ShouldBeLessThan, sim.counts["lookup"].requests/100)
	})
}

func TestRequestOfNegligibleCostIsAdmitted(t *testing.T) {
	Convey("A route whose cost at an overloaded service is negligible is admitted", t, func() {
		table, now := NewTable(), time.Unix(1000, 0)
		heavy := []ServiceCost{{Service: "narrow", Time: 240 * time.Millisecond}}
		light := []ServiceCost{{Service: "narrow", Time: 5 * time.Millisecond}}
		refused := 0
		for i := range 400 {
			now = now.Add(10 * time.Millisecond)
			table.Observe(now, "narrow", now, Uniform(2), Direct)
			if !table.Admit(now, 2, heavy).Admit {
				refused++
			}
			So(table.Admit(now, 2, light).Admit, ShouldBeTrue)
			if i%10 == 0 {
				table.Tick(now)
			}
		}
		So(refused, ShouldBeGreaterThan, 300)
	})
}
