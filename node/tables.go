package node

import (
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumford/gypsumford/balance"
	"github.com/gypsumford/gypsumford/callgraph"
	"github.com/gypsumford/gypsumford/loadshed"
	"github.com/gypsumford/gypsumford/node/link"
	"github.com/gypsumford/gypsumford/retrybudget"
	"github.com/gypsumford/gypsumford/roster"
	"github.com/gypsumford/gypsumford/route"
)

// tables holds what the node decides by. One lock guards them all: each question
// takes microseconds, and most need several tables. The lock of delivery is
// never taken while this one is held, nor the other way round.
type tables struct {
	mu struct {
		sync.Mutex
		roster   *roster.Table
		balance  *balance.Table
		retries  *retrybudget.Budget
		graph    *callgraph.Estimator
		shed     *loadshed.Table
		splitter *route.Splitter
		origins  *callgraph.Origins
		costs    *loadshed.Costs
		sentBy   map[string]callgraph.Origin // who sends requests of routes, as answers told
	}
	inForce atomic.Pointer[route.Configuration]
}

func newTables(s *Settings, start float64) *tables {
	t := &tables{}
	t.mu.roster = roster.NewTable()
	t.mu.balance = balance.NewTable(s.Domain)
	t.mu.retries = retrybudget.New(s.Retries)
	t.mu.graph = callgraph.NewEstimator(s.Service)
	t.mu.shed = loadshed.NewTable()
	t.mu.splitter = route.NewSplitter(start)
	t.mu.origins = callgraph.NewOrigins()
	t.mu.costs = loadshed.NewCosts()
	t.mu.sentBy = map[string]callgraph.Origin{}
	return t
}

// runBegan notes a run on the own target. The function that it returns notes the
// end.
func (t *tables) runBegan(routeName string, deadline time.Time, importance callgraph.Importance) (ended func(took time.Duration)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	run := t.mu.graph.BeginRun(routeName, deadline, importance)
	return func(took time.Duration) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.mu.graph.EndRun(run, took)
	}
}

// describe returns what the reply to a call for the own target tells its sender: what
// the node knows of the services that the route leads to, and who sends calls of it.
func (t *tables) describe(now time.Time, c *link.Call, service string, own loadshed.Pressures) ([]link.ServiceView, callgraph.Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.views(now, c.Route, service, own), t.originOf(c)
}

// originOf notes where a call began, and returns who sends calls of its route. The
// lock is held.
func (t *tables) originOf(c *link.Call) callgraph.Origin {
	configuration := t.inForce.Load()
	if configuration == nil || len(configuration.Services) == 0 {
		return callgraph.OriginUnknown
	}
	return t.mu.origins.Observe(c.Route, c.Caller, len(configuration.Services))
}

// views returns what the own node knows of the services that a route leads to, its
// target's among them. The lock is held.
func (t *tables) views(now time.Time, routeName, service string, own loadshed.Pressures) []link.ServiceView {
	cost := t.mu.graph.Cost(routeName)
	views := make([]link.ServiceView, 0, len(cost)+1)
	for _, name := range cost.Services() {
		view := link.ServiceView{
			Service: name, Cost: cost[name].Time.Round(100 * time.Microsecond), Requests: cost[name].Requests,
		}
		if name == service {
			view.Pressures = encodePressures(own)
		} else if pressures, seenAt, known := t.mu.shed.Pressures(now, name); known {
			view.Pressures, view.Age = encodePressures(pressures), now.Sub(seenAt)
		}
		views = append(views, view)
	}
	return views
}

// encodePressures leaves out the pressures at the end that repeat the one before.
func encodePressures(pressures loadshed.Pressures) []byte {
	last := len(pressures) - 1
	for last > 0 && pressures[last-1] == pressures[last] {
		last--
	}
	encoded := make([]byte, last+1)
	for p := range encoded {
		encoded[p] = byte(min(pressures[p]/link.PressureUnit, math.MaxUint8))
	}
	return encoded
}

func decodePressures(encoded []byte) loadshed.Pressures {
	var pressures loadshed.Pressures
	for p := range pressures {
		pressures[p] = float64(encoded[min(p, len(encoded)-1)]) * link.PressureUnit
	}
	return pressures
}

// learn takes in what a reply tells of the services behind the route, from a node
// beside a target of the service. The lock is held.
func (t *tables) learn(now time.Time, routeName, service string, reply *link.Reply) {
	if reply.Origin != callgraph.OriginUnknown && t.mu.sentBy[routeName] != callgraph.OriginCallers {
		t.mu.sentBy[routeName] = reply.Origin
	}
	if len(reply.Views) == 0 {
		return
	}
	charges := make([]loadshed.Charge, 0, len(reply.Views))
	for _, view := range reply.Views {
		charges = append(charges, loadshed.Charge{Service: view.Service, Cost: view.Cost, Requests: view.Requests})
		if len(view.Pressures) == 0 {
			continue
		}
		from := loadshed.Relayed
		if view.Service == service {
			from = loadshed.Direct
		}
		t.mu.shed.Observe(now, view.Service, now.Add(-view.Age), decodePressures(view.Pressures), from)
	}
	t.mu.costs.Record(now, routeName, charges)
	if t.mu.sentBy[routeName] == callgraph.OriginTargets {
		t.mu.graph.RecordCost(routeName, costOf(charges))
	}
}

func costOf(charges []loadshed.Charge) callgraph.Cost {
	cost := make(callgraph.Cost, len(charges))
	for _, c := range charges {
		cost[c.Service] = callgraph.ServiceCost{Time: c.Cost, Requests: c.Requests}
	}
	return cost
}

// refusedEverywhere notes that no target of the service took a request.
func (t *tables) refusedEverywhere(now time.Time, service string, priority int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mu.shed.Refused(now, service, priority)
}

// costEnded notes the end of a request that was let in before its cost was known.
func (t *tables) costEnded(routeName string, served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mu.costs.Ended(routeName, served)
}

// isOwnFault reports whether a failure that the target answered is probably its
// own. A request of a route that makes calls mostly fails for one of these, and
// would again elsewhere, with all its calls.
func (t *tables) isOwnFault(routeName, service, target string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.mu.costs.Charges(routeName)) <= 1 {
		return true
	}
	return t.mu.balance.IsOutlier(target, t.mu.roster.Serving(service))
}

// keepRoutes drops what is known of routes that the configuration doesn't have.
func (t *tables) keepRoutes(c *route.Configuration) {
	listed := make(map[string]bool, len(c.Routes))
	for i := range c.Routes {
		listed[c.Routes[i].Name] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mu.splitter.Retain(listed)
	t.mu.balance.RetainRoutes(listed)
	t.mu.graph.Retain(listed)
	t.mu.origins.Retain(listed)
	t.mu.costs.Retain(listed)
	maps.DeleteFunc(t.mu.sentBy, func(name string, _ callgraph.Origin) bool { return !listed[name] })
}

// forgetTargets drops what is known of targets that no record names any more.
func (t *tables) forgetTargets() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mu.balance.RetainTargets(t.mu.roster.TargetIDs())
}

func (t *tables) tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mu.shed.Tick(now)
}
