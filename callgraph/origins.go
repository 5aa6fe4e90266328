package callgraph

// callerShare of all services must send requests of a route until they count as
// sent by callers: callers are beside targets of every service, while calls
// come from the few services whose targets make them.
const callerShare = 0.5

// Origins tells routes that callers use from those that only targets call, by
// the services beside which their requests begin.
type Origins struct {
	seen map[string]map[string]bool // services by name of the route
}

// NewOrigins returns origins that know of no route.
func NewOrigins() *Origins { return &Origins{seen: map[string]map[string]bool{}} }

// Seen notes a request of the route that began beside a target of the service.
func (o *Origins) Seen(route, service string) {
	services := o.seen[route]
	if services == nil {
		services = map[string]bool{}
		o.seen[route] = services
	}
	services[service] = true
}

// FromCallers reports whether callers send requests of the route, where there
// are so many services.
func (o *Origins) FromCallers(route string, services int) bool {
	return float64(len(o.seen[route])) > callerShare*float64(services)
}
