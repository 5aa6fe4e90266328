package inventory

// callDepths computes the longest chain of calls that begins with each service,
// counted in services, by a depth-first search that also detects cycles.
type callDepths struct {
	services map[string]*serviceSource
	computed map[string]int
	onPath   map[string]bool
	path     []string
	cycles   map[string][]string // by the service at which the search entered the cycle
}

func newCallDepths(services map[string]*serviceSource) *callDepths {
	return &callDepths{
		services: services,
		computed: make(map[string]int, len(services)),
		onPath:   make(map[string]bool),
		cycles:   make(map[string][]string),
	}
}

// depth returns the number of services in the longest chain of calls that begins
// with the named one; calls that close a cycle don't count.
func (d *callDepths) depth(name string) int {
	if depth, ok := d.computed[name]; ok {
		return depth
	}
	service := d.services[name]
	if service == nil {
		return 0
	}
	d.onPath[name] = true
	d.path = append(d.path, name)
	deepest := 0
	for _, callee := range service.Calls {
		if d.onPath[callee] {
			d.recordCycle(callee)
			continue
		}
		deepest = max(deepest, d.depth(callee))
	}
	d.path = d.path[:len(d.path)-1]
	delete(d.onPath, name)
	d.computed[name] = deepest + 1
	return deepest + 1
}

// cycleAt returns the cycle that the search entered at the named service, or nil.
// The service stands at both ends.
func (d *callDepths) cycleAt(name string) []string {
	d.depth(name)
	return d.cycles[name]
}

// recordCycle records the part of the current path from the named service on as a
// cycle, unless the service has one.
func (d *callDepths) recordCycle(name string) {
	if d.cycles[name] != nil {
		return
	}
	start := len(d.path) - 1
	for d.path[start] != name {
		start--
	}
	d.cycles[name] = append(append([]string(nil), d.path[start:]...), name)
}
