// Package callgraph learns what requests of a route cost the services that they
// lead to.
//
// The calls that a target makes while it runs a request name no parent. A Local
// graph, beside one target, sees how many requests of each route the target is
// running and when it makes a call. It fits the rate of calls of each route as a
// sum over the running requests (least squares, no rate below 0): whichever
// routes run when calls are made, and don't when they aren't, get the rate. The
// rate times the mean time of a run is the number of calls that a run makes.
//
// The cost of a route is the time of its own runs, plus for each call that it
// makes the cost of the called route, which the answers to those calls tell. So
// costs add up from the deepest service to the entry without any node knowing the
// whole graph.
package callgraph

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// memory is how long observations count: older ones fade.
	memory = 20 * time.Second
	// timeGain is the weight of one run in a route's mean time.
	timeGain = 0.05
	// costGain is the weight of one answer in a called route's cost.
	costGain = 0.2
	// ridge keeps rates near 0 until there are observations, in seconds.
	ridge = 0.2
	// sweeps of the coordinate descent suffice for the few routes of a service.
	sweeps = 30
	// fitInterval paces the fit.
	fitInterval = 250 * time.Millisecond
	// minCalls is the number of calls a run below which an edge is noise.
	minCalls = 0.15
	// maxCalls and maxCost bound what a wrong estimate can do.
	maxCalls = 100
	maxCost  = 30 * time.Second
)

// Part is what one request of a route costs one service.
type Part struct {
	Time     time.Duration // of the service's targets
	Requests float64       // that arrive there
}

// Cost is what one request of a route costs, by service.
type Cost map[string]Part

// Services returns the services of the cost, sorted.
func (c Cost) Services() []string { return slices.Sorted(maps.Keys(c)) }

// Local is what the node beside a target knows of the target's runs.
type Local struct {
	service  string
	routes   []*runs        // in the order in which they were first seen
	index    map[string]int // by name of the route
	overlap  [][]float64    // seconds that pairs of routes ran together, times the numbers of runs
	called   map[string]*called
	observed time.Time
	fitted   time.Time
}

// runs is what is known of one route that the target runs.
type runs struct {
	running int
	seconds float64 // mean time of a run
	ended   int
}

// called is what is known of one route that the target calls.
type called struct {
	coincided []float64 // runs of each route when calls were made, added up
	rates     []float64 // calls a second that one run of each route makes
	cost      Cost
}

// NewLocal returns a graph for a target of the service.
func NewLocal(service string) *Local {
	return &Local{service: service, index: map[string]int{}, called: map[string]*called{}}
}

// Began notes that the target runs a request of the route.
func (l *Local) Began(now time.Time, route string) {
	l.observe(now)
	l.routes[l.indexOf(route)].running++
}

// Ended notes that the run has ended after the time.
func (l *Local) Ended(now time.Time, route string, took time.Duration) {
	l.observe(now)
	r := l.routes[l.indexOf(route)]
	r.running = max(r.running-1, 0)
	r.ended++
	gain := max(timeGain, 1/float64(r.ended))
	r.seconds += gain * (took.Seconds() - r.seconds)
}

// Called notes that the target makes a call of the route.
func (l *Local) Called(now time.Time, route string) {
	l.observe(now)
	c := l.calledRoute(route)
	for i, r := range l.routes {
		c.coincided[i] += float64(r.running)
	}
}

func (l *Local) indexOf(route string) int {
	if i, ok := l.index[route]; ok {
		return i
	}
	i := len(l.routes)
	l.index[route] = i
	l.routes = append(l.routes, &runs{})
	for j := range l.overlap {
		l.overlap[j] = append(l.overlap[j], 0)
	}
	l.overlap = append(l.overlap, make([]float64, len(l.routes)))
	for _, c := range l.called {
		c.coincided = append(c.coincided, 0)
		c.rates = append(c.rates, 0)
	}
	return i
}

func (l *Local) calledRoute(route string) *called {
	c := l.called[route]
	if c == nil {
		c = &called{coincided: make([]float64, len(l.routes)), rates: make([]float64, len(l.routes))}
		l.called[route] = c
	}
	return c
}

// observe adds up the time since the last event.
func (l *Local) observe(now time.Time) {
	if l.observed.IsZero() {
		l.observed = now
		return
	}
	dt := now.Sub(l.observed).Seconds()
	if dt <= 0 {
		return
	}
	l.observed = now
	fade := math.Exp(-dt / memory.Seconds())
	for i, row := range l.overlap {
		for j := range row {
			row[j] = row[j]*fade + dt*float64(l.routes[i].running*l.routes[j].running)
		}
	}
	for _, c := range l.called {
		for i := range c.coincided {
			c.coincided[i] *= fade
		}
	}
}

// fit solves for the rates, from time to time.
func (l *Local) fit() {
	if l.observed.Sub(l.fitted) < fitInterval {
		return
	}
	l.fitted = l.observed
	for _, c := range l.called {
		for range sweeps {
			for i, row := range l.overlap {
				rest := c.coincided[i]
				for j, both := range row {
					if j != i {
						rest -= both * c.rates[j]
					}
				}
				c.rates[i] = max(rest/(row[i]+ridge), 0)
			}
		}
	}
}

// Calls returns how many calls of the called route one run of the route makes.
func (l *Local) Calls(route, calledRoute string) float64 {
	i, ok := l.index[route]
	c := l.called[calledRoute]
	if !ok || c == nil {
		return 0
	}
	l.fit()
	return min(c.rates[i]*l.routes[i].seconds, maxCalls)
}

// Learn takes in the cost of a called route that an answer told.
func (l *Local) Learn(route string, told Cost) {
	c := l.calledRoute(route)
	if c.cost == nil {
		c.cost = maps.Clone(told)
		return
	}
	for service, part := range told {
		if before, ok := c.cost[service]; ok {
			part.Time = before.Time + time.Duration(costGain*float64(part.Time-before.Time))
			part.Requests = before.Requests + costGain*(part.Requests-before.Requests)
		}
		c.cost[service] = part
	}
	for service := range c.cost {
		if _, ok := told[service]; !ok {
			delete(c.cost, service)
		}
	}
}

// Of returns the cost of a request of the route that the target runs, nil while
// none has ended.
func (l *Local) Of(route string) Cost {
	i, ok := l.index[route]
	if !ok || l.routes[i].ended == 0 {
		return nil
	}
	cost := Cost{l.service: Part{Time: seconds(l.routes[i].seconds), Requests: 1}}
	for name, c := range l.called {
		calls := l.Calls(route, name)
		if calls < minCalls {
			continue
		}
		for service, each := range c.cost {
			part := cost[service]
			part.Time = min(part.Time+time.Duration(calls*float64(each.Time)), maxCost)
			part.Requests = min(part.Requests+calls*each.Requests, maxCalls)
			cost[service] = part
		}
	}
	return cost
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
