package loadshed

import (
	"maps"
	"time"
)

const (
	// costMaxAge is how long a recorded cost of a route is used without confirmation:
	// the route may lead to other services meanwhile.
	costMaxAge = 2 * time.Second
	// probeInterval is the time between requests of a route that are admitted to confirm
	// a stale cost.
	probeInterval = 1 * time.Second
	// slowStartRequests is the initial limit on the requests of a route that are in
	// flight before the first reply reports their cost. The limit doubles every
	// slowStartDoublingTime, and each request that fails halves it.
	slowStartRequests     = 4.0
	slowStartDoublingTime = 250 * time.Millisecond
)

// CostStatus states what is known of a route's cost when a request of it arrives, and
// so how the request is decided on.
type CostStatus uint8

const (
	// CostKnown means that Table.Admit decides on the request by the route's costs.
	CostKnown CostStatus = iota
	// CostProbe means that the cost is stale; this request is admitted to confirm it.
	CostProbe
	// SlowStart means that no cost was recorded yet; this request is admitted, and the
	// caller of Arrive calls Ended when it ends.
	SlowStart
	// SlowStartFull means that no cost was recorded yet, and that the limit on requests
	// in flight is reached; this request is refused.
	SlowStartFull
)

var costStatusNames = [...]string{"known", "probe", "starting", "too-many"}

// String returns the status' name.
func (s CostStatus) String() string {
	if int(s) < len(costStatusNames) {
		return costStatusNames[s]
	}
	return "invalid"
}

// Costs records the cost of a request by route, as replies report it. Only admitted
// requests confirm a cost. Where hardly any request is admitted, costs become stale, and
// admitting all requests then would overload the service that they are refused for; so
// a stale cost stays in use, and few requests are admitted to confirm it.
type Costs struct {
	routes map[string]*routeCost
}

// routeCost is the cost of one route's requests.
type routeCost struct {
	byService  []ServiceCost
	recordedAt time.Time // zero before the first reply
	probedAt   time.Time
	// Used until the first cost is recorded:
	inFlight  int       // admitted requests
	limit     float64   // on inFlight
	doubledAt time.Time // when limit was set or last doubled
}

// NewCosts returns an empty table of costs.
func NewCosts() *Costs { return &Costs{routes: map[string]*routeCost{}} }

// route returns the cost of the route's requests, which it creates if there is none.
func (c *Costs) route(name string) *routeCost {
	r := c.routes[name]
	if r == nil {
		r = &routeCost{}
		c.routes[name] = r
	}
	return r
}

// Record replaces the costs of the route, by service, with those that a reply reported.
func (c *Costs) Record(now time.Time, route string, costs []ServiceCost) {
	r := c.route(route)
	r.byService, r.recordedAt = costs, now
}

// ByService returns the costs that were last recorded for the route, nil if none were.
func (c *Costs) ByService(route string) []ServiceCost {
	if r := c.routes[route]; r != nil {
		return r.byService
	}
	return nil
}

// Arrive records the arrival of a request of the route and returns how to decide on it.
func (c *Costs) Arrive(now time.Time, route string) CostStatus {
	r := c.route(route)
	if r.recordedAt.IsZero() {
		return r.slowStart(now)
	}
	if now.Sub(r.recordedAt) > costMaxAge && now.Sub(r.probedAt) > probeInterval {
		r.probedAt = now
		return CostProbe
	}
	return CostKnown
}

// slowStart decides on a request of a route whose cost isn't known.
func (r *routeCost) slowStart(now time.Time) CostStatus {
	if r.doubledAt.IsZero() {
		r.limit, r.doubledAt = slowStartRequests, now
	}
	if elapsed := now.Sub(r.doubledAt); elapsed >= slowStartDoublingTime {
		r.limit, r.doubledAt = 2*r.limit, now
	}
	if float64(r.inFlight) >= r.limit {
		return SlowStartFull
	}
	r.inFlight++
	return SlowStart
}

// Ended records the end of a request that was admitted as SlowStart. served is false if
// the request failed.
func (c *Costs) Ended(route string, served bool) {
	r := c.routes[route]
	if r == nil {
		return // the route was pruned meanwhile
	}
	r.inFlight = max(r.inFlight-1, 0)
	if !served {
		r.limit = max(r.limit/2, 1)
	}
}

// RetainRoutes prunes the routes that are not listed.
func (c *Costs) RetainRoutes(listed map[string]bool) {
	maps.DeleteFunc(c.routes, func(route string, _ *routeCost) bool { return !listed[route] })
}
