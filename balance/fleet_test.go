package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gypsumford/gypsumford/limiter"
	"github.com/gypsumford/gypsumford/loadshed"
	"github.com/gypsumford/gypsumford/roster"
	"github.com/gypsumford/gypsumford/servicetime"
)

// scenario describes a fleet in virtual time: many entries that send requests for one
// service, and its targets, each with a limiter as its node has it.
type scenario struct {
	seed      uint64
	entries   map[string]int // by failure domain
	targets   map[string]int // by failure domain
	speeds    []float64      // of the targets in turn
	slots     int
	rate      func(domain string, t float64) float64 // requests per second of one entry
	speed     func(target int, t float64) float64    // further factor, nil for 1
	reject    func(target int, t float64) float64    // share of requests that the target rejects
	stated    func(target int, t float64) float64    // slowdown that it states, 0 for none
	gone      func(target int, t float64) bool       // the target is unreachable
	cold      func(target int) time.Duration
	seconds   float64
	admission bool // entries refuse requests by the pressures that replies report
	warmUp    float64
	bodyBytes int
	newTable  func(domain string, seed uint64) *Table
	onSecond  func(second int, f *fleet)
}

const (
	fleetServiceTime = 0.2 // mean seconds of a request on an idle target of speed 1
	fleetTimeout     = time.Second
	localDelay       = 300 * time.Microsecond
	remoteDelay      = time.Millisecond
)

type fleetTarget struct {
	record    *roster.Record
	index     int
	limiter   *limiter.Limiter
	estimator *servicetime.Estimator
	waiting   map[*limiter.Item]func()
	busy      float64 // integral of running over time, in slot seconds
	changedAt time.Time
	finished  int
}

type fleetEntry struct {
	domain string
	table  *Table
	shed   *loadshed.Table // nil if all requests are admitted
}

type event struct {
	at  time.Time
	run func()
}
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type fleet struct {
	s         *scenario
	random    *rand.Rand
	now       time.Time
	queue     events
	targets   []*fleetTarget
	records   []*roster.Record
	entries   []*fleetEntry
	latencies []float64
	sent      int // first sends
	served    int
	refused   int
	remote    int // sends to another domain
	perSecond []secondCounts
}

// secondCounts counts what happened in one second, by domain of the entry.
type secondCounts struct{ sent, served, remote, sends map[string]float64 }

// play plays the scenario.
func play(s scenario) *fleet {
	f := &fleet{s: &s, random: rand.New(rand.NewPCG(s.seed, 7)), now: start}
	for _, domain := range sortedKeys(s.targets) {
		for range s.targets[domain] {
			f.addTarget(domain)
		}
	}
	for _, domain := range sortedKeys(s.entries) {
		for range s.entries[domain] {
			f.entries = append(f.entries, &fleetEntry{domain: domain, table: s.newTable(domain, f.random.Uint64())})
		}
	}
	for _, e := range f.entries {
		if s.admission {
			e.shed = loadshed.NewTable()
			f.scheduleTick(e)
		}
		f.scheduleArrival(e)
	}
	for range int(s.seconds) + 1 {
		f.perSecond = append(f.perSecond, secondCounts{map[string]float64{}, map[string]float64{}, map[string]float64{}, map[string]float64{}})
	}
	if s.onSecond != nil {
		for second := range int(s.seconds) {
			f.at(start.Add(time.Duration(second)*time.Second), func() { s.onSecond(second, f) })
		}
	}
	end := start.Add(time.Duration(s.seconds * float64(time.Second)))
	for len(f.queue) > 0 {
		next := heap.Pop(&f.queue).(event)
		if next.at.After(end) {
			break
		}
		f.now = next.at
		next.run()
	}
	slices.Sort(f.latencies)
	return f
}

