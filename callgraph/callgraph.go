// Package callgraph estimates the cost of a route's requests at each service that they
// lead to: the time of the service's targets and the number of requests that it receives.
// Inputs are the runs of the target beside the node, the calls that this target makes,
// and the costs that replies to these calls report.
//
// A call doesn't name the request that it is made for, but has the same deadline. So an
// Estimator, of the node beside one target, credits a call to the run with its deadline.
// If several runs have that deadline, or none because the call has a shorter one of its
// own, the call is divided among the runs that may have made it, in proportion to the
// rate at which their routes have made such calls so far.
//
// The cost of a route is the time of its own runs, plus the cost of the called route for
// each child call, which the replies to those calls report. So costs add up from the
// deepest service to the entry, and no node needs to know the whole graph.
package callgraph

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxCountedRuns is the number of ended runs of a route at which the counts of its
	// runs and calls are halved, so that older ones decay.
	maxCountedRuns = 100
	// timeGain is the weight of one run in the moving average of a route's time.
	timeGain = 0.05
	// costGain is the weight of one reply in the moving average of a called route's cost.
	costGain = 0.2
	// deadlineTolerance is the largest difference between the deadlines of a run and
	// its call: remaining times are stated in whole milliseconds, and the network adds a
	// delay.
	deadlineTolerance = 2500 * time.Microsecond
	// lateTolerance is the largest difference at which a call that matches no run has
	// the importance of the run with the nearest deadline: a node that has just started
	// is slow to respond. Concurrent requests seldom have deadlines that close.
	lateTolerance = 50 * time.Millisecond
	// priorCallsPerRun is added to the calls per run of each route, so that a route
	// without a recorded call may get one credited.
	priorCallsPerRun = 0.005
	// Calls without the deadline of a run are divided among the runs only after
	// minMatchedCalls calls with such a deadline have shown which routes make them, or
	// after minUnmatchedCalls calls without one, as deadlines then don't show it.
	minMatchedCalls   = 20
	minUnmatchedCalls = 200
	// minCallsPerRun is the number of calls per run below which an edge of the graph is
	// considered noise.
	minCallsPerRun = 0.15
	// maxCalls (of a called route, or requests at a service, per run) and maxCost (time
	// at a called service) limit the effect of a wrong estimate.
	maxCalls = 100
	maxCost  = 30 * time.Second
)

// ServiceCost is the cost of one request of a route at one service.
type ServiceCost struct {
	Time     time.Duration // of the service's targets
	Requests float64       // number of requests that the service receives
}

// Cost is the cost of one request of a route, by service.
type Cost map[string]ServiceCost

// Services returns the services of the cost, sorted.
func (c Cost) Services() []string { return slices.Sorted(maps.Keys(c)) }

// Importance is the importance of a root request, which all of its calls share.
type Importance struct {
	Priority int    // 0 is the most important
	Rank     uint8  // among those of the priority, 0 first
	Awaited  bool   // responses to other requests wait for this one's
	Account  string // of the client, "" without one
	Repeated bool   // the run repeats an earlier one of the root request, or of a call of it
}

// Run is one request that the local target runs.
type Run struct {
	route      *routeStats
	deadline   time.Time
	importance Importance
}

// routeStats holds the estimates for one route that the target runs.
type routeStats struct {
	running     int
	ended       float64            // number of ended runs; decays
	meanSeconds float64            // moving average of a run's time
	timedRuns   int                // number of runs in that average
	calls       map[string]float64 // credited calls, by called route; decays
}

// Estimator estimates the costs of the routes that the local target runs.
type Estimator struct {
	service     string
	routes      map[string]*routeStats
	running     map[*Run]struct{}
	calleeCosts map[string]Cost // by called route
	// matched and unmatched count calls with and without the deadline of a run,
	// by called route.
	matched, unmatched map[string]int
}

// NewEstimator returns an estimator for a target of the service.
func NewEstimator(service string) *Estimator {
	return &Estimator{
		service: service, routes: map[string]*routeStats{},
		running: map[*Run]struct{}{}, calleeCosts: map[string]Cost{},
		matched: map[string]int{}, unmatched: map[string]int{},
	}
}

// BeginRun records that the target starts to run a request with the deadline.
func (e *Estimator) BeginRun(route string, deadline time.Time, importance Importance) *Run {
	r := e.routes[route]
	if r == nil {
		r = &routeStats{calls: map[string]float64{}}
		e.routes[route] = r
	}
	r.running++
	run := &Run{route: r, deadline: deadline, importance: importance}
	e.running[run] = struct{}{}
	return run
}

// EndRun records that the run ended and how long it took.
func (e *Estimator) EndRun(run *Run, took time.Duration) {
	delete(e.running, run)
	r := run.route
	r.running--
	r.timedRuns++
	r.meanSeconds += max(timeGain, 1/float64(r.timedRuns)) * (took.Seconds() - r.meanSeconds)
	r.ended++
	if r.ended > maxCountedRuns {
		const fade = 0.5
		r.ended *= fade
		for called := range r.calls {
			r.calls[called] *= fade
		}
	}
}

