package loadshed

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/internal/virtual"
)

// The tests of this file simulate an overloaded service ("narrow", a print queue) deep in
// the call graph. Entries learn its pressure only from the replies to their own calls, as
// each node passes on what it has received. Lookups go through three services and call the
// print queue eight times, one call after the other; orders call it four times; status
// checks call it directly. Its targets serve more important calls first and drop calls
// whose request has timed out.

// hopDelay is the network delay between two nodes.
const hopDelay = 1500 * time.Microsecond

// deepSimulation is a set of nodes, all of them entries, that call the narrow service.
type deepSimulation struct {
	*virtual.Clock
	random  *rand.Rand
	nodes   []*Table
	costs   map[*Table]*Costs
	front   []*Table // front, desk, archive: nodes beside the targets of the services on the way
	desk    []*Table
	archive []*Table
	targets []*deepTarget
	demand  func(time.Duration) float64
	counts  map[string]*deepCounts
}

// deepCounts counts the requests of one kind by their end.
type deepCounts struct{ requests, withinObjective, refused, failed int }

func (d *deepCounts) servedShare() float64 {
	return float64(d.withinObjective) / float64(max(d.requests, 1))
}

// deepTarget is a target of the narrow service.
type deepTarget struct {
	slots       int
	unavailable bool
	running     [Priorities]int
	waiting     [Priorities][]*deepCall
}

// deepCall is a call of the narrow service.
type deepCall struct {
	priority int
	deadline time.Time
	work     time.Duration
	from     *Table
	done     func(ok bool)
}

func newDeepSimulation(seed uint64, nodes, targets, slots int, demand func(time.Duration) float64) *deepSimulation {
	sim := &deepSimulation{
		Clock: virtual.NewClock(start), random: rand.New(rand.NewPCG(seed, 11)),
		demand: demand, counts: map[string]*deepCounts{}, costs: map[*Table]*Costs{},
	}
	for range nodes {
		node := NewTable()
		sim.nodes = append(sim.nodes, node)
		sim.costs[node] = NewCosts()
	}
	quarter := nodes / 4
	sim.front, sim.desk, sim.archive = sim.nodes[:quarter], sim.nodes[quarter:2*quarter], sim.nodes[2*quarter:3*quarter]
	for range targets {
		sim.targets = append(sim.targets, &deepTarget{slots: slots})
	}
	return sim
}

func (q *deepTarget) inFlight() [Priorities]int {
	counts := q.running
	for p := range q.waiting {
		counts[p] += len(q.waiting[p])
	}
	return counts
}

func (q *deepTarget) load() (running, total int) {
	for p := range q.running {
		running += q.running[p]
		total += q.running[p] + len(q.waiting[p])
	}
	return running, total
}

func (sim *deepSimulation) call(c *deepCall) {
	var best *deepTarget
	fewest := math.MaxInt
	for _, q := range sim.targets {
		if _, total := q.load(); !q.unavailable && total < fewest {
			best, fewest = q, total
		}
	}
	sim.After(hopDelay, func() {
		best.waiting[c.priority] = append(best.waiting[c.priority], c)
		sim.startWaiting(best)
	})
}

// startWaiting runs waiting calls while slots are free.
func (sim *deepSimulation) startWaiting(q *deepTarget) {
	for p := range q.waiting {
		for len(q.waiting[p]) > 0 {
			if running, _ := q.load(); running >= q.slots {
				return
			}
			c := q.waiting[p][0]
			q.waiting[p] = q.waiting[p][1:]
			if sim.Now().After(c.deadline) {
				sim.reply(q, c, false)
				continue
			}
			q.running[p]++
			sim.After(c.work, func() {
				q.running[p]--
				sim.reply(q, c, true)
				sim.startWaiting(q)
			})
		}
	}
}

func (sim *deepSimulation) reply(q *deepTarget, c *deepCall, ok bool) {
	observedAt, pressures := sim.Now(), PressuresOf(q.inFlight(), q.slots)
	sim.After(hopDelay, func() {
		c.from.Observe(sim.Now(), "narrow", observedAt, pressures, Direct)
		c.done(ok && !sim.Now().After(c.deadline))
	})
}

// relay passes the pressures that the node from has received on to the node to.
func (sim *deepSimulation) relay(to, from *Table) {
	if pressures, observedAt, fresh := from.Pressures(sim.Now(), "narrow"); fresh {
		to.Observe(sim.Now(), "narrow", observedAt, pressures, Relayed)
	}
}

