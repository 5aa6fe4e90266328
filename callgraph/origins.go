package callgraph

import "maps"

// Origin states who sends the requests of a route.
type Origin uint8

const (
	// OriginUnknown means that too few requests were observed.
	OriginUnknown Origin = iota
	// OriginCallers means that callers send them, and perhaps targets too.
	OriginCallers
	// OriginTargets means that only targets send them, while they run requests of other
	// routes.
	OriginTargets
)

var originNames = [...]string{"unknown", "callers", "targets"}

// String returns the origin's name.
func (o Origin) String() string {
	if int(o) < len(originNames) {
		return originNames[o]
	}
	return "invalid"
}

const (
	// callerServiceShare is the fraction of the services beside whose targets a route's
	// requests must begin so that callers count as their origin: callers are beside the
	// targets of every service, while calls come from the few services that make them.
	callerServiceShare = 0.5
	// minCallerRequests is the number of requests after which callers may count as their
	// origin; with fewer services than that, one request for each is enough. Among many
	// services, fewer requests show little.
	minCallerRequests = 20
	// minTargetRequests is the number of requests after which targets count as their
	// origin if callers don't.
	minTargetRequests = 40
)

// Origins infers who sends the requests of a route from the services beside whose targets
// they begin.
type Origins struct {
	routes map[string]*routeOrigin
}

// routeOrigin counts the requests of one route.
type routeOrigin struct {
	requests int
	services map[string]bool // beside whose targets they began
}

// NewOrigins returns an empty table of origins.
func NewOrigins() *Origins { return &Origins{routes: map[string]*routeOrigin{}} }

// Observe records a request of the route that began beside a target of the service, and
// returns the origin inferred so far. services is the number of services in all.
func (o *Origins) Observe(route, service string, services int) Origin {
	counts := o.routes[route]
	if counts == nil {
		counts = &routeOrigin{services: map[string]bool{}}
		o.routes[route] = counts
	}
	counts.requests++
	counts.services[service] = true
	return counts.origin(services)
}

// RetainRoutes prunes the routes that are not listed.
func (o *Origins) RetainRoutes(listed map[string]bool) {
	maps.DeleteFunc(o.routes, func(route string, _ *routeOrigin) bool { return !listed[route] })
}

// origin infers the origin from the recorded requests.
func (o *routeOrigin) origin(services int) Origin {
	if o.requests >= min(services, minCallerRequests) &&
		float64(len(o.services)) > callerServiceShare*float64(min(services, o.requests)) {
		return OriginCallers
	}
	if o.requests >= minTargetRequests {
		return OriginTargets
	}
	return OriginUnknown
}
