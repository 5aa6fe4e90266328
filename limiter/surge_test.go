package limiter

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/internal/virtual"
)

// The tests of this file simulate, in virtual time, requests that each make several calls
// to one target, one after the other. A request that isn't done at its deadline is wasted.
// Calls have the priority of their request.

// requestKind is one kind of request and the counts of its requests.
type requestKind struct {
	ratePerS float64
	priority int
	calls    int
	timeout  time.Duration

	requests, served int
}

// simulation is one target with its limiter.
type simulation struct {
	*virtual.Clock
	random  *rand.Rand
	limiter *Limiter
	waiting map[*Item]func()
}

const meanCallTime = 30 * time.Millisecond

// call makes one call and reports whether it was served.
func (sim *simulation) call(priority int, deadline time.Time, done func(ok bool)) {
	item := &Item{Priority: priority, Deadline: deadline}
	run := func() {
		took := time.Duration(sim.random.ExpFloat64() * float64(meanCallTime))
		sim.After(took, func() {
			sim.limiter.Done(item, took)
			for next := sim.limiter.Next(sim.Now()); next != nil; next = sim.limiter.Next(sim.Now()) {
				sim.waiting[next]()
				delete(sim.waiting, next)
			}
			done(true)
		})
	}
	switch sim.limiter.Arrive(sim.Now(), item) {
	case Run:
		run()
	case Wait:
		sim.waiting[item] = run
		sim.After(deadline.Sub(sim.Now()), func() {
			if sim.limiter.Remove(item) {
				delete(sim.waiting, item)
				done(false)
			}
		})
	case Refuse:
		done(false)
	}
}

func (sim *simulation) request(kind *requestKind) {
	kind.requests++
	deadline := sim.Now().Add(kind.timeout)
	remaining := kind.calls
	var next func(ok bool)
	next = func(ok bool) {
		switch {
		case !ok || sim.Now().After(deadline):
		case remaining == 0:
			kind.served++
		default:
			remaining--
			sim.call(kind.priority, deadline, next)
		}
	}
	next(true)
}

func simulate(seed uint64, slots int, length time.Duration, kinds ...*requestKind) {
	sim := &simulation{Clock: virtual.NewClock(start), random: rand.New(rand.NewPCG(seed, 3)), limiter: New(slots), waiting: map[*Item]func(){}}
	for _, kind := range kinds {
		var arrive func()
		arrive = func() {
			sim.request(kind)
			sim.After(time.Duration(sim.random.ExpFloat64()/kind.ratePerS*float64(time.Second)), arrive)
		}
		arrive()
	}
	sim.RunUntil(start.Add(length))
}

// minOrderShare is the fraction of the orders that must be served under any load of lookups:
// users are promised that the least important requests are refused first.
const minOrderShare = 0.97

func TestOrdersPassLookupsWhereOneTargetIsLeft(t *testing.T) {
	Convey("A target with capacity for the orders but not for the lookups serves the orders", t, func() {
		for seed := range uint64(5) {
			orders := &requestKind{ratePerS: 60, priority: 0, calls: 4, timeout: time.Second}
			lookups := &requestKind{ratePerS: 60, priority: 2, calls: 8, timeout: 800 * time.Millisecond}
			simulate(seed, 15, 30*time.Second, orders, lookups)
			So(float64(orders.served)/float64(orders.requests), ShouldBeGreaterThan, minOrderShare)
		}
	})
}