func (sim *deepSimulation) workTime(mean time.Duration) time.Duration {
	return time.Duration((0.3 + 0.7*sim.random.ExpFloat64()) * float64(mean))
}

func (sim *deepSimulation) pick(list []*Table) *Table { return list[sim.random.IntN(len(list))] }

// scan is one call of the archive, which checks the print queue four times.
func (sim *deepSimulation) scan(from *Table, priority int, deadline time.Time, done func(ok bool)) {
	node := sim.pick(sim.archive)
	reply := func(ok bool) { sim.After(hopDelay, func() { sim.relay(from, node); done(ok) }) }
	remaining := 4
	var next func(ok bool)
	next = func(ok bool) {
		if !ok || remaining == 0 {
			reply(ok)
			return
		}
		remaining--
		sim.call(&deepCall{priority: priority, deadline: deadline, work: sim.workTime(30 * time.Millisecond), from: node, done: next})
	}
	sim.After(hopDelay+sim.workTime(15*time.Millisecond), func() { next(true) })
}

// price is one call of the desk, which calls the archive.
func (sim *deepSimulation) price(from *Table, priority int, deadline time.Time, done func(ok bool)) {
	node := sim.pick(sim.desk)
	reply := func(ok bool) { sim.After(hopDelay, func() { sim.relay(from, node); done(ok) }) }
	sim.After(hopDelay+sim.workTime(15*time.Millisecond), func() { sim.scan(node, priority, deadline, reply) })
}

// deepKind is one kind of request.
type deepKind struct {
	name      string
	ratePerS  float64
	priority  int
	cost      time.Duration // of the narrow service
	timeout   time.Duration
	objective time.Duration
	run       func(sim *deepSimulation, entry *Table, deadline time.Time, done func(ok bool))
}

func deepLoad() []deepKind {
	lookup := func(sim *deepSimulation, entry *Table, deadline time.Time, done func(bool)) {
		node := sim.pick(sim.front)
		reply := func(ok bool) { sim.After(hopDelay, func() { sim.relay(entry, node); done(ok) }) }
		sim.After(hopDelay+sim.workTime(100*time.Millisecond), func() {
			sim.price(node, 2, deadline, func(ok bool) {
				if !ok {
					reply(false)
					return
				}
				sim.price(node, 2, deadline, reply)
			})
		})
	}
	order := func(sim *deepSimulation, entry *Table, deadline time.Time, done func(bool)) {
		node := sim.pick(sim.desk)
		reply := func(ok bool) { sim.After(hopDelay, func() { sim.relay(entry, node); done(ok) }) }
		sim.After(hopDelay+sim.workTime(140*time.Millisecond), func() { sim.scan(node, 0, deadline, reply) })
	}
	status := func(sim *deepSimulation, entry *Table, deadline time.Time, done func(bool)) {
		sim.call(&deepCall{priority: 1, deadline: deadline, work: sim.workTime(41 * time.Millisecond), from: entry, done: done})
	}
	return []deepKind{
		{"lookup", 94, 2, 240 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond, lookup},
		{"order", 36, 0, 120 * time.Millisecond, time.Second, 1500 * time.Millisecond, order},
		{"status", 28, 1, 41 * time.Millisecond, 600 * time.Millisecond, 150 * time.Millisecond, status},
	}
}

func (sim *deepSimulation) admits(k *deepKind, entry *Table) (admitted, slowStart bool) {
	switch sim.costs[entry].Arrive(sim.Now(), k.name) {
	case CostKnown:
		return entry.Admit(sim.Now(), k.priority, sim.costs[entry].ByService(k.name)).Admit, false
	case SlowStart:
		return true, true
	case SlowStartFull:
		return false, false
	}
	return true, false
}

func (sim *deepSimulation) request(k *deepKind, arrivedAt time.Time, isRetry bool) {
	entry, counts := sim.pick(sim.nodes), sim.counts[k.name]
	if !isRetry {
		counts.requests++
	}
	admitted, slowStart := sim.admits(k, entry)
	if !admitted {
		if isRetry {
			counts.refused++
			return
		}
		sim.After(time.Duration((0.25+0.35*sim.random.Float64())*float64(k.objective)), func() { sim.request(k, arrivedAt, true) })
		return
	}
	k.run(sim, entry, sim.Now().Add(k.timeout), func(ok bool) {
		if slowStart {
			sim.costs[entry].Ended(k.name, ok)
		}
		if ok {
			sim.costs[entry].Record(sim.Now(), k.name, []ServiceCost{{Service: "narrow", Time: k.cost}})
		}
		switch {
		case ok && sim.Now().Sub(arrivedAt) <= k.objective:
			counts.withinObjective++
		case !ok && !isRetry && k.priority > 0: // orders are not retried
			sim.request(k, arrivedAt, true)
		default:
			counts.failed++
		}
	})
}