func sortedKeys(m map[string]int) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (f *fleet) addTarget(domain string) {
	i := len(f.targets)
	t := &fleetTarget{
		index: i, limiter: limiter.New(f.s.slots), estimator: servicetime.New(), waiting: map[*limiter.Item]func(){}, changedAt: start,
		record: &roster.Record{Instance: fmt.Sprint("n", i), Domain: domain, Target: roster.Target{
			ID: fmt.Sprint("t", i), Service: "s", Slots: f.s.slots, State: roster.Ready,
		}},
	}
	if f.s.cold != nil {
		t.record.Target.ColdLeft = f.s.cold(i)
	}
	f.targets = append(f.targets, t)
	f.records = append(f.records, t.record)
}

func (f *fleet) at(when time.Time, run func()) { heap.Push(&f.queue, event{when, run}) }
func (f *fleet) after(d time.Duration, run func()) {
	f.at(f.now.Add(d), run)
}
func (f *fleet) elapsed() float64 { return f.now.Sub(start).Seconds() }
func (f *fleet) warm() bool       { return f.elapsed() >= f.s.warmUp }
func (f *fleet) second() *secondCounts {
	return &f.perSecond[min(int(f.elapsed()), len(f.perSecond)-1)]
}

func (f *fleet) scheduleTick(e *fleetEntry) {
	f.after(loadshed.TickInterval, func() {
		e.shed.Tick(f.now)
		f.scheduleTick(e)
	})
}

// admits reports whether the entry admits a request.
func (e *fleetEntry) admits(now time.Time) bool {
	cost := loadshed.ServiceCost{Service: "s", Time: 200 * time.Millisecond, Requests: 1}
	return e.shed == nil || e.shed.Admit(now, 0, []loadshed.ServiceCost{cost}).Admit
}

// observe records the pressures that a reply reports.
func (e *fleetEntry) observe(now time.Time, domain string, pressures loadshed.Pressures) {
	if e.shed != nil {
		if e.table.spillover != nil && domain == e.domain {
			if used, ok := e.table.spillover.Relief(now, "s"); ok {
				for p := range pressures {
					pressures[p] = min(pressures[p], used)
				}
			}
		}
		e.shed.Observe(now, "s", now, pressures, loadshed.Direct)
	}
}

func (f *fleet) scheduleArrival(e *fleetEntry) {
	rate := f.s.rate(e.domain, f.elapsed())
	pause := time.Duration(f.random.ExpFloat64() / max(rate, 0.1) * float64(time.Second))
	f.after(pause, func() {
		if rate > 0 {
			f.sent++
			f.second().sent[e.domain]++
			if e.admits(f.now) {
				f.send(e, f.now, nil)
			} else {
				f.end(e, f.now, false)
			}
		}
		f.scheduleArrival(e)
	})
}

// send sends a request from the entry, which arrived there at the time.
func (f *fleet) send(e *fleetEntry, arrived time.Time, excluded []string) {
	candidates := f.records
	choice, ok := e.table.Choose(f.now, Request{Route: "r", Service: "s"}, candidates, excluded)
	if !ok || len(excluded) >= 4 || f.now.Sub(arrived) > fleetTimeout {
		f.end(e, arrived, false)
		return
	}
	id := choice.Record.Target.ID
	t := f.targets[slices.Index(f.records, choice.Record)]
	e.table.Sent(f.now, id)
	delay := localDelay
	f.second().sends[e.domain]++
	if choice.Record.Domain != e.domain {
		delay = remoteDelay
		f.second().remote[e.domain]++
		if f.warm() {
			f.remote++
		}
	}
	excluded = append(excluded, id)
	if f.s.gone != nil && f.s.gone(t.index, f.elapsed()) {
		f.after(delay, func() {
			e.table.Lost(f.now, id, false)
			f.send(e, arrived, excluded)
		})
		return
	}
	f.after(delay, func() { f.arrive(e, t, arrived, delay, excluded) })
}