// RecordCall records that the target makes a call with the deadline. It returns the
// importance of the run that most likely made the call, if a run has about that deadline.
func (e *Estimator) RecordCall(route string, deadline time.Time) (importance Importance, known bool) {
	parent := e.creditCall(route, func(run *Run) bool { return run.deadline.Sub(deadline).Abs() <= deadlineTolerance })
	if parent != nil {
		e.matched[route]++
		return parent.importance, true
	}
	e.unmatched[route]++
	if nearest := e.nearestRun(deadline); nearest != nil {
		importance, known = nearest.importance, true
	}
	if e.matched[route] < minMatchedCalls && e.unmatched[route] < minUnmatchedCalls {
		return importance, known // dividing calls now would bias later estimates by a guess
	}
	e.creditCall(route, func(run *Run) bool { return run.deadline.After(deadline) })
	return importance, known
}

// nearestRun returns the run with the nearest deadline within lateTolerance, or nil.
func (e *Estimator) nearestRun(deadline time.Time) *Run {
	var nearest *Run
	smallest := lateTolerance
	for run := range e.running {
		if difference := run.deadline.Sub(deadline).Abs(); difference < smallest {
			nearest, smallest = run, difference
		}
	}
	return nearest
}

// ClassifyRequest decides whether a request that arrives at the node beside the target is
// a child call that this target makes, and records the call if so. Until the origin of the
// route's requests is known, a request with the deadline of a run counts as a call of that
// run. The call has the importance of the run, or that of its own route if inherits is
// false.
func (e *Estimator) ClassifyRequest(origin Origin, route string, deadline time.Time) (isCall bool, importance Importance, inherits bool) {
	if origin == OriginCallers || origin == OriginUnknown && !e.hasRun(deadline) {
		return false, Importance{}, false
	}
	importance, inherits = e.RecordCall(route, deadline)
	return true, importance, inherits
}

// hasRun reports whether the target runs a request with the deadline.
func (e *Estimator) hasRun(deadline time.Time) bool {
	for run := range e.running {
		if run.deadline.Sub(deadline).Abs() <= deadlineTolerance {
			return true
		}
	}
	return false
}

// creditCall divides a call among the runs that may have made it. It returns the most
// likely one, nil if there is none.
func (e *Estimator) creditCall(route string, mayBeParent func(*Run) bool) *Run {
	weights := map[*routeStats]float64{}
	total := 0.0
	var likeliest *Run
	highest := 0.0
	for run := range e.running {
		if !mayBeParent(run) {
			continue
		}
		weight := run.route.callRate(route)
		weights[run.route] += weight
		total += weight
		if weight > highest || weight == highest && run.importance.Priority < likeliest.importance.Priority {
			likeliest, highest = run, weight
		}
	}
	for r, weight := range weights {
		r.calls[route] += weight / total
	}
	return likeliest
}

// callRate returns the expected number of calls per second of a run.
func (r *routeStats) callRate(called string) float64 {
	const minSeconds = 1e-3
	return (r.callsPerRun(called) + priorCallsPerRun) / max(r.meanSeconds, minSeconds)
}

// callsPerRun returns the number of calls per run; a run in flight counts as half a run.
func (r *routeStats) callsPerRun(called string) float64 {
	runs := r.ended + float64(r.running)/2
	if runs < 1 {
		runs = 1
	}
	return r.calls[called] / runs
}

// CallsPerRun returns how many calls of the called route one run of the route makes.
func (e *Estimator) CallsPerRun(route, called string) float64 {
	if r := e.routes[route]; r != nil {
		return min(r.callsPerRun(called), maxCalls)
	}
	return 0
}

// RetainRoutes prunes the routes that are not listed, except those that the target runs
// now.
func (e *Estimator) RetainRoutes(listed map[string]bool) {
	isUnlisted := func(route string) bool { return !listed[route] }
	maps.DeleteFunc(e.routes, func(route string, r *routeStats) bool { return isUnlisted(route) && r.running == 0 })
	for _, r := range e.routes {
		maps.DeleteFunc(r.calls, func(route string, _ float64) bool { return isUnlisted(route) })
	}
	maps.DeleteFunc(e.calleeCosts, func(route string, _ Cost) bool { return isUnlisted(route) })
	maps.DeleteFunc(e.matched, func(route string, _ int) bool { return isUnlisted(route) })
	maps.DeleteFunc(e.unmatched, func(route string, _ int) bool { return isUnlisted(route) })
}

// RecordCost updates the cost of a called route with the one that a reply reported.
func (e *Estimator) RecordCost(route string, reported Cost) {
	recorded := e.calleeCosts[route]
	next := make(Cost, len(reported))
	for service, serviceCost := range reported {
		if previous, ok := recorded[service]; ok {
			serviceCost.Time = previous.Time + time.Duration(costGain*float64(serviceCost.Time-previous.Time))
			serviceCost.Requests = previous.Requests + costGain*(serviceCost.Requests-previous.Requests)
		}
		next[service] = serviceCost
	}
	e.calleeCosts[route] = next
}

// Cost returns the cost of one request of a route that the target runs, nil until a run of
// the route has ended.
func (e *Estimator) Cost(route string) Cost {
	r := e.routes[route]
	if r == nil || r.timedRuns == 0 {
		return nil
	}
	cost := Cost{e.service: ServiceCost{Time: time.Duration(r.meanSeconds * float64(time.Second)), Requests: 1}}
	for called := range r.calls {
		calls := e.CallsPerRun(route, called)
		if calls < minCallsPerRun {
			continue
		}
		for service, each := range e.calleeCosts[called] {
			serviceCost := cost[service]
			serviceCost.Time = min(serviceCost.Time+time.Duration(calls*float64(each.Time)), maxCost)
			serviceCost.Requests = min(serviceCost.Requests+calls*each.Requests, maxCalls)
			cost[service] = serviceCost
		}
	}
	return cost
}