func (sim *deepSimulation) simulate(kinds []deepKind, length time.Duration) {
	for i := range kinds {
		k := &kinds[i]
		sim.counts[k.name] = &deepCounts{}
		var arrive func()
		arrive = func() {
			sim.request(k, sim.Now(), false)
			rate := k.ratePerS * sim.demand(sim.Now().Sub(start))
			sim.After(time.Duration(sim.random.ExpFloat64()/rate*float64(time.Second)), arrive)
		}
		sim.After(0, arrive)
	}
	for _, n := range sim.nodes {
		var tick func()
		tick = func() { n.Tick(sim.Now()); sim.After(TickInterval, tick) }
		sim.After(time.Duration(sim.random.Float64()*float64(TickInterval)), tick)
	}
	sim.RunUntil(start.Add(length))
}

// demandedSlots returns how many slots of the narrow service the demand would use.
func demandedSlots(kinds []deepKind, demand float64) float64 {
	slots := 0.0
	for _, k := range kinds {
		slots += k.ratePerS * demand * k.cost.Seconds()
	}
	return slots
}

// wave returns a demand that varies by 55 % about the mean, in units of the usual demand.
func wave(mean float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 { return mean * (1 + 0.55*math.Sin(2*math.Pi*now.Seconds()/15)) }
}

func bursts(now time.Duration) float64 {
	if now%(10*time.Second) > 5*time.Second {
		return 2.5
	}
	return 1
}

// sixtyInstances scales the demand to that of sixty instances.
func sixtyInstances(demand func(time.Duration) float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 { return 9.1 * demand(now) }
}

func TestDeepServiceIsFullAndNotFlooded(t *testing.T) {
	const length, seeds = 30 * time.Second, 2
	for name, c := range map[string]struct {
		nodes, targets, slots int
		demand                func(time.Duration) float64
		unavailable           int // number of targets that become unavailable
		unavailableAt         time.Duration
	}{
		"demand varies around twice the usual":     {12, 3, 14, wave(1.8), 0, 0},
		"bursts":                                   {12, 3, 14, bursts, 0, 0},
		"one of three targets becomes unavailable": {12, 3, 14, wave(1.2), 1, 10 * time.Second},
		"one target is left, so that an entry admits a lookup every few seconds": {12, 1, 14, wave(1), 0, 0},
		"sixty instances": {60, 4, 71, sixtyInstances(wave(1.3)), 0, 0},
		"sixty instances, two targets become unavailable": {60, 4, 71, sixtyInstances(wave(1)), 2, 5 * time.Second},
		"all nodes start at once, at high demand":         {12, 3, 14, func(time.Duration) float64 { return 2.5 }, 0, 0},
	} {
		Convey(name, t, func() {
			for seed := range uint64(seeds) {
				sim := newDeepSimulation(seed, c.nodes, c.targets, c.slots, c.demand)
				for i := range c.unavailable {
					sim.After(c.unavailableAt, func() { sim.targets[i].unavailable = true })
				}
				kinds := deepLoad()
				sim.simulate(kinds, length)
				busy, usable := 0.0, 0.0
				for _, k := range kinds {
					busy += float64(sim.counts[k.name].withinObjective) * k.cost.Seconds()
				}
				const step = 100 * time.Millisecond
				for now := time.Duration(0); now < length; now += step {
					capacity := c.targets * c.slots
					if now >= c.unavailableAt {
						capacity -= c.unavailable * c.slots
					}
					usable += min(demandedSlots(kinds, c.demand(now)), float64(capacity)) * step.Seconds()
				}
				lookup := sim.counts["lookup"]
				So(busy/usable, ShouldBeGreaterThan, minUsefulShare)
				So(sim.counts["order"].servedShare(), ShouldBeGreaterThan, minImportantShare)
				So(sim.counts["status"].servedShare(), ShouldBeGreaterThan, minImportantShare)
				So(float64(lookup.failed)/float64(lookup.requests), ShouldBeLessThan, maxWastedShare)
			}
		})
	}
}
