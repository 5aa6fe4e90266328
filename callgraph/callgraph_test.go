package callgraph

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// simulate runs a target that receives requests of two routes at the given rates. Runs of
// the route "caller" make calls, those of "plain" make none. Calls have the deadline of
// their run, but at most maxTimeout.
func simulate(estimator *Estimator, seed uint64, callersPerS, plainPerS float64, calls int, maxTimeout, length time.Duration) {
	type event struct {
		at time.Time
		do func(now time.Time)
	}
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	var events []event
	add := func(at time.Time, do func(time.Time)) { events = append(events, event{at, do}) }
	arrivals := func(perS float64, begin func(at time.Time)) {
		for at := start; at.Sub(start) < length; {
			at = at.Add(time.Duration(random.ExpFloat64() / perS * float64(time.Second)))
			begin(at)
		}
	}
	run := func(route string, at time.Time, took time.Duration, calls int) {
		deadline := at.Add(time.Duration(300+random.IntN(700)) * time.Millisecond)
		var begun *Run
		add(at, func(time.Time) {
			begun = estimator.BeginRun(route, deadline, Importance{Priority: 0, Rank: 7, Awaited: true})
		})
		for i := range calls {
			add(at.Add(took*time.Duration(i+1)/time.Duration(calls+1)), func(now time.Time) {
				timeout := min(deadline.Sub(now), maxTimeout).Truncate(time.Millisecond)
				estimator.RecordCall("called", now.Add(timeout))
			})
		}
		add(at.Add(took), func(time.Time) { estimator.EndRun(begun, took) })
	}
	arrivals(callersPerS, func(at time.Time) { run("caller", at, 135*time.Millisecond, calls) })
	arrivals(plainPerS, func(at time.Time) {
		run("plain", at, time.Duration((0.5+random.Float64())*260)*time.Millisecond, 0)
	})
	for len(events) > 0 { // in chronological order
		earliest := 0
		for i := range events {
			if events[i].at.Before(events[earliest].at) {
				earliest = i
			}
		}
		events[earliest].do(events[earliest].at)
		events[earliest] = events[len(events)-1]
		events = events[:len(events)-1]
	}
}

func TestCallsAreCreditedToTheRouteThatMakesThem(t *testing.T) {
	for name, maxTimeout := range map[string]time.Duration{
		"those of the runs": time.Hour, "often shorter": 500 * time.Millisecond,
	} {
		Convey("Of two routes that run together, the calls are credited to the one that makes them; call deadlines are "+name, t, func() {
			for seed := range uint64(5) {
				estimator := NewEstimator("archive")
				simulate(estimator, seed, 60, 46, 4, maxTimeout, time.Second)
				// An entry ignores a cost below a fifth of the largest one.
				So(estimator.CallsPerRun("plain", "called"), ShouldBeLessThan, 0.2*estimator.CallsPerRun("caller", "called"))
				estimator = NewEstimator("archive")
				simulate(estimator, seed, 60, 46, 4, maxTimeout, 10*time.Second)
				So(estimator.CallsPerRun("caller", "called"), ShouldBeBetween, 3, 4.5)
				So(estimator.CallsPerRun("plain", "called"), ShouldBeLessThan, 0.8)
			}
		})
	}
}

func TestCostsAddUp(t *testing.T) {
	Convey("The cost of a route is its own time and that of its calls", t, func() {
		estimator := NewEstimator("archive")
		simulate(estimator, 1, 20, 5, 4, time.Hour, 15*time.Second)
		estimator.RecordCost("called", Cost{"printer": {Time: 30 * time.Millisecond, Requests: 1}})
		cost := estimator.Cost("caller")
		So(cost["archive"].Time, ShouldAlmostEqual, 135*time.Millisecond, 10*time.Millisecond)
		So(cost["printer"].Time, ShouldAlmostEqual, 120*time.Millisecond, 20*time.Millisecond)
		So(cost["printer"].Requests, ShouldAlmostEqual, 4, 0.6)
		So(estimator.Cost("unknown"), ShouldBeNil)
	})
}

func TestUnlistedRoutesArePruned(t *testing.T) {
	Convey("The estimates for a removed route are pruned, unless the target still runs it", t, func() {
		estimator, now := NewEstimator("archive"), time.Unix(1000, 0)
		for _, route := range []string{"kept", "dropped"} {
			run := estimator.BeginRun(route, now.Add(time.Second), Importance{Priority: 0, Rank: 7, Awaited: true})
			estimator.RecordCall("dropped", now.Add(time.Second))
			estimator.EndRun(run, time.Millisecond)
		}
		running := estimator.BeginRun("running", now.Add(time.Second), Importance{Priority: 0, Rank: 7, Awaited: true})
		estimator.RecordCost("dropped", Cost{"printer": {Time: time.Millisecond, Requests: 1}})
		estimator.RetainRoutes(map[string]bool{"kept": true})
		So(estimator.Cost("kept"), ShouldNotBeNil)
		So(estimator.CallsPerRun("kept", "dropped"), ShouldEqual, 0)
		So(estimator.Cost("dropped"), ShouldBeNil)
		So(estimator.calleeCosts, ShouldBeEmpty)
		estimator.EndRun(running, time.Millisecond)
		So(estimator.Cost("running"), ShouldNotBeNil)
		estimator.RetainRoutes(map[string]bool{})
		So(estimator.routes, ShouldBeEmpty)
	})
	Convey("and its origin is inferred anew", t, func() {
		o := NewOrigins()
		for _, service := range []string{"a", "b", "a", "c"} {
			o.Observe("lookup", service, 4)
		}
		o.RetainRoutes(map[string]bool{"other": true})
		So(o.Observe("lookup", "a", 4), ShouldEqual, OriginUnknown)
	})
}