func (f *fleet) arrive(e *fleetEntry, t *fleetTarget, arrived time.Time, delay time.Duration, excluded []string) {
	refuse := func(byTarget bool) {
		load, pressures := f.load(t), t.limiter.Pressures(f.now)
		f.after(delay, func() {
			e.observe(f.now, t.record.Domain, pressures)
			e.table.Refused(f.now, t.record.Target.ID, byTarget, load)
			f.send(e, arrived, excluded)
		})
	}
	if f.s.reject != nil && f.random.Float64() < f.s.reject(t.index, f.elapsed()) {
		refuse(true)
		return
	}
	item := &limiter.Item{Deadline: arrived.Add(fleetTimeout)}
	f.account(t)
	switch t.limiter.Arrive(f.now, item) {
	case limiter.Run:
		f.run(e, t, item, arrived, delay)
	case limiter.Wait:
		t.waiting[item] = func() { f.run(e, t, item, arrived, delay) }
	default:
		refuse(false)
	}
}

func (f *fleet) run(e *fleetEntry, t *fleetTarget, item *limiter.Item, arrived time.Time, delay time.Duration) {
	speed := f.s.speeds[t.index%len(f.s.speeds)]
	if f.s.speed != nil {
		speed *= f.s.speed(t.index, f.elapsed())
	}
	if f.s.cold != nil && f.elapsed() < f.s.cold(t.index).Seconds() {
		speed /= 2
	}
	used := float64(t.limiter.Running()) / float64(f.s.slots)
	seconds := fleetServiceTime / speed * (1 + max(used-0.6, 0)) * (0.5 + f.random.ExpFloat64()/2)
	took := time.Duration(seconds * float64(time.Second))
	f.after(took, func() {
		f.account(t)
		t.limiter.Done(item, took)
		if f.s.stated != nil {
			if s := f.s.stated(t.index, f.elapsed()); s > 0 {
				t.estimator.State(f.now, s)
			}
		}
		t.estimator.Record(f.now, "r", took)
		for next := t.limiter.Next(f.now); next != nil; next = t.limiter.Next(f.now) {
			begin := t.waiting[next]
			delete(t.waiting, next)
			begin()
		}
		if f.warm() {
			t.finished++
		}
		load, pressures := f.load(t), t.limiter.Pressures(f.now)
		f.after(delay, func() {
			e.observe(f.now, t.record.Domain, pressures)
			e.table.Responded(f.now, t.record.Target.ID, "r", took, f.s.bodyBytes, load, false)
			f.end(e, arrived, true)
		})
	})
}

func (f *fleet) load(t *fleetTarget) Load {
	return Load{
		Running: t.limiter.Running(), Waiting: t.limiter.Waiting(), Slots: t.limiter.Limit(),
		ServiceTime: t.estimator.Expect(f.now, "r"),
	}
}

func (f *fleet) end(e *fleetEntry, arrived time.Time, ok bool) {
	took := f.now.Sub(arrived)
	ok = ok && took <= fleetTimeout
	if ok {
		f.second().served[e.domain]++
	}
	if !f.warm() {
		return
	}
	if ok {
		f.served++
		f.latencies = append(f.latencies, took.Seconds())
	} else {
		f.refused++
	}
}

func (f *fleet) account(t *fleetTarget) {
	if f.warm() {
		t.busy += f.now.Sub(t.changedAt).Seconds() * float64(t.limiter.Running())
	}
	t.changedAt = f.now
}

// imbalance returns the utilization of the busiest target over the mean.
func (f *fleet) imbalance() float64 {
	busiest, sum := 0.0, 0.0
	for _, t := range f.targets {
		busiest = max(busiest, t.busy)
		sum += t.busy / float64(len(f.targets))
	}
	return busiest / sum
}

// quantile returns a quantile of the latencies, in milliseconds.
func (f *fleet) quantile(q float64) float64 {
	if len(f.latencies) == 0 {
		return math.Inf(1)
	}
	return 1000 * f.latencies[int(q*float64(len(f.latencies)-1))]
}

func (f *fleet) String() string {
	return fmt.Sprintf("served %d of %d (%.4f), remote %d (%.4f), busiest/mean %.3f, latency ms p50 %.0f p90 %.0f p99 %.0f",
		f.served, f.served+f.refused, float64(f.served)/float64(f.served+f.refused), f.remote, float64(f.remote)/float64(f.served+f.refused),
		f.imbalance(), f.quantile(0.5), f.quantile(0.9), f.quantile(0.99))
}
