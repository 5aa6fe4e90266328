package node

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumford/gypsumford/balance"
	"github.com/gypsumford/gypsumford/callgraph"
	"github.com/gypsumford/gypsumford/loadshed"
	"github.com/gypsumford/gypsumford/node/link"
	"github.com/gypsumford/gypsumford/quarantine"
	"github.com/gypsumford/gypsumford/republish"
	"github.com/gypsumford/gypsumford/retrybudget"
	"github.com/gypsumford/gypsumford/roster"
	"github.com/gypsumford/gypsumford/route"
)

// tables holds the state that the node decides on requests by. One lock guards all of
// it: each decision takes microseconds, and most need several tables. The lock of
// delivery is never acquired while this one is held, nor the other way round.
type tables struct {
	mu struct {
		sync.Mutex
		roster       *roster.Table
		balance      *balance.Table
		retryBudget  *retrybudget.Budget
		graph        *callgraph.Estimator
		shed         *loadshed.Table
		splitter     *route.Splitter
		origins      *callgraph.Origins
		costs        *loadshed.Costs
		republish    *republish.Table
		quarantine   *quarantine.Table
		routeOrigins map[string]callgraph.Origin // who sends the requests of each route, as replies reported
		allKnown     bool                        // the records of all nodes were read since the start
	}
	inForce atomic.Pointer[route.Configuration] // nil until the first is received
	// hasEvidence tells that the quarantine table isn't empty. Calls read it without the lock.
	hasEvidence atomic.Bool
}

// maxSharers is the number of nodes that are assumed to share the slack of the retry budget
// until their records were read. Their part of it is then less than one retry.
const maxSharers = 1 << 20

// newTables returns empty tables. start, from 0 to 1, is where the splitter's sequences
// begin.
func newTables(s *Settings, start float64) *tables {
	t := &tables{}
	t.mu.roster = roster.NewTable()
	t.mu.balance = balance.NewSeededTable(s.Domain, rand.Uint64())
	t.mu.retryBudget = retrybudget.New(s.RetryBudget)
	t.mu.graph = callgraph.NewEstimator(s.Service)
	t.mu.shed = loadshed.NewTable()
	t.mu.splitter = route.NewSplitter(start)
	t.mu.origins = callgraph.NewOrigins()
	t.mu.costs = loadshed.NewCosts()
	t.mu.republish = republish.NewTable(s.Name, rand.Uint64())
	t.mu.quarantine = quarantine.NewTable()
	t.mu.routeOrigins = map[string]callgraph.Origin{}
	return t
}

// beginRun records that the local target starts to run a call. The returned function
// records the end of the run.
func (t *tables) beginRun(routeName string, deadline time.Time, importance callgraph.Importance) (endRun func(took time.Duration)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	run := t.mu.graph.BeginRun(routeName, deadline, importance)
	return func(took time.Duration) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.mu.graph.EndRun(run, took)
	}
}

// describe returns what the reply to a call for the local target reports to its sender:
// the costs and pressures of the services that the route leads to, and who sends the
// requests of the route.
func (t *tables) describe(now time.Time, c *link.Call, service string, local loadshed.Pressures) ([]link.ServiceView, callgraph.Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.serviceViews(now, c.Route, service, local), t.observeOrigin(c)
}

// observeOrigin records the service beside whose target a call began, and returns who
// sends the requests of its route. The lock is held.
func (t *tables) observeOrigin(c *link.Call) callgraph.Origin {
	configuration := t.inForce.Load()
	if configuration == nil || len(configuration.Services) == 0 {
		return callgraph.OriginUnknown
	}
	return t.mu.origins.Observe(c.Route, c.CallerService, len(configuration.Services))
}

// serviceViews returns the costs and pressures of the services that a route leads to,
// including the local target's service. The lock is held.
func (t *tables) serviceViews(now time.Time, routeName, service string, local loadshed.Pressures) []link.ServiceView {
	cost := t.mu.graph.Cost(routeName)
	views := make([]link.ServiceView, 0, len(cost)+1)
	for _, name := range cost.Services() {
		view := link.ServiceView{
			Service: name, Cost: cost[name].Time.Round(100 * time.Microsecond), Requests: cost[name].Requests,
		}
		if name == service {
			view.Pressures = encodePressures(local)
		} else if pressures, observedAt, fresh := t.mu.shed.Pressures(now, name); fresh {
			view.Pressures, view.Age = encodePressures(pressures), now.Sub(observedAt)
		}
		views = append(views, view)
	}
	return views
}

// encodePressures encodes pressures as bytes in units of link.PressureUnit. It leaves
// out pressures at the end that equal the one before.
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