func TestOrigins(t *testing.T) {
	Convey("Callers are the origin of a route if its requests begin beside most services", t, func() {
		o := NewOrigins()
		So(o.Observe("lookup", "a", 4), ShouldEqual, OriginUnknown)
		So(o.Observe("lookup", "b", 4), ShouldEqual, OriginUnknown)
		So(o.Observe("lookup", "a", 4), ShouldEqual, OriginUnknown)
		So(o.Observe("lookup", "c", 4), ShouldEqual, OriginCallers)
	})
	Convey("and targets are if many requests begin beside few services", t, func() {
		o := NewOrigins()
		origin := OriginUnknown
		for i := range minTargetRequests {
			origin = o.Observe("fetch", []string{"a", "b"}[i%2], 4)
		}
		So(origin, ShouldEqual, OriginTargets)
	})
}

func TestCallsInheritTheImportanceOfTheirRequest(t *testing.T) {
	Convey("Given an order and a lookup that run together and make the same call", t, func() {
		estimator, now := NewEstimator("orders"), time.Unix(1000, 0)
		order, lookup := now.Add(900*time.Millisecond), now.Add(800*time.Millisecond)
		estimator.BeginRun("order", order, Importance{Priority: 0, Rank: 7, Awaited: true})
		estimator.BeginRun("lookup", lookup, Importance{Priority: 2, Rank: 7, Awaited: true})
		Convey("the call with the order's deadline is as important as the order", func() {
			importance, known := estimator.RecordCall("check", order.Add(-time.Millisecond))
			So(known, ShouldBeTrue)
			So(importance, ShouldResemble, Importance{Priority: 0, Rank: 7, Awaited: true})
		})
		Convey("the call with the lookup's deadline is no more important than the lookup", func() {
			importance, known := estimator.RecordCall("check", lookup)
			So(known, ShouldBeTrue)
			So(importance, ShouldResemble, Importance{Priority: 2, Rank: 7, Awaited: true})
		})
		Convey("a call that arrives late is as important as the request with the nearest deadline", func() {
			for _, late := range []time.Duration{5 * time.Millisecond, 30 * time.Millisecond} {
				importance, known := estimator.RecordCall("check", lookup.Add(late))
				So(known, ShouldBeTrue)
				So(importance, ShouldResemble, Importance{Priority: 2, Rank: 7, Awaited: true})
				importance, _ = estimator.RecordCall("check", order.Add(late))
				So(importance, ShouldResemble, Importance{Priority: 0, Rank: 7, Awaited: true})
			}
		})
		Convey("a call with a deadline of its own is as important as its route", func() {
			_, known := estimator.RecordCall("check", now.Add(100*time.Millisecond))
			So(known, ShouldBeFalse)
		})
	})
}

// When all nodes start at once, the first calls arrive before any node knows the origin of
// their routes. Queues are ordered by priority, so these calls must have that of their
// requests already.
func TestCallsAreRecognizedFromTheFirst(t *testing.T) {
	Convey("Given a request of a route with unknown origin", t, func() {
		estimator := NewEstimator("archive")
		deadline := time.Unix(1000, 0).Add(800 * time.Millisecond)
		run := estimator.BeginRun("scan", deadline, Importance{Priority: 2, Rank: 7, Awaited: true})
		Convey("one that expires with a run is a call of it, as important as the run", func() {
			isCall, importance, inherits := estimator.ClassifyRequest(OriginUnknown, "queue", deadline.Add(time.Millisecond))
			So(isCall, ShouldBeTrue)
			So(inherits, ShouldBeTrue)
			So(importance, ShouldResemble, Importance{Priority: 2, Rank: 7, Awaited: true})
			estimator.EndRun(run, 100*time.Millisecond)
			So(estimator.CallsPerRun("scan", "queue"), ShouldBeGreaterThan, 0.9)
		})
		Convey("one that expires at another time is a caller's", func() {
			isCall, _, _ := estimator.ClassifyRequest(OriginUnknown, "queue", deadline.Add(time.Second))
			So(isCall, ShouldBeFalse)
		})
		Convey("it is a caller's once callers are known to send it, whenever it expires", func() {
			isCall, _, _ := estimator.ClassifyRequest(OriginCallers, "queue", deadline)
			So(isCall, ShouldBeFalse)
		})
		Convey("it is a call once only targets are known to send it", func() {
			isCall, _, inherits := estimator.ClassifyRequest(OriginTargets, "queue", deadline.Add(time.Second))
			So(isCall, ShouldBeTrue)
			So(inherits, ShouldBeFalse)
		})
	})
}
