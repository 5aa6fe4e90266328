// Package callgraph learns what requests of a route cost the services that they
// lead to.
//
// The calls that a target makes while it runs a request name no parent. A Local
// graph, beside one target, sees which routes the target is running and which
// calls it makes, and estimates how many calls of each route one run of a route
// makes: a call is credited to the running routes in proportion to how often
// they have made it so far (expectation maximization). The cost of a route is
// then the time of its own runs, plus for each call that it makes the cost of
// the called route, which the answers to those calls tell. So costs add up from
// the deepest service to the entry without any node knowing the whole graph.
package callgraph

import (
	"maps"
	"slices"
	"time"
)

const (
	// rememberedRuns is how many runs of a route count: older ones fade.
	rememberedRuns = 100
	// initialCalls stands for the calls of a run until runs have ended.
	initialCalls = 0.5
	timeGain     = 0.05 // weight of one run in a route's mean time
	costGain     = 0.2  // weight of one answer in a called route's cost
	// minCalls is the number of calls a run below which an edge is noise.
	minCalls = 0.03
)

// Cost is the time that one request takes of the targets of each service.
type Cost map[string]time.Duration

// Services returns the services of the cost, sorted.
func (c Cost) Services() []string { return slices.Sorted(maps.Keys(c)) }

// Local is what the node beside a target knows of the target's runs.
type Local struct {
	service string
	routes  map[string]*runs // by name of the route
	called  map[string]Cost  // by name of the called route
}

// runs counts the runs of one route.
type runs struct {
	running int
	ended   float64
	seconds float64            // mean time of a run
	calls   map[string]float64 // made by ended and present runs, by called route
}

// NewLocal returns a graph for a target of the service.
func NewLocal(service string) *Local {
	return &Local{service: service, routes: map[string]*runs{}, called: map[string]Cost{}}
}

func (l *Local) runs(route string) *runs {
	r := l.routes[route]
	if r == nil {
		r = &runs{calls: map[string]float64{}}
		l.routes[route] = r
	}
	return r
}

// Began notes that the target runs a request of the route.
func (l *Local) Began(route string) { l.runs(route).running++ }

// Ended notes that the run has ended after the time.
func (l *Local) Ended(route string, took time.Duration) {
	r := l.runs(route)
	r.running--
	r.ended++
	if r.seconds == 0 {
		r.seconds = took.Seconds()
	}
	r.seconds += timeGain * (took.Seconds() - r.seconds)
	if r.ended > rememberedRuns {
		fade := 0.5
		r.ended *= fade
		for route := range r.calls {
			r.calls[route] *= fade
		}
	}
}

// Called notes that the target makes a call of the route.
func (l *Local) Called(route string) {
	total := 0.0
	for _, r := range l.routes {
		total += r.rate(route)
	}
	if total == 0 {
		return // the runs it belongs to are unknown, as after a start
	}
	for _, r := range l.routes {
		if rate := r.rate(route); rate > 0 {
			r.calls[route] += rate / total
		}
	}
}

// rate is how often the present runs are expected to call the route, a second.
func (r *runs) rate(route string) float64 {
	if r.running <= 0 {
		return 0
	}
	perRun := initialCalls
	if r.ended >= 1 {
		perRun = (r.calls[route] + initialCalls) / (r.ended + 1)
	}
	return float64(r.running) * perRun / max(r.seconds, 1e-3)
}

// Calls returns how many calls of the called route one run of the route makes.
func (l *Local) Calls(route, called string) float64 {
	r := l.routes[route]
	if r == nil || r.ended < 1 {
		return 0
	}
	return r.calls[called] / r.ended
}

// Learn takes in the cost of a called route that an answer told.
func (l *Local) Learn(called string, told Cost) {
	known := l.called[called]
	if known == nil {
		l.called[called] = maps.Clone(told)
		return
	}
	for service, cost := range told {
		if before, ok := known[service]; ok {
			cost = before + time.Duration(costGain*float64(cost-before))
		}
		known[service] = cost
	}
}

// Of returns the cost of a request of the route that the target runs.
func (l *Local) Of(route string) Cost {
	r := l.routes[route]
	if r == nil || r.ended < 1 {
		return nil
	}
	cost := Cost{l.service: time.Duration(r.seconds * float64(time.Second))}
	for called := range r.calls {
		calls := r.calls[called] / r.ended
		if calls < minCalls {
			continue
		}
		for service, each := range l.called[called] {
			cost[service] += time.Duration(calls * float64(each))
		}
	}
	return cost
}

// Told returns the cost of a called route as its answers tell it, or nil.
func (l *Local) Told(called string) Cost { return l.called[called] }