// decodePressures reverses encodePressures.
func decodePressures(encoded []byte) loadshed.Pressures {
	var pressures loadshed.Pressures
	for p := range pressures {
		pressures[p] = float64(encoded[min(p, len(encoded)-1)]) * link.PressureUnit
	}
	return pressures
}

// recordReply records what a reply reports of the services that the route leads to. The
// replying node stands beside a target of the given service, so the pressures of that
// service are direct ones. Those of a target with a rate limit count only if all targets
// of the service state one: otherwise what the limit leaves no room for goes to the others.
// The lock is held.
func (t *tables) recordReply(now time.Time, routeName, service string, reply *link.Reply) {
	if reply.Origin != callgraph.OriginUnknown && t.mu.routeOrigins[routeName] != callgraph.OriginCallers {
		t.mu.routeOrigins[routeName] = reply.Origin
	}
	if len(reply.Views) == 0 {
		return
	}
	costs := make([]loadshed.ServiceCost, 0, len(reply.Views))
	for _, view := range reply.Views {
		costs = append(costs, loadshed.ServiceCost{Service: view.Service, Time: view.Cost, Requests: view.Requests})
		isDirect := view.Service == service
		if len(view.Pressures) == 0 || isDirect && reply.IsRateLimited() && t.hasUnlimitedTarget(service) {
			continue
		}
		source := loadshed.Relayed
		if isDirect {
			source = loadshed.Direct
		}
		t.mu.shed.Observe(now, view.Service, now.Add(-view.Age), decodePressures(view.Pressures), source)
	}
	t.mu.costs.Record(now, routeName, costs)
	if t.mu.routeOrigins[routeName] == callgraph.OriginTargets {
		t.mu.graph.RecordCost(routeName, costOf(costs))
	}
}

// hasUnlimitedTarget reports whether a target that accepts requests for the service states
// no rate limit. The lock is held.
func (t *tables) hasUnlimitedTarget(service string) bool {
	return slices.ContainsFunc(t.mu.roster.Serving(service), func(r *roster.Record) bool { return r.Target.RateLimit == 0 })
}

// costOf returns the costs of a route at several services as one Cost.
func costOf(costs []loadshed.ServiceCost) callgraph.Cost {
	cost := make(callgraph.Cost, len(costs))
	for _, c := range costs {
		cost[c.Service] = callgraph.ServiceCost{Time: c.Time, Requests: c.Requests}
	}
	return cost
}

// recordRefusal records that all targets of the service refused a request of the
// priority.
func (t *tables) recordRefusal(now time.Time, service string, priority int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mu.shed.Refused(now, service, priority)
}

// allowRetry reports whether the retry budgets of all charged services allow a retry, and
// spends the charges if so. The lock is held.
func (t *tables) allowRetry(now time.Time, importance retrybudget.Importance, charges []retrybudget.Charge) bool {
	sharers := max(t.mu.roster.Len(), 1)
	if !t.mu.allKnown {
		sharers = maxSharers
	}
	return t.mu.retryBudget.AllowRetry(now, sharers, importance, charges)
}

// recordsKnown records that the records of all nodes were read.
func (t *tables) recordsKnown() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mu.allKnown = true
}

// areRecordsKnown reports whether the records of all nodes were read.
func (t *tables) areRecordsKnown() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mu.allKnown
}

// slowStartEnded records the end of a request that was admitted before its route's cost
// was known.
func (t *tables) slowStartEnded(routeName string, served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mu.costs.Ended(routeName, served)
}

// isTargetFault reports whether a failure that the target responded with probably has
// its cause in the target itself. A request that makes child calls mostly fails because
// one of them failed. A retry at another target would fail as well, after the same
// child calls.
func (t *tables) isTargetFault(routeName, service, target string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.mu.costs.ByService(routeName)) <= 1 {
		return true
	}
	return t.mu.balance.IsOutlier(target, t.mu.roster.Serving(service))
}

// retainRoutes prunes the routes that the configuration doesn't list.
func (t *tables) retainRoutes(c *route.Configuration) {
	listed := make(map[string]bool, len(c.Routes))
	for i := range c.Routes {
		listed[c.Routes[i].Name] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mu.splitter.RetainRoutes(listed)
	t.mu.balance.RetainRoutes(listed)
	t.mu.graph.RetainRoutes(listed)
	t.mu.origins.RetainRoutes(listed)
	t.mu.costs.RetainRoutes(listed)
	maps.DeleteFunc(t.mu.routeOrigins, func(name string, _ callgraph.Origin) bool { return !listed[name] })
}

// retainTargets prunes the targets that no record names any more.
func (t *tables) retainTargets() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mu.balance.RetainTargets(t.mu.roster.TargetIDs())
}

func (t *tables) tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mu.shed.Tick(now)
}
